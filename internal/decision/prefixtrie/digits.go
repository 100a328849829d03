// Package prefixtrie finds the longest of many prefixes that a telephone number begins with. The trie is compact: a
// node has up to ten children, which are located by counting bits; a prefix that no other continues is a bare value
// in its parent; a run of digits without a branch is one chain node; and the rest of a prefix that is alone in its
// subtree is one leaf node. It is built once and then only read.
package prefixtrie

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"
)

//tally:decisions

// Prefix is a prefix of telephone numbers and its value.
type Prefix struct {
	Digits string
	Value  uint32
}

// node is a node of the trie. A digit has a child if longer prefixes continue with it, and a value if a prefix ends
// with it. A digit may have both.
type node struct {
	children uint16 // one bit per digit; or chain: a run of digits without a branch; or leaf: the end of a lone prefix
	ends     uint16 // one bit per digit; in a chain or leaf, its number of digits
	first    uint32 // index of the first child; in a chain, of its only child; in a leaf, its value
	values   uint32 // index of the first value; in a chain or leaf, its digits, four bits each
}

const (
	chain       = 0xffff
	leaf        = 0xfffe
	maxRun      = 8       // digits that fit into a chain or leaf
	maxPrefixes = 1 << 31 // limit of prefixes and nodes
)

// Trie is a set of prefixes with their values.
type Trie struct {
	nodes      []node
	values     []uint32
	emptyValue uint32 // the value of the empty prefix
	hasEmpty   bool
	size       int
}

// New builds a trie. A prefix with anything but digits, or one with two different values, is an error that names it.
// The given slice gets sorted.
func New(prefixes []Prefix) (*Trie, error) {
	if len(prefixes) >= maxPrefixes {
		return nil, fmt.Errorf("prefix trie: %d prefixes are too many", len(prefixes))
	}
	for _, p := range prefixes {
		for i := range len(p.Digits) {
			if p.Digits[i] < '0' || p.Digits[i] > '9' {
				return nil, fmt.Errorf("prefix trie: prefix %q: want digits only", p.Digits)
			}
		}
	}
	byDigits := func(a, b Prefix) int { return strings.Compare(a.Digits, b.Digits) }
	if !slices.IsSortedFunc(prefixes, byDigits) {
		slices.SortFunc(prefixes, byDigits)
	}
	t := &Trie{}
	for i := 1; i < len(prefixes); i++ {
		if prefixes[i].Digits == prefixes[i-1].Digits && prefixes[i].Value != prefixes[i-1].Value {
			return nil, fmt.Errorf(
				"prefix trie: prefix %q has two values, %d and %d",
				prefixes[i].Digits,
				prefixes[i-1].Value,
				prefixes[i].Value,
			)
		}
	}
	prefixes = slices.CompactFunc(prefixes, func(a, b Prefix) bool { return a.Digits == b.Digits })
	t.size = len(prefixes)
	if len(prefixes) > 0 && prefixes[0].Digits == "" {
		t.emptyValue, t.hasEmpty = prefixes[0].Value, true
		prefixes = prefixes[1:]
	}
	if len(prefixes) == 0 {
		return t, nil
	}
	t.nodes = append(t.nodes, node{})
	t.build(subtree{prefixes, 0, 0})
	t.nodes, t.values = slices.Clip(t.nodes), slices.Clip(t.values)
	return t, nil
}

// subtree is a node to be built: the prefixes below it, the number of digits above it, its index.
type subtree struct {
	prefixes []Prefix
	depth    int
	index    uint32
}

// clusterSize is the largest number of prefixes of a subtree whose nodes are placed next to each other in memory.
const clusterSize = 64

// build builds a subtree breadth first, so that the children of a node are adjacent in memory. Within a large subtree
// it builds each small one completely before the next.
func (t *Trie) build(root subtree) {
	queue := []subtree{root}
	for head := 0; head < len(queue); head++ {
		current := queue[head]
		queue[head] = subtree{} // drop the reference to its prefixes
		if len(current.prefixes) <= clusterSize && len(root.prefixes) > clusterSize {
			t.build(current)
			continue
		}
		queue = t.buildNode(current, queue)
	}
}

