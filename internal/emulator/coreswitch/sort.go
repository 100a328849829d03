package coreswitch

import (
	"cmp"
	"slices"
)

func sortBy(of []*call, key func(*call) string) {
	slices.SortFunc(of, func(a, b *call) int { return cmp.Compare(key(a), key(b)) })
}
