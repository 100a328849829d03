package conformance

import (
	"fmt"
	"strings"
	"testing"

	"cobaltpier/api"
)

// tape makes a capture by hand.
type tape struct{ of []*api.Record }

func (t *tape) add(at float64, what any) *tape {
	r := &api.Record{At: at}
	switch v := what.(type) {
	case *api.Node:
		r.What = &api.Record_Node{Node: v}
	case *api.Rules:
		r.What = &api.Record_Rules{Rules: v}
	case *api.Listing:
		r.What = &api.Record_Listing{Listing: v}
	case *api.Mark:
		r.What = &api.Record_Mark{Mark: v}
	case *api.Datagram:
		r.What = &api.Record_Datagram{Datagram: v}
	}
	t.of = append(t.of, r)
	return t
}

const (
	edgeAt, callerAt, one, two = "127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1", "127.0.0.4:1"
)

func begin() *tape {
	t := &tape{}
	t.add(0, &api.Rules{SlackMs: 20, GraceMs: 250, ClearMs: 500, TipMultiple: 2, TipMs: 1000})
	for a, n := range map[string]*api.Node{edgeAt: {Role: "edge", Name: "edge"}, callerAt: {Role: "caller",
		Name: "caller"},
		one: {Role: "switch", Name: "one"}, two: {Role: "switch", Name: "two"}} {
		n.Addr = a
		t.add(0, n)
	}
	return t.list(0, one, "ready", 0).list(0, two, "ready", 0)
}

func (t *tape) list(at float64, addr, state string, since float64) *tape {
	return t.add(at, &api.Listing{Edge: "edge", Entries: []*api.Entry{{Id: addr, Addr: addr, State: state, Since: since}}})
}

// msg is a request, or where code is set an answer, of call c on leg b (its branch and Call-ID).
func (t *tape) msg(at float64, from, to, method string, code int, c, b string) *tape {
	start := method + " sip:1@x SIP/2.0"
	tag := ""
	if code > 0 {
		start, tag = fmt.Sprintf("SIP/2.0 %d X", code), fmt.Sprintf(";tag=t%d", code)
	}
	m := start + "\r\nVia: SIP/2.0/UDP 127.0.0.9:1;branch=z9hG4bK" + b + "\r\nFrom: <sip:a@b>;tag=f" + b +
		"\r\nTo: <sip:1@x>" + tag +
		"\r\nCall-ID: " + b + "\r\nCSeq: 1 " + method + "\r\nSession-ID: " + strings.Repeat(c, 32) +
		"\r\nExpires: 9\r\nContent-Length: 0\r\n\r\n"
	return t.add(at, &api.Datagram{From: from, To: to, Data: []byte(m)})
}

func (t *tape) call(at float64, c string) *tape {
	return t.msg(at, callerAt, edgeAt, "INVITE", 0, c, "in"+c)
}
func (t *tape) final(at float64, code int, c string) *tape {
	return t.msg(at, edgeAt, callerAt, "INVITE", code, c, "in"+c)
}
func (t *tape) ring(at float64, to, c, b string) *tape {
	return t.msg(at, edgeAt, to, "INVITE", 0, c, b)
}
func (t *tape) reply(at float64, code int, c, b string) *tape {
	return t.msg(at, one, edgeAt, "INVITE", code, c, b)
}

func (t *tape) pushed(told float64, from, gap float64) *tape {
	t.add(
		1000,
		&api.Mark{What: "start", Who: "one", Start: &api.Start{ColdShare: 0.5, WarmMs: 10000, SetupMs: 50, RepeatMs: 10}},
	)
	if told < from {
		t.list(told, one, "ready", 1000)
	}
	for i := 0; i < 30; i++ {
		c, at := string(rune('a'+i%26))+fmt.Sprint(i/26), from+float64(i)*gap
		t.call(at, c).ring(at, one, c, "r"+c).reply(at+1, 486, c, "r"+c).final(at+2, 503, c)
	}
	if told >= from {
		t.list(told, one, "ready", 1000)
	}
	return t
}

