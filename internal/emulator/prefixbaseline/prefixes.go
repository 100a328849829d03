// Package prefixbaseline has simple implementations of longest-prefix matching to compare the trie with, and draws
// random prefixes like those of number plans.
package prefixbaseline

//tally:standin

import (
	"fmt"
	"sort"
	"strings"

	"cobaltpier/internal/decision/prefixtrie"
	"cobaltpier/internal/detrand"
)

// Map looks up each possible prefix of a number, the longest first.
type Map map[string]uint32

// Find returns the value and the length of the longest prefix of a number.
func (m Map) Find(number string) (uint32, int, bool) {
	end := 0
	for end < len(number) && number[end] >= '0' && number[end] <= '9' {
		end++
	}
	for n := end; n >= 0; n-- {
		if v, ok := m[number[:n]]; ok {
			return v, n, true
		}
	}
	return 0, 0, false
}

// NewMap returns a Map of the prefixes.
func NewMap(prefixes []prefixtrie.Prefix) Map {
	m := Map{}
	for _, p := range prefixes {
		m[p.Digits] = p.Value
	}
	return m
}

// Sorted finds prefixes by binary search. After a mismatch it searches again for the digits that the number and the
// found prefix have in common.
type Sorted []prefixtrie.Prefix

// NewSorted returns the prefixes in order.
func NewSorted(prefixes []prefixtrie.Prefix) Sorted {
	s := append(Sorted{}, prefixes...)
	sort.Slice(s, func(i, j int) bool { return s[i].Digits < s[j].Digits })
	return s
}

// Find returns the value and the length of the longest prefix of a number, which must consist of digits.
func (s Sorted) Find(number string) (uint32, int, bool) {
	for key := number; ; {
		i := sort.Search(len(s), func(i int) bool { return s[i].Digits > key }) - 1
		if i < 0 {
			return 0, 0, false
		}
		if strings.HasPrefix(number, s[i].Digits) {
			return s[i].Value, len(s[i].Digits), true
		}
		n := 0
		for n < len(key) && n < len(s[i].Digits) && key[n] == s[i].Digits[n] {
			n++
		}
		if key = key[:n]; n == 0 {
			if s[0].Digits == "" {
				return s[0].Value, 0, true
			}
			return 0, 0, false
		}
	}
}

// Draw returns n random prefixes like those of number plans: area codes, exchange codes and full ported numbers.
func Draw(n int) []prefixtrie.Prefix {
	seen := map[string]bool{}
	var prefixes []prefixtrie.Prefix
	for i := uint64(0); len(prefixes) < n; i++ {
		length := []int{4, 7, 7, 10, 11, 11, 11, 11}[int(detrand.Float64(1, i)*8)]
		d := fmt.Sprintf("1%010d", uint64(detrand.Float64(2, i)*1e10))[:length]
		if !seen[d] {
			seen[d] = true
			prefixes = append(prefixes, prefixtrie.Prefix{Digits: d, Value: uint32(len(prefixes))})
		}
	}
	return prefixes
}
