package numberplan

import (
	"strings"
	"testing"
	"time"
)

const table = `
name    = "staff"
version = 3
country = "1"
zone    = "America/Toronto"

days "holidays" {
  dates = ["2026-12-25"]
}
period "thursday" {
  days   = ["thu"]
  from   = "13:00"
  to     = "18:00"
  except = ["holidays"]
}
period "night" {
  from = "22:00"
  to   = "06:00"
}
period "small-hours" {
  from = "01:30"
  to   = "02:30"
}
route "rosters" {
  skill = "shift-lookup"
  group "TG-0" {
    weight = 3
  }
  group "TG-1" {
    weight = 1
  }
}
route "night" {
  group "TG-2" {
  }
}
route "ported" {
  group "TG-3" {
  }
}
plan "start" {
  rule "1418" {
    when  = "thursday"
    route = "rosters"
  }
  rule "1418" {
    plan = "quebec"
  }
  rule "14185550000-14185550199" {
    refuse = "not in service"
    code   = 410
  }
  rule "1514" {
    when  = "small-hours"
    route = "rosters"
  }
  rule "1" {
    route = "night"
  }
}
plan "quebec" {
  rule "" {
    portability {
      within = "400ms"
      ported {
        route = "ported"
      }
      same {
        plan = "local"
      }
      silent {
        refuse = "no answer"
        code   = 503
      }
    }
  }
}
plan "local" {
  rule "1" {
    when  = "night"
    strip = 1
    add   = "99"
    route = "night"
  }
  rule "" {
    route = "rosters"
  }
}
`

// parse returns the compiled test table.
func parse(t *testing.T) *Table {
	t.Helper()
	compiled, _, err := Parse("t.hcl", []byte(table))
	if err != nil {
		t.Fatal(err)
	}
	return compiled
}

func parseTime(s string) time.Time {
	v, err := time.Parse(time.RFC3339, s)
	if err != nil {
		panic(err)
	}
	return v
}

// result formats an outcome as one line.
func result(o Outcome) string {
	switch {
	case o.Route != nil:
		s := o.Route.Group + " " + o.Route.Number
		if o.Route.Routing != "" {
			s += ";rn=" + o.Route.Routing
		}
		return s
	case o.Refusal != nil:
		return strings.TrimSpace(o.Refusal.Why)
	}
	return "ask " + o.LookupNumber
}

// TestAnalysis checks the outcome for numbers at different times, with and without a portability look-up.
func TestAnalysis(t *testing.T) {
	compiled := parse(t)
	thursday, sunday, holiday := parseTime("2026-12-03T14:00:00-05:00"), parseTime("2026-12-06T23:30:00-05:00"),
		parseTime("2026-12-25T14:00:00-05:00")
	for _, c := range []struct {
		number string
		at     time.Time
		draw   float64
		answer Answer
		rn     string
		want   string
	}{
		{"+1 418 555-1234", thursday, 0.1, 0, "", "TG-0 +14185551234"},
		{"418.555.1234", thursday, 0.9, 0, "", "TG-1 +14185551234"},
		{"0418 555 1234", sunday, 0, NotPorted, "", "TG-2 +994185551234"},
		{"0014185551234", holiday, 0, NotPorted, "", "TG-0 +14185551234"},
		{"+14185551234", sunday, 0, Ported, "+15145559999", "TG-3 +14185551234;rn=+15145559999"},
		{"+14185551234", sunday, 0, Ported, "nowhere", "no answer"},
		{"+14185551234", sunday, 0, NoAnswer, "", "no answer"},
		{"+14185550123", thursday, 0, 0, "", "not in service"},
		{"+14185550200", thursday, 0, 0, "", "TG-0 +14185550200"},
		{"+16135551234", thursday, 0, 0, "", "TG-2 +16135551234"},
		{"+33", thursday, 0, 0, "", "no rule for this number"},
		{"+1", thursday, 0, 0, "", "TG-2 +1"},
		{"", thursday, 0, 0, "", `number "": no digits`},
		{"+1-CALL-ME", thursday, 0, 0, "", `number "+1-CALL-ME": 'C' is no digit`},
		{"+1418" + strings.Repeat("5", 36), sunday, 0, NotPorted, "", "no rule for this number"}, // 41 digits with 99
		{"+1418" + strings.Repeat("5", 35), sunday, 0, NotPorted, "", "TG-2 +99418" + strings.Repeat("5", 35)},
		{strings.Repeat("1", 41), thursday, 0, 0, "", "number: 41 digits are too many"},
		{strings.Repeat("1", 40), thursday, 0, 0, "", "TG-2 +" + strings.Repeat("1", 40)},
	} {
		a, o := compiled.Begin(Call{Dialled: c.number, At: c.at, Draw: c.draw, Explain: true})
		if o.LookupNumber != "" {
			o = a.Resume(LookupResult{Answer: c.answer, Routing: c.rn})
		}
		if got := result(o); got != c.want {
			t.Errorf("%q at %v: got %s, want %s\n  %s", c.number, c.at, got, c.want, strings.Join(a.Steps, "\n  "))
		}
		if again := a.Resume(LookupResult{Answer: NoAnswer}); again.Refusal == nil {
			t.Errorf("%q: an answer without a look-up led to %v, want a refusal", c.number, result(again))
		}
	}
	if _, o := compiled.Begin(Call{Dialled: "+15145551234", LookedUp: true, Routing: "+1 613 555 0000",
		At: sunday}); result(o) != "TG-2 +15145551234;rn=+16135550000" {
		t.Errorf("routing number of an earlier look-up: got %s, want TG-2 with that routing number", result(o))
	}
	if _, o := compiled.Begin(Call{Dialled: "+15145551234", LookedUp: true, Routing: "x", At: sunday}); o.Refusal == nil {
		t.Errorf("invalid routing number: got %s, want a refusal", result(o))
	}
	if a, o := compiled.Begin(Call{Dialled: "+14185551234", At: sunday, LookedUp: true}); o.Route == nil ||
		a.Steps != nil {
		t.Errorf("portability was looked up before: got %s, want a route without another look-up", result(o))
	}
}

