package numberplan

import (
	"fmt"
	"slices"
	"strings"
)

// PackPrefixes encodes prefixes, given in any order, compactly: sorted, each as the number of digits shared with the
// one before, the number of digits that follow, and these digits, two to an octet. An empty, duplicate or too long
// prefix, or one with anything but digits, is an error.
func PackPrefixes(prefixes []string) ([]byte, error) {
	prefixes = slices.Clone(prefixes)
	slices.Sort(prefixes)
	var b []byte
	previous := ""
	for i, p := range prefixes {
		if strings.Trim(p, "0123456789") != "" || len(p) > maxDigits || p == "" {
			return nil, fmt.Errorf("prefix %q: want 1 to %d digits", p, maxDigits)
		}
		if i > 0 && p == previous {
			return nil, fmt.Errorf("duplicate prefix %q", p)
		}
		shared := 0
		for shared < len(p) && shared < len(previous) && p[shared] == previous[shared] {
			shared++
		}
		b = append(b, byte(shared), byte(len(p)-shared))
		for j := shared; j < len(p); j += 2 {
			octet := (p[j] - '0') << 4
			if j+1 < len(p) {
				octet |= p[j+1] - '0'
			}
			b = append(b, octet)
		}
		previous = p
	}
	return b, nil
}

// unpackPrefixes reverses PackPrefixes and rejects input that PackPrefixes can not produce.
func unpackPrefixes(b []byte) ([]string, error) {
	var prefixes []string
	var current, digits []byte
	ends := []int{}
	for len(b) > 0 {
		if len(b) < 2 {
			return nil, fmt.Errorf("packed prefixes: truncated after %d prefixes", len(ends))
		}
		shared, added := int(b[0]), int(b[1])
		if shared > len(current) || shared+added > maxDigits || added == 0 || len(b) < 2+(added+1)/2 {
			return nil, fmt.Errorf("packed prefixes: damaged after %d prefixes", len(ends))
		}
		previous := string(current)
		current = current[:shared]
		for j := range added {
			digit := b[2+j/2]
			if j%2 == 0 {
				digit >>= 4
			}
			if digit &= 15; digit > 9 {
				return nil, fmt.Errorf("packed prefixes: damaged after %d prefixes", len(ends))
			}
			current = append(current, '0'+digit)
		}
		if len(ends) > 0 && previous >= string(current) {
			return nil, fmt.Errorf("packed prefixes: out of order after %d prefixes", len(ends))
		}
		b = b[2+(added+1)/2:]
		digits = append(digits, current...)
		ends = append(ends, len(digits))
	}
	joined, start := string(digits), 0 // one string backs all prefixes
	prefixes = make([]string, len(ends))
	for i, end := range ends {
		prefixes[i] = joined[start:end]
		start = end
	}
	return prefixes, nil
}
