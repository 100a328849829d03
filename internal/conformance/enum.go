package conformance

import (
	"fmt"
	"math"
	"net/netip"
	"strings"

	"github.com/emiago/sipgo/sip"
	"github.com/miekg/dns"

	"cobaltpier/api"
	"cobaltpier/internal/emulator/enumclient"
	"cobaltpier/internal/protocol/siptransaction"
)

// enumQuery is one look-up of a kiosk: a client, an id, a name.
type enumQuery struct {
	c         *call
	asked     float64
	due       float64
	answered  float64 // first
	questions int
	answers   int
	text      string // of the latest answer
	to        string // the endpoint that it names
}

const (
	lookPatience = 3000.0 // ms: an answer that comes later finds nobody
	again        = 4900.0 // ms after its answer: nothing that comes with the same id is a repeat
	fresh        = 200.0  // ms: a kiosk calls the endpoint that was named within this
)

// onLookup judges what passes between a kiosk and a gateway's front. An answer that names an endpoint is an attempt:
// rules 1, 3 and 4 hold for it.
func (k *Checker) onLookup(at float64, d *api.Datagram, from, to *api.Node) {
	m := new(dns.Msg)
	if m.Unpack(d.Data) != nil || len(m.Question) != 1 {
		return
	}
	client, edge := d.From, to.Name
	if m.Response {
		client, edge = d.To, from.Name
	}
	id := fmt.Sprintf("%s %d %s", client, m.Id, strings.ToLower(m.Question[0].Name))
	x := k.queries[id]
	if x != nil && !m.Response && (x.answered > 0 && at-x.answered > again || at-x.asked > 2*lookPatience) {
		x = nil // the id is used again
	}
	if x == nil {
		x = &enumQuery{c: &call{edge: edge, id: id, arrivedAt: at}, asked: at, due: at + lookPatience}
		k.queries[id] = x
		if m.Response {
			k.report(1, x.c, "an answer to what was not asked")
		}
	}
	if !m.Response {
		if x.questions == 0 {
			k.Totals.Queries++
		}
		x.questions++
		return
	}
	if x.answers++; x.answers > x.questions {
		k.report(1, x.c, "%d answers to %d questions", x.answers, x.questions)
	}
	if m.Truncated {
		x.questions++ // it is asked again over TCP, which is not seen here
		return
	}
	first := x.answered == 0
	if first {
		x.answered = at
	}
	if first && at > x.due+k.rules.SlackMs { // a repeat gets it again
		k.report(1, x.c, "answered %.0f ms after it was asked", at-x.asked)
	}
	text := fmt.Sprint(m.Rcode, m.Answer)
	_, addr, ok := enumclient.Named(m)
	if x.text != "" && x.text != text && k.ready(edge, x.to) {
		k.report(1, x.c, "a second answer, %s after %s", text, x.text)
	}
	x.text, x.to = text, ""
	if !ok {
		return
	}
	k.Totals.Answered++
	x.to = addr.String()
	k.checkDraining(at, edge, x.to, x.c)
	k.namedEndpoints[client+" "+x.to] = append(k.namedEndpoints[client+" "+x.to], at)
}

// closeQueries excuses look-ups by what was done to a gateway, as for calls: what a killed process held is lost, and
// one that stood still could not answer.
func (k *Checker) closeQueries(at float64, m *api.Mark) {
	for id, x := range k.queries {
		switch {
		case x.c.edge != m.Who:
		case m.What != "edge-go": // killed, or started: what came between reached nobody
			delete(k.queries, id)
		case x.answers == 0:
			x.due = math.Max(x.due, at+1000)
		}
	}
}

// ready tells whether an edge knows of no reason against an endpoint.
func (k *Checker) ready(edge, addr string) bool {
	p := k.listings[edge][addr]
	return p != nil && p.state == "ready"
}

// onKioskCall judges a kiosk's own call: it goes to an endpoint that was named just before, once for each naming.
func (k *Checker) onKioskCall(at float64, d *api.Datagram, from *api.Node) {
	m, err := k.Parse(d.Data)
	r, ok := m.(*sip.Request)
	if err != nil || !ok || r.Method != sip.INVITE {
		return
	}
	if _, repeat := k.byTx[d.From+siptransaction.SessionIDOf(r)]; repeat {
		return
	}
	k.byTx[d.From+siptransaction.SessionIDOf(r)] = &attempt{}
	k.Totals.KioskCalls++
	ap, err := netip.ParseAddrPort(d.From)
	if err != nil {
		return
	}
	edge, client := from.Name, ""
	for a, n := range k.nodes {
		if n.Role == "kiosk" && n.Name == from.Name {
			client = a
		}
	}
	k.countSlowStart(at, edge, d.To, false)
	key := client + " " + d.To
	of := k.namedEndpoints[key]
	latest := math.Inf(-1)
	for len(of) > 0 && at-latest > fresh { // those that are older were of answers that were lost
		latest, of = of[0], of[1:]
	}
	k.namedEndpoints[key] = of
	if at-latest > fresh {
		k.report(
			3,
			&call{edge: edge, id: siptransaction.SessionIDOf(r)},
			"%v calls %s, %.0f ms after it was named",
			ap,
			k.name(d.To),
			at-latest,
		)
	}
}
