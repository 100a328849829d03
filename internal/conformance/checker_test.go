package conformance

import (
	"fmt"
	"strings"
	"testing"

	"cobaltpier/api"
)

// captureBuilder builds a capture.
type captureBuilder struct{ records []*api.Record }

func (b *captureBuilder) add(at float64, what any) *captureBuilder {
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
	b.records = append(b.records, r)
	return b
}

const (
	gatewayAddr, callerAddr, firstAddr, secondAddr = "127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1", "127.0.0.4:1"
)

// newCapture starts a capture of one gateway and two switches that are ready.
func newCapture() *captureBuilder {
	b := &captureBuilder{}
	b.add(0, &api.Rules{SlackMs: 20, GraceMs: 250, ClearMs: 500, TipMultiple: 2, TipMs: 1000})
	for addr, node := range map[string]*api.Node{gatewayAddr: {Role: "edge", Name: "edge"}, callerAddr: {Role: "caller",
		Name: "caller"},
		firstAddr: {Role: "switch", Name: "one"}, secondAddr: {Role: "switch", Name: "two"}} {
		node.Addr = addr
		b.add(0, node)
	}
	return b.list(0, firstAddr, "ready", 0).list(0, secondAddr, "ready", 0)
}

// list adds a change of one endpoint in the gateway's list.
func (b *captureBuilder) list(at float64, addr, state string, since float64) *captureBuilder {
	return b.add(at, &api.Listing{Edge: "edge", Entries: []*api.Entry{{Id: addr, Addr: addr, State: state, Since: since}}})
}

// message adds a request, or a response if code is set, of a call on a leg. The leg is used as branch and Call-ID, the
// call as session ID.
func (b *captureBuilder) message(at float64, from, to, method string, code int, call, leg string) *captureBuilder {
	start := method + " sip:1@x SIP/2.0"
	tag := ""
	if code > 0 {
		start, tag = fmt.Sprintf("SIP/2.0 %d X", code), fmt.Sprintf(";tag=t%d", code)
	}
	text := start + "\r\nVia: SIP/2.0/UDP 127.0.0.9:1;branch=z9hG4bK" + leg + "\r\nFrom: <sip:a@b>;tag=f" + leg +
		"\r\nTo: <sip:1@x>" + tag +
		"\r\nCall-ID: " + leg + "\r\nCSeq: 1 " + method + "\r\nSession-ID: " + strings.Repeat(call, 32) +
		"\r\nExpires: 9\r\nContent-Length: 0\r\n\r\n"
	return b.add(at, &api.Datagram{From: from, To: to, Data: []byte(text)})
}

// call adds the caller's INVITE.
func (b *captureBuilder) call(at float64, call string) *captureBuilder {
	return b.message(at, callerAddr, gatewayAddr, "INVITE", 0, call, "in"+call)
}

// final adds a response of the gateway to the caller.
func (b *captureBuilder) final(at float64, code int, call string) *captureBuilder {
	return b.message(at, gatewayAddr, callerAddr, "INVITE", code, call, "in"+call)
}

// setup adds the gateway's INVITE to a switch.
func (b *captureBuilder) setup(at float64, to, call, leg string) *captureBuilder {
	return b.message(at, gatewayAddr, to, "INVITE", 0, call, leg)
}

// reply adds a response of the first switch to the gateway.
func (b *captureBuilder) reply(at float64, code int, call, leg string) *captureBuilder {
	return b.message(at, firstAddr, gatewayAddr, "INVITE", code, call, leg)
}

// slowStartLoad starts the first switch and sends it 30 setups, the first one at a time from and each a gap after
// the one before. The gateway is told of the start at informedAt.
func (b *captureBuilder) slowStartLoad(informedAt float64, from, gap float64) *captureBuilder {
	b.add(
		1000,
		&api.Mark{What: "start", Who: "one", Start: &api.Start{ColdShare: 0.5, WarmMs: 10000, SetupMs: 50, RepeatMs: 10}},
	)
	if informedAt < from {
		b.list(informedAt, firstAddr, "ready", 1000)
	}
	for i := 0; i < 30; i++ {
		call, at := string(rune('a'+i%26))+fmt.Sprint(i/26), from+float64(i)*gap
		b.call(at, call).setup(at, firstAddr, call, "r"+call).reply(at+1, 486, call, "r"+call).final(at+2, 503, call)
	}
	if informedAt >= from {
		b.list(informedAt, firstAddr, "ready", 1000)
	}
	return b
}

