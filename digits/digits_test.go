package digits

import (
	"fmt"
	"sort"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cobaltpier/chance"
)

// plain tries each length in a map, the longest first.
type plain map[string]uint32

func (m plain) Find(number string) (uint32, int, bool) {
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

// inOrder searches sorted prefixes, and goes on with what they begin with.
type inOrder []Prefix

func (s inOrder) Find(number string) (uint32, int, bool) {
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

// TestBesidePlain holds the trie to a map and a sorted search on generated prefixes: few digits, so that they begin with
// one another, and long ones with runs.
func TestBesidePlain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.OneOf(rapid.StringMatching(`[0-3]{0,6}`), rapid.StringMatching(`1418555[0-9]{0,9}`), rapid.StringMatching(`[0-9]{12,15}`))
		m := plain{}
		for _, d := range rapid.SliceOfN(word, 0, 60).Draw(t, "prefixes") {
			m[d] = uint32(len(m) + 1)
		}
		var of []Prefix
		for d, v := range m {
			of = append(of, Prefix{d, v})
		}
		trie, err := New(of)
		if err != nil {
			t.Fatal(err)
		}
		if trie.Len() != len(m) {
			t.Fatalf("%d of %d prefixes", trie.Len(), len(m))
		}
		for _, n := range rapid.SliceOfN(rapid.OneOf(word, rapid.StringMatching(`[0-3]{0,8}[+x]?[0-9]{0,3}`)), 1, 40).Draw(t, "numbers") {
			v, l, ok := trie.Find(n)
			pv, pl, pok := m.Find(n)
			if v != pv && ok || l != pl || ok != pok {
				t.Fatalf("%q: %d after %d digits, %v; want %d after %d, %v", n, v, l, ok, pv, pl, pok)
			}
			if sv, sl, sok := inOrder(of).Find(n); strings.Trim(n, "0123456789") == "" && (sl != pl || sok != pok || sok && sv != pv) {
				t.Fatalf("%q: the sorted search is wrong", n)
			}
		}
	})
}

func TestFaults(t *testing.T) {
	for _, of := range [][]Prefix{{{"12a", 1}}, {{"+1", 1}}, {{"12", 1}, {"12", 2}}} {
		if _, err := New(of); err == nil {
			t.Errorf("%v: no error", of)
		}
	}
	if trie, err := New([]Prefix{{"12", 1}, {"12", 1}, {"", 9}}); err != nil || trie.Len() != 2 {
		t.Errorf("one prefix twice: %v", err)
	} else if v, n, ok := trie.Find("+1"); v != 9 || n != 0 || !ok {
		t.Errorf("no digit: %d, %d, %v", v, n, ok)
	}
	if trie, _ := New(nil); trie.Len() != 0 {
		t.Error("nothing")
	} else if _, _, ok := trie.Find("123"); ok {
		t.Error("found in nothing")
	}
}

// A range's cover stands for each of its numbers once and for no other.
func TestCover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "length")
		lo := rapid.IntRange(0, 9999).Draw(t, "from") % pow(n)
		hi := lo + rapid.IntRange(0, 9999).Draw(t, "more")%(pow(n)-lo)
		of, err := Cover(fmt.Sprintf("%0*d", n, lo), fmt.Sprintf("%0*d", n, hi))
		if err != nil {
			t.Fatal(err)
		}
		for i := range pow(n) {
			hits := 0
			for _, p := range of {
				if strings.HasPrefix(fmt.Sprintf("%0*d", n, i), p) {
					hits++
				}
			}
			if in := i >= lo && i <= hi; hits > 1 || (hits == 1) != in {
				t.Fatalf("%d to %d: %d is in %d of %v", lo, hi, i, hits, of)
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

// some makes prefixes as number plans have them: areas, exchanges, and ported numbers of full length.
func some(n int) []Prefix {
	seen := map[string]bool{}
	var of []Prefix
	for i := uint64(0); len(of) < n; i++ {
		length := []int{4, 7, 7, 10, 11, 11, 11, 11}[int(chance.Of(1, i)*8)]
		d := fmt.Sprintf("1%010d", uint64(chance.Of(2, i)*1e10))[:length]
		if !seen[d] {
			seen[d] = true
			of = append(of, Prefix{d, uint32(len(of))})
		}
	}
	return of
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{1000, 100000, 1000000} {
		of := some(n)
		trie, err := New(of)
		if err != nil {
			b.Fatal(err)
		}
		m := plain{}
		for _, p := range of {
			m[p.Digits] = p.Value
		}
		var numbers []string
		for i := range uint64(1 << 16) {
			numbers = append(numbers, of[int(chance.Of(3, i)*float64(n))].Digits+"5550123")
		}
		for _, x := range []struct {
			name string
			find func(string) (uint32, int, bool)
		}{{"trie", trie.Find}, {"map", m.Find}, {"sorted", inOrder(of).Find}} {
			b.Run(fmt.Sprintf("%s/%d", x.name, n), func(b *testing.B) {
				b.ReportAllocs()
				for i := 0; i < b.N; i++ {
					x.find(numbers[i&(1<<16-1)])
				}
				if x.name == "trie" {
					b.ReportMetric(float64(trie.Bytes())/float64(n), "B/prefix")
				}
			})
		}
	}
}
