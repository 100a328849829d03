package conformance

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/emiago/sipgo/sip"

	"cobaltpier/api"
	"cobaltpier/internal/protocol/siptransaction"
)

// Tables judges from a capture whether each call was analysed wholly by one number table, and by one that was in force
// when it came. The laboratory's tables put a mark of their own in front of every number, in a step of its own; marks
// are four digits that Mark makes of a version.
type Tables struct {
	Mark          func(version uint64) string
	Blur          float64 // ms
	Parse         func([]byte) (sip.Message, error)
	Calls         int // that were set up with a mark
	Versions      int // that were seen in use
	Records       int // calls whose own record was held against the wire
	Findings      []string
	nodes         map[string]*api.Node
	gateways      map[string]*gatewayTables
	arrivals      map[string]arrival // by gateway and session
	markByCall    map[string]string
	usedVersions  map[uint64]bool
	versionByMark map[string]uint64
}

// arrival is when a call came, and the latest at which its gateway looked at it first: one that stalled looks later.
type arrival struct{ at, readBy float64 }

// gatewayTables is what tables a gateway may use: those sent to it since the latest that it said is in, and that one.
type gatewayTables struct {
	current    uint64
	knownSince map[uint64]float64 // when a table was sent to it first, or was there at its start
	stalled    bool               // it stalls
	unread     []string           // what came meanwhile
	pending    []uint64
	replaced   []replacedTable // tables that were in force
}

type replacedTable struct {
	version uint64
	until   float64
}

// NewTables makes a checker.
func NewTables(mark func(uint64) string) *Tables {
	return &Tables{
		Mark:          mark,
		Parse:         siptransaction.Parse,
		nodes:         map[string]*api.Node{},
		gateways:      map[string]*gatewayTables{},
		arrivals:      map[string]arrival{},
		markByCall:    map[string]string{},
		usedVersions:  map[uint64]bool{},
		versionByMark: map[string]uint64{},
	}
}

// Add takes the next record.
func (k *Tables) Add(r *api.Record) {
	switch v := r.What.(type) {
	case *api.Record_Node:
		k.nodes[v.Node.Addr] = v.Node
	case *api.Record_Mark:
		k.onMark(r.At, v.Mark)
	case *api.Record_Datagram:
		if strings.HasPrefix(string(v.Datagram.Data[:min(len(v.Datagram.Data), 7)]), "INVITE ") {
			k.onInvite(r.At, v.Datagram)
		}
	}
}

func (k *Tables) tablesOf(gateway string) *gatewayTables {
	if k.gateways[gateway] == nil {
		k.gateways[gateway] = &gatewayTables{knownSince: map[uint64]float64{}}
	}
	return k.gateways[gateway]
}

func (k *Tables) onMark(at float64, m *api.Mark) {
	f := k.tablesOf(m.Who)
	version, err := strconv.ParseUint(m.Text, 10, 64)
	if _, known := f.knownSince[version]; !known && err == nil {
		f.knownSince[version] = at
	}
	switch {
	case m.What == "edge-kill": // what it held is lost; a repeat that reaches the next process is new there
		for id := range k.arrivals {
			if strings.HasPrefix(id, m.Who+" ") {
				delete(k.arrivals, id)
				delete(k.markByCall, id)
			}
		}
	case m.What == "edge-stop":
		f.stalled = true
	case m.What == "edge-go":
		for _, id := range f.unread {
			if a, known := k.arrivals[id]; known { // else the process was killed while it stalled
				a.readBy = at + readLag
				k.arrivals[id] = a
			}
		}
		f.stalled, f.unread = false, nil
	case m.What == "table-sent" && err == nil:
		f.pending = append(f.pending, version)
		k.versionByMark[k.Mark(version)] = version
	case m.What == "table-in" && err == nil:
		k.versionByMark[k.Mark(version)] = version
		if f.current != 0 {
			f.replaced = append(f.replaced, replacedTable{f.current, at})
		}
		for len(f.pending) > 0 && f.pending[0] <= version {
			if f.pending[0] != version { // it may have been in force between
				f.replaced = append(f.replaced, replacedTable{f.pending[0], at})
			}
			f.pending = f.pending[1:]
		}
		f.current = version
		if n := len(f.replaced); n > 64 {
			f.replaced = f.replaced[n-64:]
		}
	}
}