// TestDaylightSavingChange checks a period from 01:30 to 02:30. When clocks go back, 01:30 to 02:00 occurs twice and is
// in the period both times; when they go forward, 02:00 to 02:30 does not occur.
func TestDaylightSavingChange(t *testing.T) {
	compiled := parse(t)
	for at, want := range map[string]string{
		// 01:29, 01:31, again 01:05
		"2026-11-01T05:29:00Z": "TG-2", "2026-11-01T05:31:00Z": "TG-0", "2026-11-01T06:05:00Z": "TG-2",
		"2026-11-01T06:31:00Z": "TG-0", "2026-11-01T07:29:00Z": "TG-0", "2026-11-01T07:30:00Z": "TG-2",
		"2026-03-08T06:31:00Z": "TG-0", "2026-03-08T06:59:00Z": "TG-0", "2026-03-08T07:00:00Z": "TG-2", // 01:59, then 03:00
	} {
		if _, o := compiled.Begin(Call{Dialled: "+15145551234", At: parseTime(at)}); o.Route == nil || o.Route.Group != want {
			t.Errorf("%s: got %s, want %s", at, result(o), want)
		}
	}
}

// TestTableErrors checks the errors about invalid tables in HCL.
func TestTableErrors(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`plan = "local"`, `plan = "start"`, `t.hcl:69: loop: start to quebec leads back to start`},
		{`plan = "local"`, `plan = "nowhere"`, `plan: no plan "nowhere"`},
		{`route = "rosters"`, `route = "rooster"`, `t.hcl:44: route: no route "rooster"`},
		{`when  = "thursday"`, ``, `is never reached: the rule t.hcl:42 of the same prefix 1418 always holds`},
		{`"14185550000-14185550199"`, `"14185550200-14185550199"`, `want two numbers of one length, the lower first`},
		{`"1514"`, `"15l4"`, `want a prefix of digits`},
		{`days   = ["thu"]`, `days   = ["thursday"]`, `t.hcl:11: days: want weekdays (sun, mon`},
		{`except = ["holidays"]`, `except = ["feasts"]`, `no days "feasts"`},
		{`zone    = "America/Toronto"`, `zone    = "America/Quebec City"`, `t.hcl:5: zone: unknown time zone`},
		{`      silent {
        refuse = "no answer"
        code   = 503
      }
`, ``, `portability: want exactly one block silent`},
		{`strip = 1`, `strip = 3`, `strip: 3 digits are more than the prefix "1" has`},
		{`strip = 1`, `strips = 1`, `unknown key "strips"`},
		{`from = "22:00"`, `from = "25:00"`, `from: want a time such as "13:30"`},
		{`    weight = 3`, `    weight = -3`, `weight: want a number from 0`},
		{`plan "local" {`, `plan "other" {
  rule "" {
    route = "night"
  }
}
plan "local" {`, `plan "other" is never reached from "start"`},
		{`  rule "1" {
    route = "night"
  }
}`, `  rule "1" {
    route = "night"
    refuse = "no"
  }
}`, `want exactly one of plan, route, refuse, portability { ... }, got 2 of them`},
	} {
		text := strings.Replace(table, c.from, c.to, 1)
		if text == table {
			t.Fatalf("%q is not in the table", c.from)
		}
		if _, _, err := Parse("t.hcl", []byte(text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%.40q: error %v\nwant %s", c.to, err, c.want)
		}
	}
}

// FuzzTable checks that no table text and no number makes compiling or analyzing panic or run forever.
func FuzzTable(f *testing.F) {
	f.Add(table, "+14185551234")
	f.Add("plan \"start\" {\n rule \"\" {\n add = \"1\"\n plan = \"start\"\n }\n}", "1")
	f.Fuzz(func(t *testing.T, text, dialled string) {
		x, _, err := Parse("f", []byte(text))
		if err != nil {
			return
		}
		a, o := x.Begin(Call{Dialled: dialled, At: time.Unix(1.8e9, 0), Draw: 0.5, Explain: true})
		if o.LookupNumber != "" {
			a.Resume(LookupResult{Answer: Ported, Routing: dialled})
		}
	})
}
