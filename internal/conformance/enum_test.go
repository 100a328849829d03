package conformance

import (
	"strings"
	"testing"

	"github.com/miekg/dns"

	"cobaltpier/api"
)

// TestENUMRules checks that each way in which an ENUM server or a kiosk breaks a rule is found.
func TestENUMRules(t *testing.T) {
	node := func(addr, role, name string) *api.Record {
		return &api.Record{What: &api.Record_Node{Node: &api.Node{Addr: addr, Role: role, Name: name}}}
	}
	list := func(at float64, state string) *api.Record {
		return &api.Record{
			At: at,
			What: &api.Record_Listing{
				Listing: &api.Listing{Edge: "e", Entries: []*api.Entry{{Id: "m", State: state, Addr: "127.0.0.3:5060"},
					{Id: "n", State: "ready", Addr: "127.0.0.4:5060"}}},
			},
		}
	}
	const kiosk, front, phone = "127.0.0.1:1", "127.0.0.2:53", "127.0.0.1:2"
	message := func(at float64, from, to string, id uint16, pool string, change func(*dns.Msg)) *api.Record {
		m := new(dns.Msg)
		m.SetQuestion("1.kiosk.test.", dns.TypeNAPTR)
		m.Id, m.Response = id, from == front
		if pool != "" {
			m.Answer = []dns.RR{
				&dns.NAPTR{
					Hdr:         dns.RR_Header{Name: "1.kiosk.test.", Rrtype: dns.TypeNAPTR, Class: dns.ClassINET},
					Flags:       "u",
					Service:     "E2U+sip",
					Regexp:      "!^.*$!sip:+1;tgrp=TG-0@" + pool + "!",
					Replacement: ".",
				},
			}
		}
		if change != nil {
			change(m)
		}
		b, err := m.Pack()
		if err != nil {
			t.Fatal(err)
		}
		return &api.Record{At: at, What: &api.Record_Datagram{Datagram: &api.Datagram{From: from, To: to, Data: b}}}
	}
	ask := func(at float64, id uint16) *api.Record { return message(at, kiosk, front, id, "", nil) }
	answer := func(at float64, id uint16, pool string) *api.Record { return message(at, front, kiosk, id, pool, nil) }
	call := func(at float64, session string) *api.Record {
		text := "INVITE sip:+1@127.0.0.3 SIP/2.0\nVia: SIP/2.0/UDP " + phone + ";branch=z9hG4bK" + session +
			"\nFrom: <sip:a@b>;tag=1\nTo: <sip:c@d>\nCall-ID: " + session +
			"\nCSeq: 1 INVITE\nSession-ID: " + strings.Repeat(session, 32) + ";remote=00000000000000000000000000000000\n" +
			"Content-Length: 0\n\n"
		return &api.Record{
			At: at,
			What: &api.Record_Datagram{
				Datagram: &api.Datagram{From: phone, To: "127.0.0.3:5060", Data: []byte(strings.ReplaceAll(text, "\n", "\r\n"))},
			},
		}
	}
	const a, b = "127.0.0.3:5060", "127.0.0.4:5060"
	for name, c := range map[string]struct {
		records []*api.Record
		want    string
	}{
		"a look-up and its call": {[]*api.Record{ask(10, 1), answer(20, 1, a), call(30, "a"), call(31, "a")}, ""},
		"the same answer to a retransmission": {[]*api.Record{ask(10, 1), ask(15, 1), answer(20, 1, a),
			answer(21, 1, a)}, ""},
		"another answer once the first endpoint drains": {[]*api.Record{ask(10, 1), ask(15, 1), answer(20, 1, a),
			list(21, "draining"), answer(22, 1, b)}, ""},
		"truncated, then over TCP": {[]*api.Record{ask(10, 1),
			message(20, front, kiosk, 1, "", func(m *dns.Msg) { m.Truncated = true }), answer(30, 1, a)}, ""},
		"truncated, retransmissions in transit": {[]*api.Record{ask(6000, 1), ask(6010, 1),
			message(6020, front, kiosk, 1, "", func(m *dns.Msg) { m.Truncated = true }), ask(6030, 1),
			answer(6040, 1, a), answer(6041, 1, a)}, ""},
		"an answer without a query": {[]*api.Record{answer(20, 1, a)}, "not asked"},
		"two answers to one query": {[]*api.Record{ask(10, 1), answer(20, 1, a), answer(21, 1, a)},
			"2 responses to 1 queries"},
		"two different answers": {[]*api.Record{ask(10, 1), ask(15, 1), answer(20, 1, a), answer(21, 1, b)},
			"different response"},
		"an answer too late": {[]*api.Record{ask(10, 1), answer(3200, 1, a)}, "ms after the query"},
		"a draining endpoint after the grace period": {[]*api.Record{list(5, "draining"), ask(10, 1),
			answer(400, 1, a)}, "drain"},
		"a call to an endpoint that was not named": {[]*api.Record{ask(10, 1), answer(20, 1, b), call(30, "a")},
			"calls"},
		"a call too long after the answer": {[]*api.Record{ask(10, 1), answer(20, 1, a), call(330, "a")},
			"310 ms after it was named"},
		"two calls after one answer": {[]*api.Record{ask(10, 1), answer(20, 1, a), call(30, "a"), call(31, "b")},
			"calls"},
	} {
		k := New()
		head := []*api.Record{
			{What: &api.Record_Rules{Rules: &api.Rules{SlackMs: 20, GraceMs: 250, ClearMs: 500, TipMultiple: 2.5, TipMs: 1000}}},
			node(kiosk, "kiosk", "e"),
			node(phone, "kiosk-phone", "e"),
			node(front, "front", "e"),
			node(a, "switch", "s"),
			node(b, "switch", "s2"),
			list(0, "ready"),
		}
		for _, r := range append(head, c.records...) {
			k.Add(r)
		}
		var got []string
		for _, f := range k.Findings {
			got = append(got, f.Description)
		}
		if s := strings.Join(got, "; "); (s == "") != (c.want == "") || !strings.Contains(s, c.want) {
			t.Errorf("%s: %q, want %q", name, s, c.want)
		}
	}
}
