package b2bua

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/emiago/sipgo/sip"

	"cobaltpier/internal/decision/loadshed"
	"cobaltpier/internal/protocol/siptransaction"
	"cobaltpier/internal/routing"
)

// scriptedPolicy is a routing policy whose decisions a test sets; it records what it is told.
type scriptedPolicy struct {
	host         routing.Host
	endpoints    []*routing.Endpoint
	onCall       func(now float64, c *routing.Call)
	onAttemptEnd func(now float64, r *routing.Attempt)
	onWakeup     func(now float64, c *routing.Call)
	events       []string
}

func (m *scriptedPolicy) OnEndpoints(_ float64, ps []*routing.Endpoint) {
	if m.endpoints == nil {
		m.endpoints = ps
	}
}

func (m *scriptedPolicy) OnCall(now float64, routed *routing.Call) { m.onCall(now, routed) }

func (m *scriptedPolicy) OnAnswer(_ float64, attempt *routing.Attempt) {
	m.events = append(m.events, "stood")
}

func (m *scriptedPolicy) OnAttemptEnd(now float64, attempt *routing.Attempt, closed bool) {
	m.events = append(m.events, fmt.Sprintf("ended %d closed %v wait %v", attempt.Outcome, closed, attempt.RetryAfter))
	if m.onAttemptEnd != nil {
		m.onAttemptEnd(now, attempt)
	}
}

func (m *scriptedPolicy) OnHangup(float64, *routing.Call) { m.events = append(m.events, "left") }

func (m *scriptedPolicy) OnLoadReport(_ float64, endpoint *routing.Endpoint, ok, full bool) {
	m.events = append(m.events, fmt.Sprintf("report %v %v", ok, full))
}

func (m *scriptedPolicy) OnGossip(float64, int, []byte) {}

func (m *scriptedPolicy) OnWakeup(now float64, routed *routing.Call) {
	if m.onWakeup != nil {
		m.onWakeup(now, routed)
	}
}

type packet struct {
	to   netip.AddrPort
	data string
}

// testHost is an agent with a scripted policy that records sent packets.
type testHost struct {
	*testing.T
	agent      *Agent
	policy     *scriptedPolicy
	now        float64
	packets    []packet
	nextPacket int
}

func (r *testHost) Send(to netip.AddrPort, data []byte) {
	r.packets = append(r.packets, packet{to, string(data)})
}

func (r *testHost) SendGossip(int, []byte) {}

func newTestHost(t *testing.T) *testHost {
	r := &testHost{T: t, policy: &scriptedPolicy{}, now: 1e6}
	set := &routing.Settings{
		Gateways:          1,
		Seed:              3,
		TickInterval:      1,
		MaxAttempts:       5,
		CancelEnabled:     true,
		RetryAfterEnabled: true,
		RetryHoldOff:      500,
		AnswerGrace:       20,
		Classes: []*routing.Class{
			{Name: "shift-lookup", LatencyObjective: 2000, Timeout: 9000, Weight: 1},
			{Name: "claim", LatencyObjective: 1000, Timeout: 6000, Weight: 5},
		},
	}
	r.agent = New(
		&Config{
			Name:         "e",
			Address:      gatewayAddr,
			TrunkContext: "x.example",
			Settings:     set,
			Times:        siptransaction.Timers{T1: 400, T2: 3200, T4: 5000},
			DefaultClass: "shift-lookup",
			Groups: []Group{
				{Name: "TG-0", DestinationID: 0, Circuits: 10},
				{Name: "TG-1", DestinationID: 1, Circuits: 10},
			},
			LoadShedding: loadshed.Gate{MaxPending: 100},
		},
		func(_ *routing.Settings, h routing.Host) routing.Policy { r.policy.host = h; return r.policy },
		r,
	)
	r.policy.onCall = func(now float64, routed *routing.Call) {
		r.policy.host.StartAttempt(routed, r.policy.endpoints[0], routed.Deadline-now)
	}
	r.sendList(routing.Ready)
	return r
}

