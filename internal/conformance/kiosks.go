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

// look is one look-up of a kiosk: a client, an id, a name.
type look struct {
	c         *contact
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

// lookup judges what passes between a kiosk and a gateway's front. An answer that names an endpoint is an attempt:
// rules 1, 3 and 4 hold for it.
func (k *Checker) lookup(at float64, d *api.Datagram, from, to *api.Node) {
	m := new(dns.Msg)
	if m.Unpack(d.Data) != nil || len(m.Question) != 1 {
		return
	}
	client, edge := d.From, to.Name
	if m.Response {
		client, edge = d.To, from.Name
	}
	id := fmt.Sprintf("%s %d %s", client, m.Id, strings.ToLower(m.Question[0].Name))
	x := k.looks[id]
	if x != nil && !m.Response && (x.answered > 0 && at-x.answered > again || at-x.asked > 2*lookPatience) {
		x = nil // the id is used again
	}
	if x == nil {
		x = &look{c: &contact{edge: edge, id: id, came: at}, asked: at, due: at + lookPatience}
		k.looks[id] = x
		if m.Response {
			k.broke(1, x.c, "an answer to what was not asked")
		}
	}
	if !m.Response {
		if x.questions == 0 {
			k.Totals.Looks++
		}
		x.questions++
		return
	}
	if x.answers++; x.answers > x.questions {
		k.broke(1, x.c, "%d answers to %d questions", x.answers, x.questions)
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
		k.broke(1, x.c, "answered %.0f ms after it was asked", at-x.asked)
	}
	text := fmt.Sprint(m.Rcode, m.Answer)
	_, addr, ok := enumclient.Named(m)
	if x.text != "" && x.text != text && k.ready(edge, x.to) {
		k.broke(1, x.c, "a second answer, %s after %s", text, x.text)
	}
	x.text, x.to = text, ""
	if !ok {
		return
	}
	k.Totals.Named++
	x.to = addr.String()
	k.drain(at, edge, x.to, x.c)
	k.named[client+" "+x.to] = append(k.named[client+" "+x.to], at)
}

// looksOf lets a mark of an edge excuse look-ups as it does calls: what a killed process held is lost, and one that
// stood still could not answer.
func (k *Checker) looksOf(at float64, m *api.Mark) {
	for id, x := range k.looks {
		switch {
		case x.c.edge != m.Who:
		case m.What != "edge-go": // killed, or started: what came between reached nobody
			delete(k.looks, id)
		case x.answers == 0:
			x.due = math.Max(x.due, at+1000)
		}
	}
}

// ready tells whether an edge knows of no reason against an endpoint.
func (k *Checker) ready(edge, addr string) bool {
	p := k.listed[edge][addr]
	return p != nil && p.state == "ready"
}

// kioskCalls judges a kiosk's own call: it goes to an endpoint that was named just before, once for each naming.
func (k *Checker) kioskCalls(at float64, d *api.Datagram, from *api.Node) {
	m, err := k.Parse(d.Data)
	r, ok := m.(*sip.Request)
	if err != nil || !ok || r.Method != sip.INVITE {
		return
	}
	if _, repeat := k.byTx[d.From+siptransaction.SessionIDOf(r)]; repeat {
		return
	}
	k.byTx[d.From+siptransaction.SessionIDOf(r)] = &ring{}
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
	k.cold(at, edge, d.To, false)
	key := client + " " + d.To
	of := k.named[key]
	latest := math.Inf(-1)
	for len(of) > 0 && at-latest > fresh { // those that are older were of answers that were lost
		latest, of = of[0], of[1:]
	}
	k.named[key] = of
	if at-latest > fresh {
		k.broke(
			3,
			&contact{edge: edge, id: siptransaction.SessionIDOf(r)},
			"%v calls %s, %.0f ms after it was named",
			ap,
			k.name(d.To),
			at-latest,
		)
	}
}
