package prefixbaseline

import (
	"testing"

	"cobaltpier/internal/decision/prefixtrie"
	"cobaltpier/internal/detrand"
)

// TestAllFindSamePrefix checks that the trie, the map and the sorted list find the same prefixes.
func TestAllFindSamePrefix(t *testing.T) {
	prefixes := Draw(5000)
	m, s := NewMap(prefixes), NewSorted(prefixes)
	trie, err := prefixtrie.New(prefixes)
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for i := range uint64(20000) {
		n := prefixes[int(detrand.Float64(1, i)*5000)].Digits
		n = n[:1+int(detrand.Float64(2, i)*float64(len(n)))] + "5550123"
		v, l, ok := trie.Find(n)
		mv, ml, mok := m.Find(n)
		sv, sl, sok := s.Find(n)
		if l != ml || ok != mok || l != sl || ok != sok || ok && (v != mv || v != sv) {
			t.Fatalf("%s: trie %d %d %v, map %d %d %v, sorted %d %d %v", n, v, l, ok, mv, ml, mok, sv, sl, sok)
		}
		if ok {
			found++
		}
	}
	if found < 5000 {
		t.Errorf("%d found", found)
	}
}
