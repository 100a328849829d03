package coreswitch

import (
	"cmp"
	"slices"
)

func sortBy(calls []*call, key func(*call) string) {
	slices.SortFunc(calls, func(a, b *call) int { return cmp.Compare(key(a), key(b)) })
}
