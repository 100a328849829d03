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

// scriptedPolicy is a routing policy whose decisions a test sets; it records the events that it receives.
type scriptedPolicy struct {
	routingHost  routing.Host
	endpoints    []*routing.Endpoint
	onCall       func(now float64, c *routing.Call)
	onAttemptEnd func(now float64, attempt *routing.Attempt)
	onWakeup     func(now float64, c *routing.Call)
	events       []string
}

func (p *scriptedPolicy) OnEndpoints(_ float64, endpoints []*routing.Endpoint) {
	if p.endpoints == nil {
		p.endpoints = endpoints
	}
}

func (p *scriptedPolicy) OnCall(now float64, routed *routing.Call) { p.onCall(now, routed) }

func (p *scriptedPolicy) OnAnswer(_ float64, attempt *routing.Attempt) {
	p.events = append(p.events, "answered")
}

func (p *scriptedPolicy) OnAttemptEnd(now float64, attempt *routing.Attempt, closed bool) {
	p.events = append(p.events, fmt.Sprintf("ended %d closed %v wait %v", attempt.Outcome, closed, attempt.RetryAfter))
	if p.onAttemptEnd != nil {
		p.onAttemptEnd(now, attempt)
	}
}

func (p *scriptedPolicy) OnHangup(float64, *routing.Call) { p.events = append(p.events, "hung up") }

func (p *scriptedPolicy) OnLoadReport(_ float64, endpoint *routing.Endpoint, ok, hasLoadReport bool) {
	p.events = append(p.events, fmt.Sprintf("report %v %v", ok, hasLoadReport))
}

func (p *scriptedPolicy) OnGossip(float64, int, []byte) {}

func (p *scriptedPolicy) RetryAfter(float64, *routing.Call) float64 { return 250 }

func (p *scriptedPolicy) OnWakeup(now float64, routed *routing.Call) {
	if p.onWakeup != nil {
		p.onWakeup(now, routed)
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

func (h *testHost) Send(to netip.AddrPort, data []byte) {
	h.packets = append(h.packets, packet{to, string(data)})
}

func (h *testHost) SendGossip(int, []byte) {}

func newTestHost(t *testing.T) *testHost {
	host := &testHost{T: t, policy: &scriptedPolicy{}, now: 1e6}
	settings := &routing.Settings{
		Gateways:          1,
		Seed:              3,
		TickInterval:      1,
		MaxAttempts:       5,
		CancelEnabled:     true,
		RetryAfterEnabled: true,
		RetryHoldOff:      500,
		AnswerGrace:       20,
		Classes: []*routing.Class{
			{Name: "shift-lookup", Timeout: 9000, Weight: 1},
			{Name: "claim", Timeout: 6000, Weight: 5},
		},
	}
	host.agent = New(
		&Config{
			Name:         "e",
			Address:      gatewayAddr,
			TrunkContext: "x.example",
			Settings:     settings,
			Times:        siptransaction.TimerValues{T1: 400, T2: 3200, T4: 5000},
			DefaultClass: "shift-lookup",
			Groups: []Group{
				{Name: "TG-0", DestinationID: 0, Circuits: 10},
				{Name: "TG-1", DestinationID: 1, Circuits: 10},
			},
			LoadShedding: loadshed.Gate{MaxPending: 100},
		},
		func(_ *routing.Settings, h routing.Host) routing.Policy {
			host.policy.routingHost = h
			return host.policy
		},
		host,
	)
	host.policy.onCall = func(now float64, routed *routing.Call) {
		host.policy.routingHost.StartAttempt(routed, host.policy.endpoints[0], routed.Deadline-now)
	}
	host.sendList(routing.Ready)
	return host
}

func (h *testHost) sendList(state routing.State) {
	h.agent.OnEndpointList(
		h.now,
		[]ListEntry{
			{ID: "a", DestinationID: 0, State: state, Addr: switchA},
			{ID: "b", DestinationID: 1, State: routing.Ready, Addr: switchB},
		},
		true,
	)
}

func (h *testHost) advance(ms float64) {
	for end := h.now + ms; h.now < end; {
		h.now++
		h.agent.Step(h.now)
	}
}

// receive hands a message of a caller or endpoint to the agent.
func (h *testHost) receive(from netip.AddrPort, text string) {
	head, body, _ := strings.Cut(text, "\n\n")
	h.agent.Receive(h.now, from, []byte(strings.ReplaceAll(head, "\n", "\r\n")+"\r\n\r\n"+body))
	h.agent.Step(h.now)
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

// expectSent returns the next packet to an address that starts with a prefix; the test fails if there is none.
func (h *testHost) expectSent(to netip.AddrPort, prefix string) sip.Message {
	h.Helper()
	for ; h.nextPacket < len(h.packets); h.nextPacket++ {
		sent := h.packets[h.nextPacket]
		if sent.to == to && strings.HasPrefix(sent.data, prefix) {
			h.nextPacket++
			m, err := siptransaction.Parse([]byte(sent.data))
			if err != nil {
				h.Fatalf("%q: %v", sent.data, err)
			}
			return m
		}
	}
	var lines []string
	for _, sent := range h.packets {
		line, _, _ := strings.Cut(sent.data, "\r\n")
		lines = append(lines, sent.to.String()+" "+line)
	}
	h.Fatalf("no packet to %v has the prefix %q; sent:\n%s", to, prefix, strings.Join(lines, "\n"))
	return nil
}

// count returns the number of packets to an address that start with a prefix.
func (h *testHost) count(to netip.AddrPort, prefix string) (n int) {
	for _, sent := range h.packets {
		if sent.to == to && strings.HasPrefix(sent.data, prefix) {
			n++
		}
	}
	return n
}

// respond passes an endpoint's response to a request to the agent; field is a further header field or empty.
func (h *testHost) respond(from netip.AddrPort, request sip.Message, code int, tag, field string) {
	response := siptransaction.Response(request.(*sip.Request), code, "X", tag)
	if code == 200 && request.(*sip.Request).Method == sip.INVITE {
		response.AppendHeader(
			&sip.ContactHeader{Address: sip.Uri{Scheme: "sip", Host: from.Addr().String(), Port: int(from.Port())}},
		)
	}
	if name, value, ok := strings.Cut(field, ": "); ok {
		response.AppendHeader(sip.NewHeader(name, value))
	}
	h.agent.Receive(h.now, from, []byte(response.String()))
	h.agent.Step(h.now)
}

func (h *testHost) expectEvents(want ...string) {
	h.Helper()
	if got := strings.Join(h.policy.events, ", "); got != strings.Join(want, ", ") {
		h.Errorf("the policy recorded %s, want %s", got, strings.Join(want, ", "))
	}
}