func (r *testHost) sendList(a routing.State) {
	r.agent.OnEndpointList(
		r.now,
		[]ListEntry{
			{ID: "a", DestinationID: 0, State: a, Addr: switchA},
			{ID: "b", DestinationID: 1, State: routing.Ready, Addr: switchB},
		},
		true,
	)
}

func (r *testHost) advance(ms float64) {
	for end := r.now + ms; r.now < end; {
		r.now++
		r.agent.Step(r.now)
	}
}

// receive hands a message of a caller or endpoint to the agent.
func (r *testHost) receive(from netip.AddrPort, text string) {
	head, body, _ := strings.Cut(text, "\n\n")
	r.agent.Receive(r.now, from, []byte(strings.ReplaceAll(head, "\n", "\r\n")+"\r\n\r\n"+body))
	r.agent.Step(r.now)
}

func callerRequest(method, id, toParams string) string {
	cseq := "1 " + method
	if method == "BYE" {
		cseq = "2 BYE"
	}
	branch := id
	if method == "BYE" || method == "ACK" {
		branch += method
	}
	return method + " sip:+14185550123;tgrp=TG-0;trunk-context=x.example@127.0.0.1 SIP/2.0\nVia: SIP/2.0/UDP " +
		"127.0.0.2:5060;rport;branch=z9hG4bK" + branch +
		"\nFrom: <sip:staff@epicerie.example>;tag=c" + id + "\nTo: <sip:+14185550123@127.0.0.1>" + toParams + "\nCall-ID: " +
		id + "\nCSeq: " + cseq +
		"\nContact: <sip:127.0.0.2:5060>\nMax-Forwards: 70\nSession-ID: " + strings.Repeat(id[:1], 32) + ";remote=" +
		strings.Repeat("0", 32) +
		"\nExpires: 9\nContent-Length: 0"
}

// expectSent returns the next packet to an address that starts with a text; the test fails if there is none.
func (r *testHost) expectSent(to netip.AddrPort, begins string) sip.Message {
	r.Helper()
	for ; r.nextPacket < len(r.packets); r.nextPacket++ {
		p := r.packets[r.nextPacket]
		if p.to == to && strings.HasPrefix(p.data, begins) {
			r.nextPacket++
			m, err := siptransaction.Parse([]byte(p.data))
			if err != nil {
				r.Fatalf("%q: %v", p.data, err)
			}
			return m
		}
	}
	var all []string
	for _, p := range r.packets {
		l, _, _ := strings.Cut(p.data, "\r\n")
		all = append(all, p.to.String()+" "+l)
	}
	r.Fatalf("nothing to %v begins with %q; sent:\n%s", to, begins, strings.Join(all, "\n"))
	return nil
}

// count returns the number of packets to an address that start with a text.
func (r *testHost) count(to netip.AddrPort, begins string) (n int) {
	for _, p := range r.packets {
		if p.to == to && strings.HasPrefix(p.data, begins) {
			n++
		}
	}
	return n
}

// respond sends the agent a response of an endpoint to a request.
func (r *testHost) respond(from netip.AddrPort, to sip.Message, code int, tag, more string) {
	res := siptransaction.Response(to.(*sip.Request), code, "X", tag)
	if code == 200 && to.(*sip.Request).Method == sip.INVITE {
		res.AppendHeader(
			&sip.ContactHeader{Address: sip.Uri{Scheme: "sip", Host: from.Addr().String(), Port: int(from.Port())}},
		)
	}
	if k, v, ok := strings.Cut(more, ": "); ok {
		res.AppendHeader(sip.NewHeader(k, v))
	}
	r.agent.Receive(r.now, from, []byte(res.String()))
	r.agent.Step(r.now)
}

func (r *testHost) expectEvents(want ...string) {
	r.Helper()
	if got := strings.Join(r.policy.events, ", "); got != strings.Join(want, ", ") {
		r.Errorf("the policy recorded %s, want %s", got, strings.Join(want, ", "))
	}
}