// readLag is how long after it goes on a gateway may still find what came while it stalled, ms.
const readLag = 250

// mayBeInForce tells whether a table may have been in force at a gateway at a time.
func (k *Tables) mayBeInForce(f *gatewayTables, version uint64, arrived arrival) bool {
	if arrived.readBy+k.Blur < f.knownSince[version] {
		return false
	}
	if version == f.current {
		return true
	}
	for _, pending := range f.pending {
		if pending == version {
			return true
		}
	}
	for _, p := range f.replaced {
		if p.version == version && arrived.at <= p.until+k.Blur {
			return true
		}
	}
	return false
}

// Record holds a call's own record against what it was set up with on the wire.
func (k *Tables) Record(gateway, session string, version uint64) {
	mark, found := k.markByCall[gateway+" "+session]
	if !found {
		return
	}
	k.Records++
	if want := k.Mark(version); mark != want {
		k.Findings = append(
			k.Findings,
			fmt.Sprintf(
				"%s %s: its record says table %d, mark %s; it was set up with %s",
				gateway,
				session,
				version,
				want,
				mark,
			),
		)
	}
}

func (k *Tables) onInvite(at float64, d *api.Datagram) {
	from, to := k.nodes[d.From], k.nodes[d.To]
	if from == nil || to == nil {
		return
	}
	m, err := k.Parse(d.Data)
	req, ok := m.(*sip.Request)
	if err != nil || !ok || siptransaction.Tag(req.To().Params) != "" {
		return
	}
	switch {
	case from.Role == "caller" && to.Role == "edge":
		id := to.Name + " " + siptransaction.SessionIDOf(req)
		if _, known := k.arrivals[id]; !known {
			k.arrivals[id] = arrival{at, at}
			if f := k.tablesOf(to.Name); f.stalled {
				f.unread = append(f.unread, id)
			}
		}
	case from.Role == "edge" && to.Role == "switch":
		id := from.Name + " " + siptransaction.SessionIDOf(req)
		arrived, known := k.arrivals[id]
		if !known {
			arrived = arrival{math.Inf(-1), math.Inf(1)}
		}
		mark := markOf(req.Recipient.User)
		if previous, found := k.markByCall[id]; found {
			if previous != mark {
				k.Findings = append(
					k.Findings,
					fmt.Sprintf("%.1f ms, %s: set up with mark %s, before that with %s", at, id, mark, previous),
				)
			}
			return
		}
		k.markByCall[id] = mark
		k.Calls++
		version, known := k.versionByMark[mark]
		if !known {
			k.Findings = append(k.Findings, fmt.Sprintf("%.1f ms, %s: mark %q is of no table", at, id, mark))
			return
		}
		k.usedVersions[version] = true
		k.Versions = len(k.usedVersions)
		if !k.mayBeInForce(k.tablesOf(from.Name), version, arrived) {
			k.Findings = append(
				k.Findings,
				fmt.Sprintf(
					"%.1f ms, %s: came at %.1f ms, and was analysed by table %d, which was not in force then",
					at,
					id,
					arrived.at,
					version,
				),
			)
		}
	}
}

// markOf is the mark of a number as it was sent: in the routing number where there is one, else in front.
func markOf(user string) string {
	number, params, _ := strings.Cut(user, ";")
	if _, rn, ok := strings.Cut(";"+params, ";rn="); ok {
		number, _, _ = strings.Cut(rn, ";")
	}
	number = strings.TrimPrefix(number, "+")
	return number[:min(4, len(number))]
}
