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

// TableChecker checks, using a capture, that each call was analysed by a single number table, and by one that was in
// force when the call arrived. The emulator's tables have a step that puts a mark in front of every number: four
// digits that Mark derives from the table's version.
type TableChecker struct {
	Mark          func(version uint64) string
	Blur          float64 // ms by which records may be out of order
	Parse         func([]byte) (sip.Message, error)
	Calls         int // set up at a switch
	Versions      int // of tables that were used
	Records       int // call records that were compared with the capture
	Findings      []string
	nodes         map[string]*api.Node
	gateways      map[string]*gatewayTables
	arrivals      map[string]arrival // by gateway and session
	markByCall    map[string]string
	usedVersions  map[uint64]bool
	versionByMark map[string]uint64
}

// arrival is when a call arrived and the latest time at which its gateway read it, which is later if the gateway
// stalled.
type arrival struct{ at, readBy float64 }

// gatewayTables holds the tables that a gateway may use: the latest one that it confirmed, and those sent to it
// since.
type gatewayTables struct {
	current    uint64             // the latest one that it confirmed
	knownSince map[uint64]float64 // when a table was first sent to it, or was in force at its start
	stalled    bool
	unread     []string        // IDs of the calls that arrived during the stall
	pending    []uint64        // sent and not confirmed
	replaced   []replacedTable // tables that were, or may have been, in force
}

// replacedTable is a table that was replaced at a time.
type replacedTable struct {
	version uint64
	until   float64
}

// NewTableChecker returns a checker of number tables.
func NewTableChecker(mark func(uint64) string) *TableChecker {
	return &TableChecker{
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

// Add handles the next record.
func (k *TableChecker) Add(r *api.Record) {
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

// tablesOf returns the tables of a gateway, which it adds when the gateway is first mentioned.
func (k *TableChecker) tablesOf(gateway string) *gatewayTables {
	if k.gateways[gateway] == nil {
		k.gateways[gateway] = &gatewayTables{knownSince: map[uint64]float64{}}
	}
	return k.gateways[gateway]
}

// onMark handles the delivery or confirmation of a table, and the stalls and kills of gateways.
func (k *TableChecker) onMark(at float64, m *api.Mark) {
	tables := k.tablesOf(m.Who)
	version, err := strconv.ParseUint(m.Text, 10, 64)
	if _, known := tables.knownSince[version]; !known && err == nil {
		tables.knownSince[version] = at
	}
	switch {
	case m.What == "edge-kill": // its calls are lost; a retransmission is a new call to the next process
		for id := range k.arrivals {
			if strings.HasPrefix(id, m.Who+" ") {
				delete(k.arrivals, id)
				delete(k.markByCall, id)
			}
		}
	case m.What == "edge-stop":
		tables.stalled = true
	case m.What == "edge-go":
		for _, id := range tables.unread {
			if a, known := k.arrivals[id]; known { // false if the process was killed while it stalled
				a.readBy = at + readLag
				k.arrivals[id] = a
			}
		}
		tables.stalled, tables.unread = false, nil
	case m.What == "table-sent" && err == nil:
		tables.pending = append(tables.pending, version)
		k.versionByMark[k.Mark(version)] = version
	case m.What == "table-in" && err == nil:
		k.versionByMark[k.Mark(version)] = version
		if tables.current != 0 {
			tables.replaced = append(tables.replaced, replacedTable{tables.current, at})
		}
		for len(tables.pending) > 0 && tables.pending[0] <= version {
			if tables.pending[0] != version { // it may have been in force in between
				tables.replaced = append(tables.replaced, replacedTable{tables.pending[0], at})
			}
			tables.pending = tables.pending[1:]
		}
		tables.current = version
		if n := len(tables.replaced); n > 64 {
			tables.replaced = tables.replaced[n-64:]
		}
	}
}

// readLag is the time, ms, that a gateway may need after a stall to read what arrived during it.
const readLag = 250

// mayBeInForce reports whether a table may have been in force at a gateway when a call arrived or was read.
func (k *TableChecker) mayBeInForce(tables *gatewayTables, version uint64, arrived arrival) bool {
	if arrived.readBy+k.Blur < tables.knownSince[version] {
		return false
	}
	if version == tables.current {
		return true
	}
	for _, sent := range tables.pending {
		if sent == version {
			return true
		}
	}
	for _, previous := range tables.replaced {
		if previous.version == version && arrived.at <= previous.until+k.Blur {
			return true
		}
	}
	return false
}

// Record compares the table version in a gateway's record of a call with the mark of the call's setup.
func (k *TableChecker) Record(gateway, session string, version uint64) {
	mark, found := k.markByCall[gateway+" "+session]
	if !found {
		return
	}
	k.Records++
	if want := k.Mark(version); mark != want {
		k.Findings = append(
			k.Findings,
			fmt.Sprintf(
				"%s %s: the call record names table %d with mark %s, but the setup has mark %s",
				gateway,
				session,
				version,
				want,
				mark,
			),
		)
	}
}

// onInvite records the arrival of a call, or checks the mark of its setup at a switch.
func (k *TableChecker) onInvite(at float64, d *api.Datagram) {
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
					fmt.Sprintf("%.1f ms, %s: setup with mark %s after one with mark %s", at, id, mark, previous),
				)
			}
			return
		}
		k.markByCall[id] = mark
		k.Calls++
		version, known := k.versionByMark[mark]
		if !known {
			k.Findings = append(k.Findings, fmt.Sprintf("%.1f ms, %s: no table has mark %q", at, id, mark))
			return
		}
		k.usedVersions[version] = true
		k.Versions = len(k.usedVersions)
		if !k.mayBeInForce(k.tablesOf(from.Name), version, arrived) {
			k.Findings = append(
				k.Findings,
				fmt.Sprintf(
					"%.1f ms, %s: arrived at %.1f ms and was analysed by table %d, which was not in force then",
					at,
					id,
					arrived.at,
					version,
				),
			)
		}
	}
}

// markOf returns the mark of a number in a request URI's user part: the first digits of the routing number if there is
// one, else of the number.
func markOf(user string) string {
	number, params, _ := strings.Cut(user, ";")
	if _, rn, ok := strings.Cut(";"+params, ";rn="); ok {
		number, _, _ = strings.Cut(rn, ";")
	}
	number = strings.TrimPrefix(number, "+")
	return number[:min(4, len(number))]
}
