package enum

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Numbers convert to domains and back; anything else is rejected.
func TestDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.StringMatching(`[0-9]{1,40}`).Draw(t, "number")
		domain, err := Domain(number, "e164.arpa")
		if err != nil {
			t.Fatal(err)
		}
		back, err := Number(strings.ToUpper(domain), "E164.arpa.")
		if err != nil || back != number {
			t.Fatalf("%s: domain %s, converted back %q, %v", number, domain, back, err)
		}
	})
	for _, number := range []string{"", "+1", "1a", strings.Repeat("1", 41)} {
		if _, err := Domain(number, "e164.arpa"); err == nil {
			t.Errorf("%q has a domain", number)
		}
	}
	for _, domain := range []string{"e164.arpa", "1.e164.org.", "12.e164.arpa.", "x.1.e164.arpa", ".e164.arpa",
		strings.Repeat("1.", 41) + "e164.arpa"} {
		if number, err := Number(domain, "e164.arpa"); err == nil {
			t.Errorf("%q was converted to number %q", domain, number)
		}
	}
}

func TestApply(t *testing.T) {
	const n = "+14185551234"
	sip := func(order, pref uint16, re string) Rule { return Rule{order, pref, "u", "E2U+sip", re, ""} }
	for _, c := range []struct {
		name  string
		rules []Rule
		want  Result
		err   error
	}{
		{"order before preference", []Rule{sip(2, 1, "!^.*$!sip:b@x!"), sip(1, 9, "!^.*$!sip:a@x!")},
			Result{URI: "sip:a@x"}, nil},
		{"preference", []Rule{sip(1, 9, "!^.*$!sip:b@x!"), sip(1, 2, "!^.*$!sip:a@x!")}, Result{URI: "sip:a@x"}, nil},
		{"a rule that does not match is skipped", []Rule{sip(1, 1, `!^\+33.*$!sip:b@x!`), sip(2, 1, "!^.*$!sip:a@x!")},
			Result{URI: "sip:a@x"}, nil},
		{"groups", []Rule{sip(1, 1, `!^\+1(418)(.*)$!sip:\2@\1.x!`)}, Result{URI: "sip:5551234@418.x"}, nil},
		{"escaped delimiter", []Rule{sip(1, 1, `/^.*$/sip:a\/b@x/`)}, Result{URI: "sip:a/b@x"}, nil},
		{"another service", []Rule{{1, 1, "u", "E2U+mailto", "!^.*$!mailto:a@x!", ""}}, Result{}, ErrNoRule},
		{"several services", []Rule{{1, 1, "U", "E2U+mailto+sip", "!^.*$!sip:a@x!", ""}}, Result{URI: "sip:a@x"}, nil},
		{"old service form", []Rule{{1, 1, "u", "sip+E2U", "!^.*$!sip:a@x!", ""}}, Result{}, ErrNoRule},
		{"non-terminal", []Rule{{1, 1, "", "", "", "4.3.2.1.Example.com."}}, Result{Next: "4.3.2.1.example.com."}, nil},
		{"non-terminal by expression", []Rule{{1, 1, "", "", `!^\+1(.).*$!\1.example.com!`, ""}},
			Result{Next: "4.example.com."}, nil},
		{"non-terminal to nowhere", []Rule{{1, 1, "", "", "", "."}}, Result{}, ErrInvalid},
		{"unknown flag", []Rule{{1, 1, "q", "E2U+sip", "!^.*$!sip:a@x!", ""}}, Result{}, ErrInvalid},
		{"no delimiter", []Rule{sip(1, 1, "!^.*$!sip:a")}, Result{}, ErrInvalid},
		{"a digit as delimiter", []Rule{sip(1, 1, "1^.*$1sip:a1")}, Result{}, ErrInvalid},
		{"reference to a missing group", []Rule{sip(1, 1, `!^.*$!sip:\1!`)}, Result{}, ErrInvalid},
		{"bad expression", []Rule{sip(1, 1, `!^(.*$!sip:a!`)}, Result{}, ErrInvalid},
		{"exponential backtracking", []Rule{sip(1, 1, `!^((((.*)*)*)*)*x$!sip:a!`)}, Result{}, ErrNoRule},
		{"huge nested counts", []Rule{sip(1, 1, `!^((.{1000}){1000}){1000}$!sip:a!`)}, Result{}, ErrInvalid},
		{"deeply nested counts", []Rule{sip(1, 1, `!^(((((.{9}){9}){9}){9}){9})$!sip:a!`)}, Result{}, ErrInvalid},
		{"an invalid rule does not hide a valid one", []Rule{sip(1, 1, `!^(.*$!sip:a!`), sip(1, 2, "!^.*$!sip:b!")},
			Result{URI: "sip:b"}, nil},
		{"too many rules", slices.Repeat([]Rule{sip(1, 1, "!^.*$!sip:a@x!")}, MaxRules+1), Result{}, ErrInvalid},
		{"MaxRules rules", slices.Repeat([]Rule{sip(1, 1, "!^.*$!sip:a@x!")}, MaxRules), Result{URI: "sip:a@x"}, nil},
		{"leftmost-longest match", []Rule{sip(1, 1, `!^\+1(4|41)!sip:\1@x!`)}, Result{URI: "sip:41@x"}, nil},
		{"domain too long", []Rule{{1, 1, "", "", "", strings.Repeat("a.", 130)}}, Result{}, ErrInvalid},
		{"expression too long", []Rule{sip(1, 1, "!^.*$!sip:"+strings.Repeat("a", 250)+"!")}, Result{}, ErrInvalid},
	} {
		got, err := Apply(n, c.rules, "sip")
		if got != c.want || !errors.Is(err, c.err) {
			t.Errorf("%s: %v, %v; want %v, %v", c.name, got, err, c.want, c.err)
		}
	}
	long := sip(1, 1, "!^.*$!"+strings.Repeat(`\0`, 80)+"!")
	if got, err := Apply(n, []Rule{long}, "sip"); !errors.Is(err, ErrInvalid) {
		t.Errorf("a result of 960 octets: %v, %v", got, err)
	}
}

