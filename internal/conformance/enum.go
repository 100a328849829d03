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

// enumQuery is one look-up by an ENUM client, identified by client, message ID and name.
type enumQuery struct {
	call          *call
	askedAt       float64
	deadline      float64
	answeredAt    float64 // time of the first response
	queryCount    int
	responseCount int
	answer        string // response code and records of the latest response
	endpoint      string // address that the latest response names
}

const (
	lookupTimeout = 3000.0 // ms: the client ignores a response that comes later
	idReuseDelay  = 4900.0 // ms: after the response, a query with the same ID is a new one
	maxNamingAge  = 200.0  // ms: a client calls the endpoint within this time of its being named
)

// onLookup checks the messages between an ENUM client and a gateway's ENUM server. A response that names an endpoint
// counts as an attempt: rules 1, 3 and 4 apply to it.
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
		query = nil // the ID is reused
	}
	if query == nil {
		query = &enumQuery{call: &call{gateway: gateway, id: id, arrivedAt: at}, askedAt: at, deadline: at + lookupTimeout}
		k.queries[id] = query
		if m.Response {
			k.report(1, query.call, "response without a query")
		}
	}
	if !m.Response {
		if query.queryCount == 0 {
			k.Totals.Queries++
		}
		query.queryCount++
		return
	}
	if query.responseCount++; query.responseCount > query.queryCount {
		k.report(1, query.call, "%d responses to %d queries", query.responseCount, query.queryCount)
	}
	if m.Truncated {
		query.queryCount++ // the client asks again over TCP, and the capture does not have that query
		return
	}
	first := query.answeredAt == 0
	if first {
		query.answeredAt = at
	}
	if first && at > query.deadline+k.rules.SlackMs { // a response to a retransmission may come later
		k.report(1, query.call, "response %.0f ms after the query", at-query.askedAt)
	}
	answer := fmt.Sprint(m.Rcode, m.Answer)
	_, addr, ok := enumclient.Named(m)
	if query.answer != "" && query.answer != answer && k.isReady(gateway, query.endpoint) {
		k.report(1, query.call, "different response: %s after %s", answer, query.answer)
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

// excuseQueries treats look-ups as calls are treated when a gateway's process ended or stalled: a killed process
// loses its look-ups, and a stalled one could not answer.
func (k *Checker) excuseQueries(at float64, m *api.Mark) {
	for id, query := range k.queries {
		switch {
		case query.call.gateway != m.Who:
		case m.What != "edge-go": // killed or started: queries sent in between reached no process
			delete(k.queries, id)
		case query.responseCount == 0:
			query.deadline = math.Max(query.deadline, at+1000)
		}
	}
}

// isReady reports whether a gateway's list has an endpoint as ready.
func (k *Checker) isReady(gateway, addr string) bool {
	entry := k.endpointLists[gateway][addr]
	return entry != nil && entry.state == "ready"
}

// onENUMClientCall checks an ENUM client's own call: it goes to an endpoint that a response named just before, and each
// response allows one call.
func (k *Checker) onENUMClientCall(at float64, d *api.Datagram, from *api.Node) {
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
	for len(namedAt) > 0 && at-latest > maxNamingAge { // older ones belong to responses that were lost
		latest, namedAt = namedAt[0], namedAt[1:]
	}
	k.namedEndpoints[key] = namedAt
	if at-latest > maxNamingAge {
		k.report(
			3,
			&call{gateway: gateway, id: siptransaction.SessionIDOf(r)},
			"%v called %s %.0f ms after the response that named it",
			addr,
			k.name(d.To),
			at-latest,
		)
	}
}