// TestHandMadeCaptures checks captures that break a rule, and captures that only just keep it.
func TestHandMadeCaptures(t *testing.T) {
	for _, test := range []struct {
		name    string
		capture *captureBuilder
		rule    int // that is broken; 0 if all rules are kept
	}{
		{"an established call", newCapture().call(1, "a").setup(2, firstAddr, "a", "r").reply(9, 200, "a", "r").
			final(10, 200, "a").final(400, 200, "a"), 0},
		{"two final answers", newCapture().call(1, "a").final(5, 503, "a").final(9, 500, "a"), 1},
		{"no answer", newCapture().call(1, "a").add(9500, &api.Mark{What: "trouble"}), 1},
		{"no answer, not due yet", newCapture().call(1, "a").add(9010, &api.Mark{What: "trouble"}), 0},
		{"answered late", newCapture().call(1, "a").final(9030, 500, "a"), 1},
		{"answered late, within the tolerance", newCapture().call(1, "a").final(9015, 500, "a"), 0},
		{"canceled and not answered", newCapture().call(1, "a").
			message(100, callerAddr, gatewayAddr, "CANCEL", 0, "a", "ina").add(1200, &api.Mark{What: "trouble"}), 1},
		{"a setup after the answer", newCapture().call(1, "a").final(5, 503, "a").setup(6, firstAddr, "a", "r"), 1},
		{"a retransmission after the answer", newCapture().call(1, "a").setup(2, firstAddr, "a", "r").
			final(5, 503, "a").setup(402, firstAddr, "a", "r"), 1},
		{"a setup of an unknown call", newCapture().setup(6, firstAddr, "a", "r"), 1},
		{"a call of a killed gateway", newCapture().call(1, "a").add(2, &api.Mark{What: "edge-kill", Who: "edge"}).
			add(9500, &api.Mark{What: "trouble"}), 0},
		{"two attempts in flight", newCapture().call(1, "a").setup(2, firstAddr, "a", "r").
			setup(3, secondAddr, "a", "s").final(9, 503, "a"), 2},
		{"a retransmission is no second attempt", newCapture().call(1, "a").setup(2, firstAddr, "a", "r").
			setup(402, firstAddr, "a", "r").reply(500, 486, "a", "r").setup(501, secondAddr, "a", "s").
			final(900, 503, "a"), 0},
		{"CANCEL does not end an attempt", newCapture().call(1, "a").setup(2, firstAddr, "a", "r").
			message(3, gatewayAddr, firstAddr, "CANCEL", 0, "a", "r").setup(800, secondAddr, "a", "s").
			final(900, 503, "a"), 2},
		{"a setup to a draining endpoint", newCapture().call(1, "a").list(100, firstAddr, "draining", 0).
			setup(351, firstAddr, "a", "r").final(900, 503, "a"), 3},
		{"within the grace period", newCapture().call(1, "a").list(100, firstAddr, "draining", 0).
			setup(349, firstAddr, "a", "r").final(900, 503, "a"), 0},
		{"draining, then gone: the grace period starts once", newCapture().call(1, "a").
			list(100, firstAddr, "draining", 0).list(300, firstAddr, "gone", 0).setup(400, firstAddr, "a", "r").
			final(900, 503, "a"), 3},
		{"a retransmission to a draining endpoint", newCapture().call(1, "a").setup(2, firstAddr, "a", "r").
			list(100, firstAddr, "draining", 0).setup(402, firstAddr, "a", "r").final(900, 503, "a"), 3},
		{"draining during a stall of the gateway", newCapture().call(1, "a").
			add(50, &api.Mark{What: "edge-stop", Who: "edge"}).list(100, firstAddr, "draining", 0).
			add(1000, &api.Mark{What: "edge-go", Who: "edge"}).setup(1100, firstAddr, "a", "r").final(1200, 503, "a"), 0},
		{"a slow start overloaded", newCapture().slowStartLoad(1100, 2000, 20), 4},
		{"a slow start within the budget", newCapture().slowStartLoad(1100, 2000, 60), 0},
		{"a slow start overloaded by a gateway that was not told", newCapture().slowStartLoad(9000, 2000, 20), 0},
		{"an attempt within the hold-off", newCapture().call(1, "a").setup(2, firstAddr, "a", "r").
			reply(100, 487, "a", "r").setup(599, secondAddr, "a", "s").final(900, 503, "a"), 5},
		{"an attempt after the hold-off", newCapture().call(1, "a").setup(2, firstAddr, "a", "r").
			reply(100, 487, "a", "r").setup(601, secondAddr, "a", "s").final(900, 503, "a"), 0},
		{"an answer that crossed the CANCEL", newCapture().call(1, "a").setup(2, firstAddr, "a", "r").
			message(3, gatewayAddr, firstAddr, "CANCEL", 0, "a", "r").reply(4, 200, "a", "r").
			message(5, gatewayAddr, firstAddr, "BYE", 0, "a", "r").setup(400, secondAddr, "a", "s").final(900, 503, "a"),
			5},
	} {
		checker := New()
		for _, record := range test.capture.records {
			checker.Add(record)
		}
		checker.Finish()
		switch verdicts := checker.Verdicts(); {
		case test.rule == 0 && len(checker.Findings) > 0:
			t.Errorf("%s: finding %v, want none", test.name, checker.Findings[0])
		case test.rule > 0 && verdicts[test.rule] == 0:
			t.Errorf("%s: no finding for rule %d, want one", test.name, test.rule)
		case test.rule > 0 && verdicts[test.rule] != len(checker.Findings):
			t.Errorf("%s: findings %v, want only some for rule %d", test.name, checker.Findings, test.rule)
		}
	}
}
