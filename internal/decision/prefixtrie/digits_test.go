package prefixtrie

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// mapModel is a reference implementation: it looks up every prefix of a number, the longest first.
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

// TestTrieAgainstMap compares the trie with a map on generated prefixes: short ones of four different digits, many of
// which are prefixes of each other; long ones that share their first seven digits; and long random ones.
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
			t.Fatalf("Len() = %d, want %d", trie.Len(), len(m))
		}
		for _, n := range rapid.SliceOfN(rapid.OneOf(digits, rapid.StringMatching(`[0-3]{0,8}[+x]?[0-9]{0,3}`)), 1, 40).
			Draw(t, "numbers") {
			v, l, ok := trie.Find(n) // the value is undefined if ok is false
			wantValue, wantLength, wantOK := m.Find(n)
			if v != wantValue && ok || l != wantLength || ok != wantOK {
				t.Fatalf("Find(%q) = %d, %d, %v; want %d, %d, %v", n, v, l, ok, wantValue, wantLength, wantOK)
			}
		}
	})
}

// TestNewErrors checks that New rejects invalid and contradictory prefixes, accepts repeated ones, and works without
// any.
func TestNewErrors(t *testing.T) {
	for _, prefixes := range [][]Prefix{{{"12a", 1}}, {{"+1", 1}}, {{"12", 1}, {"12", 2}}} {
		if _, err := New(prefixes); err == nil {
			t.Errorf("New(%v): no error, want one", prefixes)
		}
	}
	if trie, err := New([]Prefix{{"12", 1}, {"12", 1}, {"", 9}}); err != nil || trie.Len() != 2 {
		t.Errorf("prefix given twice with the same value: error %v, want none and 2 prefixes", err)
	} else if v, n, ok := trie.Find("+1"); v != 9 || n != 0 || !ok {
		t.Errorf("Find(\"+1\") = %d, %d, %v; want the empty prefix: 9, 0, true", v, n, ok)
	}
	if trie, _ := New(nil); trie.Len() != 0 {
		t.Error("Len() of an empty trie is not 0")
	} else if _, _, ok := trie.Find("123"); ok {
		t.Error("found a prefix in an empty trie")
	}
}

// TestCover checks that exactly one prefix returned by Cover matches each number in the range, and that none matches
// any other number.
func TestCover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "length")
		lo := rapid.IntRange(0, 9999).Draw(t, "from") % pow10(n)
		hi := lo + rapid.IntRange(0, 9999).Draw(t, "range size")%(pow10(n)-lo)
		cover, err := Cover(fmt.Sprintf("%0*d", n, lo), fmt.Sprintf("%0*d", n, hi))
		if err != nil {
			t.Fatal(err)
		}
		for i := range pow10(n) {
			hits := 0
			for _, p := range cover {
				if strings.HasPrefix(fmt.Sprintf("%0*d", n, i), p) {
					hits++
				}
			}
			if in := i >= lo && i <= hi; hits > 1 || (hits == 1) != in {
				t.Fatalf("Cover(%d, %d): %d matches %d prefixes of %v", lo, hi, i, hits, cover)
			}
		}
	})
	for _, bounds := range [][2]string{{"2", "1"}, {"1", "22"}, {"", ""}, {"1a", "1b"}} {
		if _, err := Cover(bounds[0], bounds[1]); err == nil {
			t.Errorf("Cover(%q, %q): no error, want one", bounds[0], bounds[1])
		}
	}
}

// pow10 returns 10 to the power of n.
func pow10(n int) int {
	v := 1
	for range n {
		v *= 10
	}
	return v
}
