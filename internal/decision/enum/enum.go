// Package enum is what ENUM (RFC 6116) makes of numbers and of NAPTR records, without any look-up: the domain of a
// number, and where a set of rules leads. Rules of a domain are tried by order and preference; a rule that fits ends
// the search of its order (RFC 3403 4.1). Regular expressions run in linear time whatever they say, and are bounded in
// length.
package enum

import (
	"cmp"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

//tally:decisions

// Bounds on what is taken from the network.
const (
	MaxRules   = 64  // of one domain
	mostRegexp = 255 // octets: what a character string of a NAPTR holds (RFC 1035 3.3)
	mostResult = 512 // octets that a rule may make
)

// Errors of rules; what is wrong stands with them.
var (
	ErrNoRule = errors.New("enum: no rule fits")
	ErrBad    = errors.New("enum: a bad rule")
)

// Domain is where the rules of a number stand: its digits the other way round under an apex (RFC 6116 2.4), such as
// "4.3.2.1.5.5.5.8.1.4.1.e164.arpa." for 14185551234. Anything but 1 to 40 digits is an error.
func Domain(number, apex string) (string, error) {
	if number == "" || len(number) > 40 || strings.Trim(number, "0123456789") != "" {
		return "", fmt.Errorf("enum: %q: want 1 to 40 digits", number)
	}
	b := make([]byte, 0, 2*len(number)+len(apex)+1)
	for i := len(number) - 1; i >= 0; i-- {
		b = append(b, number[i], '.')
	}
	return string(b) + strings.TrimPrefix(strings.TrimSuffix(apex, ".")+".", "."), nil
}

// Number is the number of a domain; an error if it does not lie under the apex, or is none.
func Number(domain, apex string) (string, error) {
	apex = strings.TrimSuffix(strings.ToLower(apex), ".") + "."
	d, ok := strings.CutSuffix(strings.ToLower(strings.TrimSuffix(domain, ".")+"."), "."+apex)
	if !ok {
		return "", fmt.Errorf("enum: %s does not lie under %s", domain, apex)
	}
	parts := strings.Split(d, ".")
	if len(parts) > 40 {
		return "", fmt.Errorf("enum: %s: more than 40 digits", domain)
	}
	var b strings.Builder
	for _, p := range slices.Backward(parts) {
		if len(p) != 1 || p[0] < '0' || p[0] > '9' {
			return "", fmt.Errorf("enum: %s: %q is no digit", domain, p)
		}
		b.WriteString(p)
	}
	return b.String(), nil
}

// Rule is a NAPTR record (RFC 3403 4.1).
type Rule struct {
	Order, Preference uint16
	Flags, Service    string
	Regexp            string
	Replacement       string
}

// Result is where rules lead; one of them is set.
type Result struct {
	URI  string // the end
	Next string // a domain whose rules go on (RFC 6116 2.4.2: a non-terminal rule)
}

// Apply finds the first rule for one of the services that fits a number, in the form "+14185551234" (RFC 6116 3.1). Bad
// rules are passed over (RFC 6116 5.1.2), and told with ErrBad if none fits else.
func Apply(number string, rules []Rule, services ...string) (Result, error) {
	if len(rules) > MaxRules {
		return Result{}, fmt.Errorf("%w: %d rules of one domain, want %d at most", ErrBad, len(rules), MaxRules)
	}
	rules = slices.Clone(rules)
	slices.SortStableFunc(rules, func(a, b Rule) int {
		return cmp.Or(
			cmp.Compare(a.Order, b.Order),
			cmp.Compare(a.Preference, b.Preference),
			strings.Compare(a.Service, b.Service),
			strings.Compare(a.Regexp, b.Regexp),
			strings.Compare(a.Replacement, b.Replacement),
		)
	})
	found := ErrNoRule
	for _, r := range rules {
		switch strings.ToLower(r.Flags) {
		case "u":
			if !Serves(r.Service, services...) {
				continue
			}
			uri, err := substitute(number, r.Regexp)
			if err == nil {
				return Result{URI: uri}, nil
			}
			if errors.Is(err, ErrBad) {
				found = err
			}
		case "": // non-terminal: by a replacement, or by an expression that makes a domain; whose service is empty
			next := r.Replacement
			if r.Regexp != "" {
				var err error
				if next, err = substitute(number, r.Regexp); err != nil {
					if errors.Is(err, ErrBad) {
						found = err
					}
					continue
				}
			}
			if next = strings.TrimSuffix(next, "."); next == "" || len(next) > 253 {
				found = fmt.Errorf("%w: it leads to no domain", ErrBad)
				continue
			}
			return Result{Next: strings.ToLower(next) + "."}, nil
		default:
			found = fmt.Errorf("%w: flags %q", ErrBad, r.Flags)
		}
	}
	return Result{}, found
}

// Serves tells whether a service field "E2U+type:subtype+..." (RFC 6116 3.4.3) has one of some enumservices.
func Serves(field string, services ...string) bool {
	parts := strings.Split(strings.ToLower(field), "+")
	if parts[0] != "e2u" {
		return false
	}
	for _, p := range parts[1:] {
		if slices.Contains(services, p) {
			return true
		}
	}
	return false
}

// substitute does what the regexp field of a rule says (RFC 3402 3.2): delimiter, extended expression, delimiter,
// replacement with \0 to \9, delimiter, and i where case does not matter.
func substitute(number, field string) (string, error) {
	if len(field) < 3 || len(field) > mostRegexp {
		return "", fmt.Errorf("%w: regexp of %d octets", ErrBad, len(field))
	}
	d := field[0]
	if d >= '0' && d <= '9' || d == '\\' || d == 'i' || d > 126 {
		return "", fmt.Errorf("%w: delimiter %q", ErrBad, d)
	}
	parts := split(field[1:], d)
	if len(parts) != 3 || parts[2] != "" && parts[2] != "i" {
		return "", fmt.Errorf("%w: regexp %q: want three delimiters", ErrBad, field)
	}
	if parts[2] == "i" {
		parts[0] = "(?i)" + parts[0]
	}
	re, err := regexp.Compile(parts[0]) // it refuses counts that come to more than a thousand copies, nested ones too
	if err != nil {
		return "", fmt.Errorf("%w: regexp %q: %w", ErrBad, field, err)
	}
	re.Longest() // as POSIX has it
	m := re.FindStringSubmatch(number)
	if m == nil {
		return "", ErrNoRule
	}
	var b strings.Builder
	for i := 0; i < len(parts[1]); i++ {
		c := parts[1][i]
		if c == '\\' && i+1 < len(parts[1]) {
			i++
			if c = parts[1][i]; c >= '0' && c <= '9' {
				if int(c-'0') >= len(m) {
					return "", fmt.Errorf("%w: regexp %q: no group %c", ErrBad, field, c)
				}
				b.WriteString(m[c-'0'])
				continue
			}
		}
		b.WriteByte(c)
	}
	if b.Len() > mostResult {
		return "", fmt.Errorf("%w: regexp %q makes %d octets", ErrBad, field, b.Len())
	}
	return b.String(), nil
}

// split cuts at delimiters that no backslash stands before; one that is escaped loses its backslash.
func split(s string, d byte) []string {
	parts, cur := []string{}, []byte{}
	for i := 0; i < len(s); i++ {
		switch {
		case s[i] == '\\' && i+1 < len(s) && s[i+1] == d:
			i++
			cur = append(cur, d)
		case s[i] == '\\' && i+1 < len(s):
			cur = append(cur, s[i], s[i+1])
			i++
		case s[i] == d:
			parts, cur = append(parts, string(cur)), []byte{}
		default:
			cur = append(cur, s[i])
		}
	}
	return append(parts, string(cur))
}

// Ported is what a portability look-up says of a number.
type Ported struct {
	Looked  bool   // npdi: somebody looked
	Routing string // rn in global form or with its context, digits with a +; "": the number is not ported
	Carrier string // cic
}

// Tel reads the portability parameters (RFC 4694 3) of a tel URI, or of the user part of a SIP URI. What is no such
// thing is an error.
func Tel(uri string) (number string, p Ported, err error) {
	rest, ok := strings.CutPrefix(strings.ToLower(uri), "tel:")
	if !ok {
		return "", p, fmt.Errorf("%w: %q is no tel URI", ErrBad, uri)
	}
	number, params, _ := strings.Cut(rest, ";")
	p, err = Params(params)
	if err == nil && strings.Trim(strings.TrimPrefix(number, "+"), "0123456789-.()") != "" {
		err = fmt.Errorf("%w: %q: not a number", ErrBad, uri)
	}
	return number, p, err
}

// Params reads the portability parameters of a telephone number, cut at semicolons. One that stands twice is an error
// (RFC 4694 3), as is a routing number that is none.
func Params(params string) (Ported, error) {
	var p Ported
	seen := map[string]bool{}
	context := ""
	for s := range strings.SplitSeq(strings.ToLower(params), ";") {
		k, v, _ := strings.Cut(s, "=")
		if seen[k] && (k == "rn" || k == "cic" || k == "npdi" || k == "rn-context") {
			return Ported{}, fmt.Errorf("%w: %s stands twice", ErrBad, k)
		}
		seen[k] = true
		switch k {
		case "npdi":
			p.Looked = true
		case "rn":
			if n := strings.Trim(v, "+0123456789-.()"); n != "" || strings.Trim(v, "+-.()") == "" {
				return Ported{}, fmt.Errorf("%w: rn=%s is no number", ErrBad, v)
			}
			p.Routing = v
		case "rn-context":
			if n := strings.TrimPrefix(v, "+"); n == "" || strings.Trim(n, "0123456789-.()") != "" {
				return Ported{}, fmt.Errorf("%w: rn-context=%s is no number", ErrBad, v)
			}
			context = v
		case "cic":
			if n := strings.TrimPrefix(v, "+"); n == "" || strings.Trim(n, "0123456789-.()") != "" {
				return Ported{}, fmt.Errorf("%w: cic=%s is no carrier's number", ErrBad, v)
			}
			p.Carrier = v
		}
	}
	if p.Routing != "" && !strings.HasPrefix(p.Routing, "+") && strings.HasPrefix(context, "+") {
		p.Routing = context + p.Routing // a local routing number stands under its context
	}
	return p, nil
}