// buildNode builds a node and appends its children to the queue.
func (t *Trie) buildNode(part subtree, queue []subtree) []subtree {
	n := node{}
	if run := len(part.prefixes[0].Digits) - part.depth; len(part.prefixes) == 1 && run <= maxRun {
		t.nodes[part.index] = node{
			leaf,
			uint16(run),
			part.prefixes[0].Value,
			packDigits(part.prefixes[0].Digits[part.depth:]),
		}
		return queue
	}
	if run := sharedRun(part.prefixes, part.depth); run > 0 {
		t.nodes[part.index] = node{
			chain,
			uint16(run),
			uint32(len(t.nodes)),
			packDigits(part.prefixes[0].Digits[part.depth : part.depth+run]),
		}
		queue = append(queue, subtree{part.prefixes, part.depth + run, uint32(len(t.nodes))})
		t.nodes = append(t.nodes, node{})
		return queue
	}
	n.first, n.values = uint32(len(t.nodes)), uint32(len(t.values))
	for i := 0; i < len(part.prefixes); {
		d := part.prefixes[i].Digits[part.depth]
		j := i + 1
		for j < len(part.prefixes) && part.prefixes[j].Digits[part.depth] == d {
			j++
		}
		group := part.prefixes[i:j]
		if len(group[0].Digits) == part.depth+1 {
			n.ends |= 1 << (d - '0')
			t.values = append(t.values, group[0].Value)
			group = group[1:]
		}
		if len(group) > 0 {
			n.children |= 1 << (d - '0')
			queue = append(queue, subtree{group, part.depth + 1, uint32(len(t.nodes))})
			t.nodes = append(t.nodes, node{})
		}
		i = j
	}
	t.nodes[part.index] = n
	return queue
}

// packDigits packs up to eight digits, four bits each.
func packDigits(digits string) (p uint32) {
	for i := range len(digits) {
		p |= uint32(digits[i]-'0') << (4 * i)
	}
	return
}

// sharedRun returns the number of digits, from a depth on, that make a chain for all the prefixes. It returns 0 if the
// chain would be too short. A chain is one digit shorter than the digits they share, because a prefix may end at the
// last of these.
func sharedRun(prefixes []Prefix, depth int) int {
	a, b := prefixes[0].Digits, prefixes[len(prefixes)-1].Digits // sorted: digits that these two share are shared by all
	n := 0
	for n < maxRun && depth+n+1 < len(a) && depth+n+1 < len(b) && a[depth+n] == b[depth+n] {
		n++
	}
	if n < 2 {
		return 0
	}
	return n
}

// Find returns the value and the length of the longest prefix that a number begins with, and whether there is one.
// The number ends at the first character that is not a digit.
func (t *Trie) Find(number string) (value uint32, length int, ok bool) {
	value, ok = t.emptyValue, t.hasEmpty
	if len(t.nodes) == 0 {
		return
	}
	index := uint32(0)
	for i := 0; i < len(number); {
		current := &t.nodes[index]
		if current.children >= leaf {
			run := int(current.ends)
			if len(number)-i < run {
				return
			}
			for offset := range run {
				if uint32(number[i+offset]-'0') != current.values>>(4*offset)&15 {
					return
				}
			}
			i += run
			if current.children == leaf {
				return current.first, i, true
			}
			index = current.first
			continue
		}
		digit := number[i] - '0'
		if digit > 9 {
			return
		}
		bit := uint16(1) << digit
		if current.ends&bit != 0 {
			value, length, ok = t.values[current.values+uint32(bits.OnesCount16(current.ends&(bit-1)))], i+1, true
		}
		if current.children&bit == 0 {
			return
		}
		index = current.first + uint32(bits.OnesCount16(current.children&(bit-1)))
		i++
	}
	return
}

// Len returns the number of prefixes.
func (t *Trie) Len() int { return t.size }

// Bytes returns the memory size of the trie.
func (t *Trie) Bytes() int { return 12*cap(t.nodes) + 4*cap(t.values) }

// Cover returns the smallest set of prefixes that match all numbers from one to another of the same length, both
// included, and no others of that length.
func Cover(from, to string) ([]string, error) {
	if len(from) != len(to) || from > to || from == "" {
		return nil, fmt.Errorf("range %q to %q: want two numbers of one length, the lower first", from, to)
	}
	for _, s := range []string{from, to} {
		if strings.Trim(s, "0123456789") != "" {
			return nil, fmt.Errorf("range %q to %q: want digits only", from, to)
		}
	}
	var prefixes []string
	var cover func(prefix, lo, hi string)
	cover = func(prefix, lo, hi string) {
		if strings.Trim(lo, "0") == "" && strings.Trim(hi, "9") == "" {
			prefixes = append(prefixes, prefix)
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
	return prefixes, nil
}
