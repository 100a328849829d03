package conformance

import (
	"strings"
	"testing"

	"github.com/miekg/dns"

	"cobaltpier/api"
)

// TestENUMRules checks the findings for correct and incorrect exchanges between a client, an ENUM server and an
// endpoint.
func TestENUMRules(t *testing.T) {
	node := func(addr, role, name string) *api.Record {
		return &api.Record{What: &api.Record_Node{Node: &api.Node{Addr: addr, Role: role, Name: name}}}
	}
	// endpointList returns an endpoint list in which endpointA has the given state and endpointB is ready.
	endpointList := func(at float64, state string) *api.Record {
		return &api.Record{
			At: at,
			What: &api.Record_Listing{
				Listing: &api.Listing{Edge: "e", Entries: []*api.Entry{{Id: "s", State: state, Addr: "127.0.0.3:5060"},
					{Id: "s2", State: "ready", Addr: "127.0.0.4:5060"}}},
			},
		}
	}
	const clientAddr, enumServerAddr, callerAddr = "127.0.0.1:1", "127.0.0.2:53", "127.0.0.1:2"
	message := func(at float64, from, to string, id uint16, endpointAddr string, modify func(*dns.Msg)) *api.Record {
		m := new(dns.Msg)
		m.SetQuestion("1.e164.test.", dns.TypeNAPTR)
		m.Id, m.Response = id, from == enumServerAddr
		if endpointAddr != "" {
			m.Answer = []dns.RR{
				&dns.NAPTR{
					Hdr:         dns.RR_Header{Name: "1.e164.test.", Rrtype: dns.TypeNAPTR, Class: dns.ClassINET},
					Flags:       "u",
					Service:     "E2U+sip",
					Regexp:      "!^.*$!sip:+1;tgrp=TG-0@" + endpointAddr + "!",
					Replacement: ".",
				},
			}
		}
		if modify != nil {
			modify(m)
		}
		data, err := m.Pack()
		if err != nil {
			t.Fatal(err)
		}
		return &api.Record{At: at, What: &api.Record_Datagram{Datagram: &api.Datagram{From: from, To: to, Data: data}}}
	}
	query := func(at float64, id uint16) *api.Record { return message(at, clientAddr, enumServerAddr, id, "", nil) }
	response := func(at float64, id uint16, endpointAddr string) *api.Record {
		return message(at, enumServerAddr, clientAddr, id, endpointAddr, nil)
	}
	// call returns an INVITE whose session ID repeats sessionDigit.
	call := func(at float64, sessionDigit string) *api.Record {
		invite := "INVITE sip:+1@127.0.0.3 SIP/2.0\nVia: SIP/2.0/UDP " + callerAddr + ";branch=z9hG4bK" + sessionDigit +
			"\nFrom: <sip:a@b>;tag=1\nTo: <sip:c@d>\nCall-ID: " + sessionDigit +
			"\nCSeq: 1 INVITE\nSession-ID: " + strings.Repeat(sessionDigit, 32) + ";remote=00000000000000000000000000000000\n" +
			"Content-Length: 0\n\n"
		return &api.Record{
			At: at,
			What: &api.Record_Datagram{
				Datagram: &api.Datagram{
					From: callerAddr, To: "127.0.0.3:5060", Data: []byte(strings.ReplaceAll(invite, "\n", "\r\n")),
				},
			},
		}
	}
	const endpointA, endpointB = "127.0.0.3:5060", "127.0.0.4:5060"
	for name, test := range map[string]struct {
		records []*api.Record
		want    string // part of the joined findings; "": no finding
	}{
		"a look-up, its call and a retransmission of the call": {[]*api.Record{query(10, 1), response(20, 1, endpointA),
			call(30, "1"), call(31, "1")}, ""},
		"the same answer to a retransmission": {[]*api.Record{query(10, 1), query(15, 1), response(20, 1, endpointA),
			response(21, 1, endpointA)}, ""},
		"a different answer after the first endpoint began to drain": {[]*api.Record{query(10, 1), query(15, 1),
			response(20, 1, endpointA), endpointList(21, "draining"), response(22, 1, endpointB)}, ""},
		"truncated, then over TCP": {[]*api.Record{query(10, 1),
			message(20, enumServerAddr, clientAddr, 1, "", func(m *dns.Msg) { m.Truncated = true }),
			response(30, 1, endpointA)}, ""},
		"truncated, with retransmissions in transit": {[]*api.Record{query(6000, 1), query(6010, 1),
			message(6020, enumServerAddr, clientAddr, 1, "", func(m *dns.Msg) { m.Truncated = true }), query(6030, 1),
			response(6040, 1, endpointA), response(6041, 1, endpointA)}, ""},
		"an answer without a query": {[]*api.Record{response(20, 1, endpointA)}, "response without a query"},
		"two answers to one query": {[]*api.Record{query(10, 1), response(20, 1, endpointA), response(21, 1, endpointA)},
			"2 responses to 1 queries"},
		"two different answers": {[]*api.Record{query(10, 1), query(15, 1), response(20, 1, endpointA),
			response(21, 1, endpointB)}, "different response"},
		"a late answer": {[]*api.Record{query(10, 1), response(3200, 1, endpointA)}, "ms after the query"},
		"an answer that names a draining endpoint after the grace period": {[]*api.Record{endpointList(5, "draining"),
			query(10, 1), response(400, 1, endpointA)}, "395 ms after the gateway was told it is draining"},
		"a call to an endpoint other than the one in the answer": {[]*api.Record{query(10, 1),
			response(20, 1, endpointB), call(30, "1")},
			"called s +Inf ms after the response that named it"},
		"a call too long after the answer": {[]*api.Record{query(10, 1), response(20, 1, endpointA), call(330, "1")},
			"310 ms after the response that named it"},
		"two calls after one answer": {[]*api.Record{query(10, 1), response(20, 1, endpointA), call(30, "1"),
			call(31, "2")},
			"called s +Inf ms after the response that named it"},
	} {
		checker := New()
		preamble := []*api.Record{
			{What: &api.Record_Rules{Rules: &api.Rules{SlackMs: 20, GraceMs: 250, ClearMs: 500, TipMultiple: 2.5, TipMs: 1000}}},
			node(clientAddr, "kiosk", "e"),
			node(callerAddr, "kiosk-phone", "e"),
			node(enumServerAddr, "front", "e"),
			node(endpointA, "switch", "s"),
			node(endpointB, "switch", "s2"),
			endpointList(0, "ready"),
		}
		for _, record := range append(preamble, test.records...) {
			checker.Add(record)
		}
		var got []string
		for _, finding := range checker.Findings {
			got = append(got, finding.Description)
		}
		if s := strings.Join(got, "; "); (s == "") != (test.want == "") || !strings.Contains(s, test.want) {
			t.Errorf("%s: findings %q, want one containing %q", name, s, test.want)
		}
	}
}