// TestHandMadeCaptures breaks each rule by hand, and keeps it narrowly.
func TestHandMadeCaptures(t *testing.T) {
	for _, x := range []struct {
		name string
		of   *tape
		rule int // 0: kept
	}{
		{"a call that stands", begin().call(1, "a").ring(2, one, "a", "r").reply(9, 200, "a", "r").final(10, 200, "a").
			final(400, 200, "a"), 0},
		{"two final answers", begin().call(1, "a").final(5, 503, "a").final(9, 500, "a"), 1},
		{"no answer", begin().call(1, "a").add(9500, &api.Mark{What: "trouble"}), 1},
		{"not due yet", begin().call(1, "a").add(9010, &api.Mark{What: "trouble"}), 0},
		{"answered late", begin().call(1, "a").final(9030, 500, "a"), 1},
		{"answered within the slack", begin().call(1, "a").final(9015, 500, "a"), 0},
		{"called off and not answered", begin().call(1, "a").msg(100, callerAt, edgeAt, "CANCEL", 0, "a", "ina").add(1200,
			&api.Mark{What: "trouble"}), 1},
		{"a ring after the answer", begin().call(1, "a").final(5, 503, "a").ring(6, one, "a", "r"), 1},
		{"a repeat after the answer", begin().call(1, "a").ring(2, one, "a", "r").final(5, 503, "a").ring(402, one, "a",
			"r"), 1},
		{"a ring of nobody", begin().ring(6, one, "a", "r"), 1},
		{"held when killed", begin().call(1, "a").add(2, &api.Mark{What: "edge-kill", Who: "edge"}).add(9500,
			&api.Mark{What: "trouble"}), 0},
		{"two rings out", begin().call(1, "a").ring(2, one, "a", "r").ring(3, two, "a", "s").final(9, 503, "a"), 2},
		{"a repeat is no second ring", begin().call(1, "a").ring(2, one, "a", "r").ring(402, one, "a", "r").reply(500, 486,
			"a", "r").ring(501, two, "a", "s").final(900, 503, "a"), 0},
		{"CANCEL does not end a ring", begin().call(1, "a").ring(2, one, "a", "r").msg(3, edgeAt, one, "CANCEL", 0, "a",
			"r").ring(800, two, "a", "s").final(900, 503, "a"), 2},
		{"to a drained pool", begin().call(1, "a").list(100, one, "draining", 0).ring(351, one, "a", "r").final(900, 503,
			"a"), 3},
		{"within the grace", begin().call(1, "a").list(100, one, "draining", 0).ring(349, one, "a", "r").final(900, 503,
			"a"), 0},
		{"gone after draining: told once", begin().call(1, "a").list(100, one, "draining", 0).list(300, one, "gone", 0).
			ring(400, one, "a", "r").final(900, 503, "a"), 3},
		{"a repeat to a drained pool", begin().call(1, "a").ring(2, one, "a", "r").list(100, one, "draining", 0).ring(402,
			one, "a", "r").final(900, 503, "a"), 3},
		{"told while it stood still", begin().call(1, "a").add(50, &api.Mark{What: "edge-stop", Who: "edge"}).list(100, one,
			"draining", 0).
			add(1000, &api.Mark{What: "edge-go", Who: "edge"}).ring(1100, one, "a", "r").final(1200, 503, "a"), 0},
		{"pushed over", begin().pushed(1100, 2000, 20), 4},
		{"within the budget", begin().pushed(1100, 2000, 60), 0},
		{"pushed by those who were not told", begin().pushed(9000, 2000, 20), 0},
		{"sent before the release", begin().call(1, "a").ring(2, one, "a", "r").reply(100, 487, "a", "r").ring(599,
			two, "a", "s").final(900, 503, "a"), 5},
		{"the release awaited", begin().call(1, "a").ring(2, one, "a", "r").reply(100, 487, "a", "r").ring(601, two,
			"a", "s").final(900, 503, "a"), 0},
		{"a call that crossed its CANCEL", begin().call(1, "a").ring(2, one, "a", "r").msg(3, edgeAt, one, "CANCEL", 0, "a",
			"r").reply(4, 200, "a", "r").
			msg(5, edgeAt, one, "BYE", 0, "a", "r").ring(400, two, "a", "s").final(900, 503, "a"), 5},
	} {
		k := New()
		for _, r := range x.of.of {
			k.Add(r)
		}
		k.Finish()
		switch v := k.Verdicts(); {
		case x.rule == 0 && len(k.Findings) > 0:
			t.Errorf("%s: %v", x.name, k.Findings[0])
		case x.rule > 0 && v[x.rule] == 0:
			t.Errorf("%s: rule %d not found broken", x.name, x.rule)
		case x.rule > 0 && v[x.rule] != len(k.Findings):
			t.Errorf("%s: %v", x.name, k.Findings)
		}
	}
}
