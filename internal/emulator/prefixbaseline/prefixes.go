// Package prefixbaseline has plain ways to find the longest prefix of a number, to measure the trie beside, and draws
// prefixes as number plans have them.
package prefixbaseline

//tally:standin

import (
	"fmt"
	"sort"
	"strings"

	"cobaltpier/internal/decision/prefixtrie"
	"cobaltpier/internal/detrand"
)

// Map tries each length, the longest first.
type Map map[string]uint32

// Find is the value of the longest prefix, and its length.
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

// NewMap makes a map.
func NewMap(of []prefixtrie.Prefix) Map {
	m := Map{}
	for _, p := range of {
		m[p.Digits] = p.Value
	}
	return m
}

// Sorted searches prefixes in their order, and goes on with what they begin with.
type Sorted []prefixtrie.Prefix

// NewSorted puts prefixes in order.
func NewSorted(of []prefixtrie.Prefix) Sorted {
	s := append(Sorted{}, of...)
	sort.Slice(s, func(i, j int) bool { return s[i].Digits < s[j].Digits })
	return s
}

// Find is the value of the longest prefix of a number of digits, and its length.
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

// Draw draws prefixes as number plans have them: areas, exchanges, and ported numbers of full length.
func Draw(n int) []prefixtrie.Prefix {
	seen := map[string]bool{}
	var of []prefixtrie.Prefix
	for i := uint64(0); len(of) < n; i++ {
		length := []int{4, 7, 7, 10, 11, 11, 11, 11}[int(detrand.Float64(1, i)*8)]
		d := fmt.Sprintf("1%010d", uint64(detrand.Float64(2, i)*1e10))[:length]
		if !seen[d] {
			seen[d] = true
			of = append(of, prefixtrie.Prefix{Digits: d, Value: uint32(len(of))})
		}
	}
	return of
}
