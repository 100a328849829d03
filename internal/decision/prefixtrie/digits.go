// Package prefixtrie finds the longest of many prefixes that a telephone number begins with. The trie is made for that:
// ten ways a node, children counted by bits, prefixes that nothing follows kept as bare values, single ways run
// together, and what is left of a prefix that is alone on its way in one node. It is built once and only read after.
package prefixtrie

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"
)

//tally:decisions

// Prefix is a beginning of numbers, in digits, and what it stands for.
type Prefix struct {
	Digits string
	Value  uint32
}

// node is a place in the trie. A way with more than one prefix behind it is a node; a prefix that ends on a way is a
// value. Both may be so for one digit.
type node struct {
	kids   uint16 // by digit; chain: a run of digits without a choice; leaf: a run that ends a prefix, alone on its way
	ends   uint16 // by digit; in a chain or leaf how many digits it has
	first  uint32 // the first kid; in a chain the one after it; in a leaf its value
	values uint32 // the first value; in a chain or leaf its digits, four bits each
}

const (
	chain    = 0xffff
	leaf     = 0xfffe
	mostRun  = 8       // digits that fit into a chain
	mostSize = 1 << 31 // prefixes and nodes at most
)

// Trie is a set of prefixes.
type Trie struct {
	nodes  []node
	values []uint32
	any    uint32 // of the empty prefix
	hasAny bool
	size   int
}

// New builds a trie. Anything but digits, and one prefix twice with different values, is an error that names it; the
// given slice is put in order.
func New(of []Prefix) (*Trie, error) {
	if len(of) >= mostSize {
		return nil, fmt.Errorf("digits: %d prefixes are too many", len(of))
	}
	for _, p := range of {
		for i := range len(p.Digits) {
			if p.Digits[i] < '0' || p.Digits[i] > '9' {
				return nil, fmt.Errorf("digits: prefix %q: want digits only", p.Digits)
			}
		}
	}
	inOrder := func(a, b Prefix) int { return strings.Compare(a.Digits, b.Digits) }
	if !slices.IsSortedFunc(of, inOrder) {
		slices.SortFunc(of, inOrder)
	}
	t := &Trie{}
	for i := 1; i < len(of); i++ {
		if of[i].Digits == of[i-1].Digits && of[i].Value != of[i-1].Value {
			return nil, fmt.Errorf("digits: prefix %q stands for %d and %d", of[i].Digits, of[i-1].Value, of[i].Value)
		}
	}
	of = slices.CompactFunc(of, func(a, b Prefix) bool { return a.Digits == b.Digits })
	t.size = len(of)
	if len(of) > 0 && of[0].Digits == "" {
		t.any, t.hasAny = of[0].Value, true
		of = of[1:]
	}
	if len(of) == 0 {
		return t, nil
	}
	t.nodes = append(t.nodes, node{})
	t.grow(part{of, 0, 0})
	t.nodes, t.values = slices.Clip(t.nodes), slices.Clip(t.values)
	return t, nil
}

// part is a node to be made: the prefixes behind it, the digits before it, its place.
type part struct {
	of    []Prefix
	depth int
	at    uint32
}

// near is the most prefixes of a part that is made as a whole, so that it lies together in memory.
const near = 64

// grow makes a part breadth first, so that a node's kids lie together, and of a large one each part that is small as a
// whole.
func (t *Trie) grow(p part) {
	queue := []part{p}
	for head := 0; head < len(queue); head++ {
		q := queue[head]
		queue[head] = part{} // let go of
		if len(q.of) <= near && len(p.of) > near {
			t.grow(q)
			continue
		}
		queue = t.node(q, queue)
	}
}

