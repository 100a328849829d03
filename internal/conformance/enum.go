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
	call       *call
	askedAt    float64
	deadline   float64
	answeredAt float64 // first
	queries    int
	responses  int
	answer     string // of the latest answer
	endpoint   string // the endpoint that it names
}

const (
	lookupTimeout = 3000.0 // ms: an answer that comes later finds nobody
	idReuseDelay  = 4900.0 // ms after its answer: nothing that comes with the same id is a repeat
	maxNamingAge  = 200.0  // ms: a kiosk calls the endpoint that was named within this
)

// onLookup judges what passes between a kiosk and a gateway's front. An answer that names an endpoint is an attempt:
// rules 1, 3 and 4 hold for it.
func (k *Checker) onLookup(at float64, d *api.Datagram, from, to *api.Node) {
	m := new(dns.Msg)
	if m.Unpack(d.Data) != nil || len(m.Question) != 1 {
		return
	}
	client, gateway := d.From, to.Name
	if m.Response {
		client, gateway = d.To, from.Name
	}
	id := fmt.Sprintf("%s %d %s", client, m.Id, strings.ToLower(m.Question[0].Name))
	query := k.queries[id]
	if query != nil && !m.Response &&
		(query.answeredAt > 0 && at-query.answeredAt > idReuseDelay || at-query.askedAt > 2*lookupTimeout) {
		query = nil // the id is used again
	}
	if query == nil {
		query = &enumQuery{call: &call{gateway: gateway, id: id, arrivedAt: at}, askedAt: at, deadline: at + lookupTimeout}
		k.queries[id] = query
		if m.Response {
			k.report(1, query.call, "an answer to what was not asked")
		}
	}
	if !m.Response {
		if query.queries == 0 {
			k.Totals.Queries++
		}
		query.queries++
		return
	}
	if query.responses++; query.responses > query.queries {
		k.report(1, query.call, "%d answers to %d questions", query.responses, query.queries)
	}
	if m.Truncated {
		query.queries++ // it is asked again over TCP, which is not seen here
		return
	}
	first := query.answeredAt == 0
	if first {
		query.answeredAt = at
	}
	if first && at > query.deadline+k.rules.SlackMs { // a repeat gets it again
		k.report(1, query.call, "answered %.0f ms after it was asked", at-query.askedAt)
	}
	answer := fmt.Sprint(m.Rcode, m.Answer)
	_, addr, ok := enumclient.Named(m)
	if query.answer != "" && query.answer != answer && k.isReady(gateway, query.endpoint) {
		k.report(1, query.call, "a second answer, %s after %s", answer, query.answer)
	}
	query.answer, query.endpoint = answer, ""
	if !ok {
		return
	}
	k.Totals.Answered++
	query.endpoint = addr.String()
	k.checkDraining(at, gateway, query.endpoint, query.call)
	k.namedEndpoints[client+" "+query.endpoint] = append(k.namedEndpoints[client+" "+query.endpoint], at)
}

// excuseQueries excuses look-ups by what was done to a gateway, as for calls: what a killed process held is lost, and
// one that stood still could not answer.
func (k *Checker) excuseQueries(at float64, m *api.Mark) {
	for id, query := range k.queries {
		switch {
		case query.call.gateway != m.Who:
		case m.What != "edge-go": // killed, or started: what came between reached nobody
			delete(k.queries, id)
		case query.responses == 0:
			query.deadline = math.Max(query.deadline, at+1000)
		}
	}
}

// isReady tells whether a gateway knows of no reason against an endpoint.
func (k *Checker) isReady(gateway, addr string) bool {
	entry := k.endpointLists[gateway][addr]
	return entry != nil && entry.state == "ready"
}

// onKioskCall judges a kiosk's own call: it goes to an endpoint that was named just before, once for each naming.
func (k *Checker) onKioskCall(at float64, d *api.Datagram, from *api.Node) {
	m, err := k.Parse(d.Data)
	r, ok := m.(*sip.Request)
	if err != nil || !ok || r.Method != sip.INVITE {
		return
	}
	if _, repeat := k.attemptsByTransaction[d.From+siptransaction.SessionIDOf(r)]; repeat {
		return
	}
	k.attemptsByTransaction[d.From+siptransaction.SessionIDOf(r)] = &attempt{}
	k.Totals.KioskCalls++
	addr, err := netip.ParseAddrPort(d.From)
	if err != nil {
		return
	}
	gateway, client := from.Name, ""
	for a, n := range k.nodes {
		if n.Role == "kiosk" && n.Name == from.Name {
			client = a
		}
	}
	k.recordSlowStartWork(at, gateway, d.To, false)
	key := client + " " + d.To
	namedAt := k.namedEndpoints[key]
	latest := math.Inf(-1)
	for len(namedAt) > 0 && at-latest > maxNamingAge { // those that are older were of answers that were lost
		latest, namedAt = namedAt[0], namedAt[1:]
	}
	k.namedEndpoints[key] = namedAt
	if at-latest > maxNamingAge {
		k.report(
			3,
			&call{gateway: gateway, id: siptransaction.SessionIDOf(r)},
			"%v calls %s, %.0f ms after it was named",
			addr,
			k.name(d.To),
			at-latest,
		)
	}
}
