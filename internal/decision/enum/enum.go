// Package enum maps numbers to ENUM domains and evaluates NAPTR records (RFC 6116). It does no look-ups. The rules of a
// domain are tried by order and preference; the first rule that matches ends the search (RFC 3403 4.1). Regular
// expressions are limited in length and run in linear time.
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

// Limits on records from the network.
const (
	MaxRules        = 64  // of one domain
	maxRegexpLength = 255 // octets: maximum of a character string (RFC 1035 3.3)
	maxResultLength = 512 // octets: maximum result of a rule
)

// Errors of rules; they are wrapped with the details.
var (
	ErrNoRule  = errors.New("enum: no rule matches")
	ErrInvalid = errors.New("enum: invalid rule")
)

// Domain returns the domain of a number: its digits in reverse order under an apex (RFC 6116 2.4), e.g.
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

// Number returns the number of a domain; an error if the domain is not under the apex or holds no number.
func Number(domain, apex string) (string, error) {
	apex = strings.TrimSuffix(strings.ToLower(apex), ".") + "."
	d, ok := strings.CutSuffix(strings.ToLower(strings.TrimSuffix(domain, ".")+"."), "."+apex)
	if !ok {
		return "", fmt.Errorf("enum: %s is not under %s", domain, apex)
	}
	parts := strings.Split(d, ".")
	if len(parts) > 40 {
		return "", fmt.Errorf("enum: %s: more than 40 digits", domain)
	}
	var b strings.Builder
	for _, p := range slices.Backward(parts) {
		if len(p) != 1 || p[0] < '0' || p[0] > '9' {
			return "", fmt.Errorf("enum: %s: %q is not a digit", domain, p)
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

// Result is the result of a rule; exactly one field is set.
type Result struct {
	URI  string // of a terminal rule
	Next string // of a non-terminal rule: the domain to look up next (RFC 6116 2.4.2)
}

// Apply applies the first rule for one of the services that matches a number in the form "+14185551234" (RFC 6116 3.1).
// Invalid rules are skipped (RFC 6116 5.1.2), and reported as ErrInvalid if no other rule matches.
func Apply(number string, rules []Rule, services ...string) (Result, error) {
	if len(rules) > MaxRules {
		return Result{}, fmt.Errorf("%w: %d rules of one domain, want %d at most", ErrInvalid, len(rules), MaxRules)
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
	failure := ErrNoRule
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
			if errors.Is(err, ErrInvalid) {
				failure = err
			}
		case "": // non-terminal, without a service: a replacement, or an expression that results in a domain
			next := r.Replacement
			if r.Regexp != "" {
				var err error
				if next, err = substitute(number, r.Regexp); err != nil {
					if errors.Is(err, ErrInvalid) {
						failure = err
					}
					continue
				}
			}
			if next = strings.TrimSuffix(next, "."); next == "" || len(next) > 253 {
				failure = fmt.Errorf("%w: non-terminal rule without a valid domain", ErrInvalid)
				continue
			}
			return Result{Next: strings.ToLower(next) + "."}, nil
		default:
			failure = fmt.Errorf("%w: flags %q", ErrInvalid, r.Flags)
		}
	}
	return Result{}, failure
}

// Serves reports whether a service field "E2U+type:subtype+..." (RFC 6116 3.4.3) has one of the given enumservices.
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

// substitute applies the regexp field of a rule (RFC 3402 3.2): delimiter, extended expression, delimiter,
// replacement with \0 to \9, delimiter, and an optional i to ignore case.
func substitute(number, field string) (string, error) {
	if len(field) < 3 || len(field) > maxRegexpLength {
		return "", fmt.Errorf("%w: regexp of %d octets", ErrInvalid, len(field))
	}
	delimiter := field[0]
	if delimiter >= '0' && delimiter <= '9' || delimiter == '\\' || delimiter == 'i' || delimiter > 126 {
		return "", fmt.Errorf("%w: delimiter %q", ErrInvalid, delimiter)
	}
	parts := split(field[1:], delimiter)
	if len(parts) != 3 || parts[2] != "" && parts[2] != "i" {
		return "", fmt.Errorf("%w: regexp %q: want three delimiters", ErrInvalid, field)
	}
	if parts[2] == "i" {
		parts[0] = "(?i)" + parts[0]
	}
	re, err := regexp.Compile(parts[0]) // rejects repeat counts of more than a thousand copies, nested ones included
	if err != nil {
		return "", fmt.Errorf("%w: regexp %q: %w", ErrInvalid, field, err)
	}
	re.Longest() // leftmost-longest match, as in POSIX
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
					return "", fmt.Errorf("%w: regexp %q: no group %c", ErrInvalid, field, c)
				}
				b.WriteString(m[c-'0'])
				continue
			}
		}
		b.WriteByte(c)
	}
	if b.Len() > maxResultLength {
		return "", fmt.Errorf("%w: regexp %q results in %d octets", ErrInvalid, field, b.Len())
	}
	return b.String(), nil
}

