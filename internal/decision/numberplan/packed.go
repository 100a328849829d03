package numberplan

import (
	"fmt"
	"slices"
	"strings"
)

// PackPrefixes puts many prefixes, in any order, into few octets: in order, each as the digits that it shares with the
// one before, the digits that follow, and those two to an octet. Anything but digits is an error.
func PackPrefixes(of []string) ([]byte, error) {
	of = slices.Clone(of)
	slices.Sort(of)
	var b []byte
	last := ""
	for i, p := range of {
		if strings.Trim(p, "0123456789") != "" || len(p) > mostDigits || p == "" {
			return nil, fmt.Errorf("prefix %q: want 1 to %d digits", p, mostDigits)
		}
		if i > 0 && p == last {
			return nil, fmt.Errorf("prefix %q stands here twice", p)
		}
		n := 0
		for n < len(p) && n < len(last) && p[n] == last[n] {
			n++
		}
		b = append(b, byte(n), byte(len(p)-n))
		for j := n; j < len(p); j += 2 {
			x := (p[j] - '0') << 4
			if j+1 < len(p) {
				x |= p[j+1] - '0'
			}
			b = append(b, x)
		}
		last = p
	}
	return b, nil
}

// unpackPrefixes undoes it, and refuses what it could not have made.
func unpackPrefixes(b []byte) ([]string, error) {
	var of []string
	var cur, all []byte
	ends := []int{}
	for len(b) > 0 {
		if len(b) < 2 {
			return nil, fmt.Errorf("packed prefixes: cut off after %d", len(ends))
		}
		n, more := int(b[0]), int(b[1])
		if n > len(cur) || n+more > mostDigits || more == 0 || len(b) < 2+(more+1)/2 {
			return nil, fmt.Errorf("packed prefixes: damaged after %d", len(ends))
		}
		was := string(cur)
		cur = cur[:n]
		for j := range more {
			d := b[2+j/2]
			if j%2 == 0 {
				d >>= 4
			}
			if d &= 15; d > 9 {
				return nil, fmt.Errorf("packed prefixes: damaged after %d", len(ends))
			}
			cur = append(cur, '0'+d)
		}
		if len(ends) > 0 && was >= string(cur) {
			return nil, fmt.Errorf("packed prefixes: out of order after %d", len(ends))
		}
		b = b[2+(more+1)/2:]
		all = append(all, cur...)
		ends = append(ends, len(all))
	}
	text, from := string(all), 0 // one text for all
	of = make([]string, len(ends))
	for i, e := range ends {
		of[i] = text[from:e]
		from = e
	}
	return of, nil
}