func TestTel(t *testing.T) {
	for _, c := range []struct {
		uri    string
		number string
		want   Ported
		bad    bool
	}{
		{"tel:+14185551234;npdi;rn=+15145550000", "+14185551234", Ported{LookupDone: true, Routing: "+15145550000"}, false},
		{"tel:+14185551234;npdi", "+14185551234", Ported{LookupDone: true}, false},
		{"TEL:+1-418-555-1234;NPDI;rn=5145550000;rn-context=+1;cic=+1-6789", "+1-418-555-1234", Ported{true, "+15145550000",
			"+1-6789"}, false},
		{"tel:+1418;npdi;rn=1;rn=2", "", Ported{}, true},
		{"tel:+1418;rn=abc", "", Ported{}, true},
		{"tel:+1418;rn=", "", Ported{}, true},
		{"tel:+1418;rn=5;rn-context=+1_x", "", Ported{}, true}, // found by fuzzing
		{"tel:+1418;rn=5;rn-context=", "", Ported{}, true},
		{"tel:+1418;npdi;cic=a", "", Ported{}, true},
		{"tel:+1418;npdi;cic=", "", Ported{}, true},
		{"tel:alice", "", Ported{}, true},
		{"sip:+1418@x", "", Ported{}, true},
	} {
		number, ported, err := Tel(c.uri)
		if (err != nil) != c.bad || !c.bad && (number != c.number || ported != c.want) {
			t.Errorf("%s: %s %+v, %v", c.uri, number, ported, err)
		}
	}
}

// The result of any rule is bounded in size.
func FuzzApply(f *testing.F) {
	f.Add("!^.*$!sip:a@x!", "E2U+sip", "u", "")
	f.Add(`!^\+1(.)(.*)$!\2.\1.x!`, "", "", "x.")
	f.Fuzz(func(t *testing.T, re, service, flags, replacement string) {
		got, err := Apply("+14185551234", []Rule{{1, 1, flags, service, re, replacement}}, "sip")
		if err == nil && (got.URI == "") == (got.Next == "") && (got.URI != "" || flags == "") {
			t.Errorf("%q: %+v", re, got)
		}
		if len(got.URI) > maxResultLength || len(got.Next) > 254 {
			t.Errorf("%q: %d octets", re, len(got.URI))
		}
	})
}