// split splits at unescaped delimiters; an escaped delimiter loses its backslash.
func split(s string, delimiter byte) []string {
	parts, cur := []string{}, []byte{}
	for i := 0; i < len(s); i++ {
		switch {
		case s[i] == '\\' && i+1 < len(s) && s[i+1] == delimiter:
			i++
			cur = append(cur, delimiter)
		case s[i] == '\\' && i+1 < len(s):
			cur = append(cur, s[i], s[i+1])
			i++
		case s[i] == delimiter:
			parts, cur = append(parts, string(cur)), []byte{}
		default:
			cur = append(cur, s[i])
		}
	}
	return append(parts, string(cur))
}

// Ported holds the portability parameters of a number.
type Ported struct {
	LookupDone bool   // npdi: a portability look-up was done
	Routing    string // rn in global form or with its context, digits with a +; "": the number is not ported
	Carrier    string // cic
}

// Tel parses the number and the portability parameters (RFC 4694 3) of a tel URI. Any other URI is an error.
func Tel(uri string) (number string, p Ported, err error) {
	rest, ok := strings.CutPrefix(strings.ToLower(uri), "tel:")
	if !ok {
		return "", p, fmt.Errorf("%w: %q is not a tel URI", ErrInvalid, uri)
	}
	number, params, _ := strings.Cut(rest, ";")
	p, err = Params(params)
	if err == nil && strings.Trim(strings.TrimPrefix(number, "+"), "0123456789-.()") != "" {
		err = fmt.Errorf("%w: %q: not a number", ErrInvalid, uri)
	}
	return number, p, err
}

// Params parses the portability parameters of a telephone number, separated by semicolons. A repeated parameter is an
// error (RFC 4694 3), and so is an invalid routing number.
func Params(params string) (Ported, error) {
	var p Ported
	seen := map[string]bool{}
	context := ""
	for s := range strings.SplitSeq(strings.ToLower(params), ";") {
		k, v, _ := strings.Cut(s, "=")
		if seen[k] && (k == "rn" || k == "cic" || k == "npdi" || k == "rn-context") {
			return Ported{}, fmt.Errorf("%w: %s is repeated", ErrInvalid, k)
		}
		seen[k] = true
		switch k {
		case "npdi":
			p.LookupDone = true
		case "rn":
			if n := strings.Trim(v, "+0123456789-.()"); n != "" || strings.Trim(v, "+-.()") == "" {
				return Ported{}, fmt.Errorf("%w: rn=%s is not a number", ErrInvalid, v)
			}
			p.Routing = v
		case "rn-context":
			if n := strings.TrimPrefix(v, "+"); n == "" || strings.Trim(n, "0123456789-.()") != "" {
				return Ported{}, fmt.Errorf("%w: rn-context=%s is not a number", ErrInvalid, v)
			}
			context = v
		case "cic":
			if n := strings.TrimPrefix(v, "+"); n == "" || strings.Trim(n, "0123456789-.()") != "" {
				return Ported{}, fmt.Errorf("%w: cic=%s is not a carrier code", ErrInvalid, v)
			}
			p.Carrier = v
		}
	}
	if p.Routing != "" && !strings.HasPrefix(p.Routing, "+") && strings.HasPrefix(context, "+") {
		p.Routing = context + p.Routing // a local routing number is prefixed with its context
	}
	return p, nil
}