// node makes a node and adds what is behind it to the parts to be made.
func (t *Trie) node(p part, queue []part) []part {
	n := node{}
	if run := len(p.of[0].Digits) - p.depth; len(p.of) == 1 && run <= mostRun {
		t.nodes[p.at] = node{leaf, uint16(run), p.of[0].Value, packed(p.of[0].Digits[p.depth:])}
		return queue
	}
	if run := shared(p.of, p.depth); run > 0 {
		t.nodes[p.at] = node{chain, uint16(run), uint32(len(t.nodes)), packed(p.of[0].Digits[p.depth : p.depth+run])}
		queue = append(queue, part{p.of, p.depth + run, uint32(len(t.nodes))})
		t.nodes = append(t.nodes, node{})
		return queue
	}
	n.first, n.values = uint32(len(t.nodes)), uint32(len(t.values))
	for i := 0; i < len(p.of); {
		d := p.of[i].Digits[p.depth]
		j := i + 1
		for j < len(p.of) && p.of[j].Digits[p.depth] == d {
			j++
		}
		group := p.of[i:j]
		if len(group[0].Digits) == p.depth+1 {
			n.ends |= 1 << (d - '0')
			t.values = append(t.values, group[0].Value)
			group = group[1:]
		}
		if len(group) > 0 {
			n.kids |= 1 << (d - '0')
			queue = append(queue, part{group, p.depth + 1, uint32(len(t.nodes))})
			t.nodes = append(t.nodes, node{})
		}
		i = j
	}
	t.nodes[p.at] = n
	return queue
}

// packed is up to eight digits, four bits each.
func packed(digits string) (p uint32) {
	for i := range len(digits) {
		p |= uint32(digits[i]-'0') << (4 * i)
	}
	return
}

// shared is how many digits from a depth on all of some prefixes share before any of them ends, as far as worth a
// chain: one digit less than they share, for the last one may be where a prefix ends.
func shared(of []Prefix, depth int) int {
	a, b := of[0].Digits, of[len(of)-1].Digits // sorted: what these share all share
	n := 0
	for n < mostRun && depth+n+1 < len(a) && depth+n+1 < len(b) && a[depth+n] == b[depth+n] {
		n++
	}
	if n < 2 {
		return 0
	}
	return n
}

// Find is the value of the longest prefix that a number begins with, and how many digits it has; false without one.
// What is no digit ends the number.
func (t *Trie) Find(number string) (value uint32, length int, ok bool) {
	value, ok = t.any, t.hasAny
	if len(t.nodes) == 0 {
		return
	}
	at := uint32(0)
	for i := 0; i < len(number); {
		n := &t.nodes[at]
		if n.kids >= leaf {
			run := int(n.ends)
			if len(number)-i < run {
				return
			}
			for k := range run {
				if uint32(number[i+k]-'0') != n.values>>(4*k)&15 {
					return
				}
			}
			i += run
			if n.kids == leaf {
				return n.first, i, true
			}
			at = n.first
			continue
		}
		d := number[i] - '0'
		if d > 9 {
			return
		}
		bit := uint16(1) << d
		if n.ends&bit != 0 {
			value, length, ok = t.values[n.values+uint32(bits.OnesCount16(n.ends&(bit-1)))], i+1, true
		}
		if n.kids&bit == 0 {
			return
		}
		at = n.first + uint32(bits.OnesCount16(n.kids&(bit-1)))
		i++
	}
	return
}

// Len is the number of prefixes.
func (t *Trie) Len() int { return t.size }

// Bytes is what the trie takes.
func (t *Trie) Bytes() int { return 12*cap(t.nodes) + 4*cap(t.values) }

// Cover is the fewest prefixes that stand for all numbers from one to another of the same length, both included.
func Cover(from, to string) ([]string, error) {
	if len(from) != len(to) || from > to || from == "" {
		return nil, fmt.Errorf("digits: range %q to %q: want two numbers of one length, the lower first", from, to)
	}
	for _, s := range []string{from, to} {
		if strings.Trim(s, "0123456789") != "" {
			return nil, fmt.Errorf("digits: range %q to %q: want digits only", from, to)
		}
	}
	var of []string
	var cover func(prefix, lo, hi string)
	cover = func(prefix, lo, hi string) {
		if strings.Trim(lo, "0") == "" && strings.Trim(hi, "9") == "" {
			of = append(of, prefix)
			return
		}
		for d := lo[0]; d <= hi[0]; d++ {
			l, h := strings.Repeat("0", len(lo)-1), strings.Repeat("9", len(lo)-1)
			if d == lo[0] {
				l = lo[1:]
			}
			if d == hi[0] {
				h = hi[1:]
			}
			cover(prefix+string(d), l, h)
		}
	}
	cover("", from, to)
	return of, nil
}
