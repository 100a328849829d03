package numberplan

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cobaltpier/api"
	"cobaltpier/internal/decision/enum"
)

// sourceTable returns the source message of the test table.
func sourceTable(t *testing.T) *api.NumberTable {
	t.Helper()
	_, f, err := Parse("t.hcl", []byte(table))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// TestCompactForm checks that a table decoded from its compact form decides as before and has the same checksum.
func TestCompactForm(t *testing.T) {
	original, source, err := Parse("t.hcl", []byte(table))
	if err != nil {
		t.Fatal(err)
	}
	data, err := Pack(source)
	if err != nil {
		t.Fatal(err)
	}
	unpacked, err := Unpack(data)
	if err != nil || !proto.Equal(source, unpacked) {
		t.Fatalf("Unpack: error %v, got\n%v\nwant\n%v", err, unpacked, source)
	}
	decoded, err := Compile(unpacked)
	if err != nil || original.Sum != decoded.Sum || len(original.Sum) != 64 || original.Size() != decoded.Size() {
		t.Fatalf("error %v, checksums %s and %s; want two tables of equal checksum and size",
			err, original.Sum, decoded.Sum)
	}
	rapid.Check(t, func(t *rapid.T) {
		c := Call{
			Dialled: rapid.SampledFrom([]string{"+1418", "+1514", "+1", "0", "+33"}).Draw(t, "prefix") + rapid.StringMatching(
				`[0-9]{0,9}`,
			).Draw(t, "rest"),
			At:      time.Unix(rapid.Int64Range(1.7e9, 1.9e9).Draw(t, "at"), 0),
			Draw:    rapid.Float64Range(0, 0.999).Draw(t, "draw"),
			Explain: true,
		}
		a, want := original.Begin(c)
		b, got := decoded.Begin(c)
		if result(want) != result(got) || !slices.Equal(a.Steps, b.Steps) {
			t.Fatalf("%v: got %s, want %s, by the same steps", c, result(got), result(want))
		}
	})
}

// TestCompactErrors checks that errors in a compact table are reported with their position, that damaged input is
// rejected, and that Fits names what isn't configured.
func TestCompactErrors(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*api.NumberTable)
		want   string
	}{
		"no such route": {func(f *api.NumberTable) { f.Plans[0].Rules[4].Then.Do = &api.NumberAction_Route{Route: "x"} },
			`t.hcl:57: route: no route "x"`},
		"no action": {func(f *api.NumberTable) { f.Plans[0].Rules[4].Then = nil }, "a rule without an action"},
		"empty action": {func(f *api.NumberTable) { f.Plans[0].Rules[4].Then = &api.NumberAction{} },
			"a rule without an action"},
		"look-up without silent": {func(f *api.NumberTable) { f.Plans[1].Rules[0].Then.GetAsk().Silent = nil },
			"want ported, same and silent"},
		"nested look-up": {func(f *api.NumberTable) {
			q := f.Plans[1].Rules[0].Then
			q.GetAsk().Same = proto.Clone(q).(*api.NumberAction)
		}, "not allowed in the result of another"},
		"no time limit": {func(f *api.NumberTable) { f.Plans[1].Rules[0].Then.GetAsk().WithinMs = 0 },
			"within: want 1 to 60000"},
		"bad day": {func(f *api.NumberTable) { f.Days[0].Dates[0] = "Christmas" },
			`days "holidays": dates: want dates`},
		"bad weekday": {func(f *api.NumberTable) { f.Periods[0].Weekdays[0] = 7 },
			`period "thursday": days: want 0 to 6`},
		"bad minute": {func(f *api.NumberTable) { f.Periods[0].To = 1440 }, "want minutes of a day"},
		"bad zone":   {func(f *api.NumberTable) { f.Periods[0].Zone = "Mars" }, `unknown time zone "Mars"`},
		"bad weight": {func(f *api.NumberTable) { f.Routes[0].Choices[0].Weight = -1 }, `group "TG-0": want a weight`},
		"no groups":  {func(f *api.NumberTable) { f.Routes[0].Choices = nil }, `want at least one group`},
		"bad code": {func(f *api.NumberTable) { f.Plans[0].Rules[2].Then.GetRefuse().Code = 200 },
			"code: want 400 to 699"},
		"bad add":    {func(f *api.NumberTable) { f.Plans[0].Rules[0].Add = "x" }, "add: want"},
		"bad strip":  {func(f *api.NumberTable) { f.Plans[0].Rules[0].Strip = -1 }, "strip: want 0 to"},
		"bad prefix": {func(f *api.NumberTable) { f.Plans[0].Rules[0].Prefix = "1x" }, "want a prefix of digits"},
		"long prefix": {func(f *api.NumberTable) { f.Plans[0].Rules[0].Prefix = strings.Repeat("1", 41) },
			"want a prefix of digits"},
		"damaged packing": {func(f *api.NumberTable) { f.Plans[0].Rules[0].Packed = []byte{0, 3, 0x1f, 0} },
			"packed prefixes: damaged after 0"},
		"out of order": {func(f *api.NumberTable) { f.Plans[0].Rules[0].Packed = []byte{0, 1, 0x20, 0, 1, 0x10} },
			"out of order after 1"},
		"duplicate route": {func(f *api.NumberTable) { f.Routes = append(f.Routes, f.Routes[0]) },
			`duplicate route "rosters"`},
		"invalid UTF-8": {func(f *api.NumberTable) { f.Name = "\xff" }, "UTF-8"},
		"overlap": {func(f *api.NumberTable) {
			r := proto.Clone(f.Plans[0].Rules[2]).(*api.NumberRule)
			r.Prefix = "14185550100-14185550299"
			f.Plans[0].Rules = append(f.Plans[0].Rules, r)
		}, "range 14185550100-14185550299 overlaps 14185550000-14185550199 t.hcl:49 in part"},
		"long chain of plans": {func(f *api.NumberTable) {
			for i := range 40 {
				f.Plans = append(f.Plans, &api.NumberPlan{Name: fmt.Sprint("p", i),
					Rules: []*api.NumberRule{{Then: &api.NumberAction{Do: &api.NumberAction_Plan{Plan: fmt.Sprint("p", i+1)}}}}})
			}
			f.Plans = append(f.Plans, &api.NumberPlan{Name: "p40",
				Rules: []*api.NumberRule{{Then: &api.NumberAction{Do: &api.NumberAction_Route{Route: "night"}}}}})
			f.Plans[0].Rules[4].Then.Do = &api.NumberAction_Plan{Plan: "p0"}
		}, "plans is too long"},
	} {
		f := sourceTable(t)
		c.change(f)
		if _, err := Compile(f); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v\nwant %s", name, err, c.want)
		}
	}
	data, _ := Pack(sourceTable(t))
	for _, bad := range [][]byte{nil, []byte("plan {}"), data[:len(data)-3], append([]byte(magicHeader), 0xff, 0xff)} {
		if _, err := Unpack(bad); err == nil {
			t.Errorf("Unpack(%.20q): no error, want one", bad)
		}
	}
	compiled, err := Compile(sourceTable(t))
	if err != nil || compiled.Fits(
		Names{Groups: []string{"TG-0", "TG-1", "TG-2"}, Classes: []string{"shift-lookup"}},
	).Error() !=
		`number table staff: not configured on this gateway: trunk group "TG-3"` {
		t.Errorf("error %v, or Fits does not name TG-3; without any names: %v", err, compiled.Fits(Names{}))
	}
	if err := compiled.Fits(compiled.Names()); err != nil {
		t.Error(err)
	}
}

