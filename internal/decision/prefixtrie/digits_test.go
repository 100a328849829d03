package prefixtrie

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// mapModel looks up each leading part of a number in a map, the longest first.
type mapModel map[string]uint32

func (m mapModel) Find(number string) (uint32, int, bool) {
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

// TestTrieAgainstMap compares the trie with a map on generated prefixes: some of few different digits, so that one
// often begins with another, and long ones with runs.
func TestTrieAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		digits := rapid.OneOf(
			rapid.StringMatching(`[0-3]{0,6}`),
			rapid.StringMatching(`1418555[0-9]{0,9}`),
			rapid.StringMatching(`[0-9]{12,15}`),
		)
		m := mapModel{}
		for _, d := range rapid.SliceOfN(digits, 0, 60).Draw(t, "prefixes") {
			m[d] = uint32(len(m) + 1)
		}
		var prefixes []Prefix
		for d, v := range m {
			prefixes = append(prefixes, Prefix{d, v})
		}
		trie, err := New(prefixes)
		if err != nil {
			t.Fatal(err)
		}
		if trie.Len() != len(m) {
			t.Fatalf("%d of %d prefixes", trie.Len(), len(m))
		}
		for _, n := range rapid.SliceOfN(rapid.OneOf(digits, rapid.StringMatching(`[0-3]{0,8}[+x]?[0-9]{0,3}`)), 1, 40).
			Draw(t, "numbers") {
			v, l, ok := trie.Find(n)
			wantValue, wantLength, wantOK := m.Find(n)
			if v != wantValue && ok || l != wantLength || ok != wantOK {
				t.Fatalf("%q: %d after %d digits, %v; want %d after %d, %v", n, v, l, ok, wantValue, wantLength, wantOK)
			}
		}
	})
}

func TestFaults(t *testing.T) {
	for _, prefixes := range [][]Prefix{{{"12a", 1}}, {{"+1", 1}}, {{"12", 1}, {"12", 2}}} {
		if _, err := New(prefixes); err == nil {
			t.Errorf("%v: no error", prefixes)
		}
	}
	if trie, err := New([]Prefix{{"12", 1}, {"12", 1}, {"", 9}}); err != nil || trie.Len() != 2 {
		t.Errorf("same prefix and value twice: %v", err)
	} else if v, n, ok := trie.Find("+1"); v != 9 || n != 0 || !ok {
		t.Errorf("number without digits: %d, %d, %v", v, n, ok)
	}
	if trie, _ := New(nil); trie.Len() != 0 {
		t.Error("empty trie has prefixes")
	} else if _, _, ok := trie.Find("123"); ok {
		t.Error("found a prefix in an empty trie")
	}
}

// The cover of a range has exactly one prefix for each number in it and none for any other.
func TestCover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "length")
		lo := rapid.IntRange(0, 9999).Draw(t, "from") % pow(n)
		hi := lo + rapid.IntRange(0, 9999).Draw(t, "more")%(pow(n)-lo)
		cover, err := Cover(fmt.Sprintf("%0*d", n, lo), fmt.Sprintf("%0*d", n, hi))
		if err != nil {
			t.Fatal(err)
		}
		for i := range pow(n) {
			hits := 0
			for _, p := range cover {
				if strings.HasPrefix(fmt.Sprintf("%0*d", n, i), p) {
					hits++
				}
			}
			if in := i >= lo && i <= hi; hits > 1 || (hits == 1) != in {
				t.Fatalf("%d to %d: %d is in %d of %v", lo, hi, i, hits, cover)
			}
		}
	})
	for _, x := range [][2]string{{"2", "1"}, {"1", "22"}, {"", ""}, {"1a", "1b"}} {
		if _, err := Cover(x[0], x[1]); err == nil {
			t.Errorf("%v: no error", x)
		}
	}
}

func pow(n int) int {
	v := 1
	for range n {
		v *= 10
	}
	return v
}