// TestPacked checks that any set of prefixes is the same after packing and unpacking, but sorted.
func TestPacked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefixes := rapid.SliceOfDistinct(rapid.StringMatching(`[0-4]{1,6}|[0-9]{1,40}`), rapid.ID[string]).
			Draw(t, "prefixes")
		b, err := PackPrefixes(prefixes)
		if err != nil {
			t.Fatal(err)
		}
		got, err := unpackPrefixes(b)
		slices.Sort(prefixes)
		if err != nil || !slices.Equal(got, prefixes) {
			t.Fatalf("error %v, got %v, want %v", err, got, prefixes)
		}
	})
	for _, bad := range [][]string{{"1", "1"}, {""}, {"a"}, {strings.Repeat("1", 41)}} {
		if _, err := PackPrefixes(bad); err == nil {
			t.Errorf("PackPrefixes(%q): no error, want one", bad)
		}
	}
}

// TestDiff checks the changes reported for each part of a table.
func TestDiff(t *testing.T) {
	oldTable, newTable := sourceTable(t), sourceTable(t)
	if changes := Diff(oldTable, newTable); len(changes) != 0 {
		t.Fatalf("changes between equal tables: %v, want none", changes)
	}
	newTable.Version, newTable.Plans[0].Rules[0].Where = 9, "elsewhere"
	newTable.Plans[0].Rules[2].Prefix = "14185550000-14185550099" // the range loses its second hundred
	newTable.Plans[0].Rules[4].Then.Do = &api.NumberAction_Route{Route: "ported"}
	newTable.Routes[1].Choices[0].Weight = 2
	newTable.Periods = newTable.Periods[:2]
	newTable.Days[0].Dates = append(newTable.Days[0].Dates, "2026-12-26")
	newTable.Plans[0].Rules = append(
		newTable.Plans[0].Rules,
		&api.NumberRule{Prefix: "33", Then: &api.NumberAction{Do: &api.NumberAction_Route{Route: "night"}}},
	)
	var got []string
	for _, c := range Diff(oldTable, newTable) {
		got = append(got, c.String())
	}
	want := []string{
		`~ days holidays: 2026-12-25 2026-12-26, was 2026-12-25`,
		`- period small-hours: 01:30-02:30 America/Toronto except [] only []`,
		`~ route night: skill "" customer "" groups TG-2 2, was skill "" customer "" groups TG-2 1`,
		`~ rule start/1: route ported, was route night`,
		`- rule start/141855501: refuse 410 not in service`,
		`+ rule start/33: route night`}
	if !slices.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// FuzzUnpack checks that damage to a compact form is detected, or that the table still leads any number to a route or
// a refusal.
func FuzzUnpack(f *testing.F) {
	_, x, err := Parse("t.hcl", []byte(table))
	if err != nil {
		f.Fatal(err)
	}
	b, _ := Pack(x)
	f.Add(b, "+14185551234")
	x.Plans[0].Rules[0].Packed, _ = PackPrefixes([]string{"1418", "1419", "14195"})
	b, _ = Pack(x)
	f.Add(b, "+14195")
	f.Fuzz(func(t *testing.T, b []byte, dialled string) {
		x, err := Unpack(b)
		if err != nil {
			return
		}
		y, err := Compile(x)
		if err != nil {
			return
		}
		a, o := y.Begin(Call{Dialled: dialled, At: time.Unix(1.8e9, 0), Draw: 0.5, Explain: true})
		if o.LookupNumber != "" {
			o = a.Resume(LookupResult{Answer: Ported, Routing: "+1514"})
		}
		if (o.Route == nil) == (o.Refusal == nil) {
			t.Errorf("%q: got %+v, want either a route or a refusal", dialled, o)
		}
		Diff(x, x)
	})
}

// FuzzNumber checks that Normalize returns an error, or digits that make an ENUM domain. Normalizing these digits
// again, or decoding the domain, gives the same digits.
func FuzzNumber(f *testing.F) {
	f.Add("+1 (418) 555-1234", "1", "npdi;rn=+1514")
	f.Add("0041", "41", "rn=5;rn-context=+1")
	f.Add("tel:+1", "", ";;=;")
	f.Add("0", "", "rn=5;rn-context=+_\x11\xefD@\xaf/wJ")
	f.Fuzz(func(t *testing.T, dialled, country, params string) {
		if strings.Trim(country, "0123456789") != "" || len(country) > 4 {
			return // the compiler rejects a table with such a country code
		}
		n, err := Normalize(dialled, country)
		if err != nil {
			return
		}
		if strings.Trim(n, "0123456789") != "" || n == "" || len(n) > maxDigits+len(country) {
			t.Errorf("Normalize(%q) = %q, want digits within the limit", dialled, n)
		}
		if again, err := Normalize("+"+n, country); len(n) <= maxDigits && (err != nil || again != n) {
			t.Errorf("Normalize(%q) = %q, then %q, %v; want the same again", dialled, n, again, err)
		}
		if len(n) <= maxDigits {
			d, err := enum.Domain(n, "e164.test")
			if back, err2 := enum.Number(d, "e164.test"); err != nil || err2 != nil || back != n {
				t.Errorf("number %q: domain %q, errors %v and %v; want the same number back", n, d, err, err2)
			}
		}
		if p, err := enum.Params(params); err == nil && p.Routing != "" {
			if strings.ContainsAny(p.Routing, ";@<> \r\n") {
				t.Errorf("parameters %q: routing number %q has a character that must not be in a URI parameter",
					params, p.Routing)
			}
		}
	})
}

// TestPartialRangeOverlap checks that ranges are rejected exactly if two of them overlap and neither contains the
// other.
func TestPartialRangeOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := &api.NumberTable{Name: "t", Entry: "start", Plans: []*api.NumberPlan{{Name: "start"}},
			Routes: []*api.NumberRoute{{Name: "r", Choices: []*api.NumberChoice{{Group: "g", Weight: 1}}}}}
		type span struct{ lo, hi int }
		var ranges []span
		overlapping := false
		for range rapid.IntRange(1, 8).Draw(t, "ranges") {
			length := rapid.SampledFrom([]int{1000, 10900}).Draw(t, "length") // 1000 to 1099 or 10900 to 10999
			a, b := rapid.IntRange(0, 99).Draw(t, "from")+length, rapid.IntRange(0, 99).Draw(t, "to")+length
			added := span{min(a, b), max(a, b)}
			same := false
			for _, other := range ranges {
				within := func(a, b span) bool { return a.lo >= b.lo && a.hi <= b.hi }
				overlapping = overlapping || added.lo <= other.hi && other.lo <= added.hi &&
					!within(added, other) && !within(other, added)
				same = same || added == other
			}
			if same {
				continue // rejected as never reached
			}
			ranges = append(ranges, added)
			source.Plans[0].Rules = append(source.Plans[0].Rules, &api.NumberRule{
				Prefix: fmt.Sprintf("%d-%d", added.lo, added.hi),
				Then:   &api.NumberAction{Do: &api.NumberAction_Route{Route: "r"}}})
		}
		_, err := Compile(source)
		if got := err != nil && strings.Contains(err.Error(), "in part"); got != overlapping {
			t.Fatalf("ranges %v: error %v, want an overlap reported: %v", ranges, err, overlapping)
		}
	})
}
