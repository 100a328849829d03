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
	Mark     func(version uint64) string
	Blur     float64 // ms
	Parse    func([]byte) (sip.Message, error)
	Calls    int // that were set up with a mark
	Versions int // that were seen in use
	Records  int // calls whose own record was held against the wire
	Findings []string
	nodes    map[string]*api.Node
	force    map[string]*force
	came     map[string]moment // by edge and session
	marks    map[string]string
	used     map[uint64]bool
	byMark   map[string]uint64
}

// moment is when a call came, and the latest at which its edge looked at it first: one that stalled looks later.
type moment struct{ at, looked float64 }

// force is what tables a gateway may use: those sent to it since the latest that it said is in, and that one.
type force struct {
	in    uint64
	since map[uint64]float64 // when a table was sent to it first, or was there at its start
	stood bool               // it stalls
	wait  []string           // what came meanwhile
	sent  []uint64
	past  []span // tables that were in force
}

type span struct {
	version uint64
	till    float64
}

// NewTables makes a checker.
func NewTables(mark func(uint64) string) *Tables {
	return &Tables{
		Mark:   mark,
		Parse:  siptransaction.Parse,
		nodes:  map[string]*api.Node{},
		force:  map[string]*force{},
		came:   map[string]moment{},
		marks:  map[string]string{},
		used:   map[uint64]bool{},
		byMark: map[string]uint64{},
	}
}

// Add takes the next record.
func (k *Tables) Add(r *api.Record) {
	switch v := r.What.(type) {
	case *api.Record_Node:
		k.nodes[v.Node.Addr] = v.Node
	case *api.Record_Mark:
		k.mark(r.At, v.Mark)
	case *api.Record_Datagram:
		if strings.HasPrefix(string(v.Datagram.Data[:min(len(v.Datagram.Data), 7)]), "INVITE ") {
			k.invite(r.At, v.Datagram)
		}
	}
}

func (k *Tables) at(edge string) *force {
	if k.force[edge] == nil {
		k.force[edge] = &force{since: map[uint64]float64{}}
	}
	return k.force[edge]
}

func (k *Tables) mark(at float64, m *api.Mark) {
	f := k.at(m.Who)
	version, err := strconv.ParseUint(m.Text, 10, 64)
	if _, known := f.since[version]; !known && err == nil {
		f.since[version] = at
	}
	switch {
	case m.What == "edge-kill": // what it held is lost; a repeat that reaches the next process is new there
		for id := range k.came {
			if strings.HasPrefix(id, m.Who+" ") {
				delete(k.came, id)
				delete(k.marks, id)
			}
		}
	case m.What == "edge-stop":
		f.stood = true
	case m.What == "edge-go":
		for _, id := range f.wait {
			if c, known := k.came[id]; known { // else the process was killed while it stalled
				c.looked = at + lag
				k.came[id] = c
			}
		}
		f.stood, f.wait = false, nil
	case m.What == "table-sent" && err == nil:
		f.sent = append(f.sent, version)
		k.byMark[k.Mark(version)] = version
	case m.What == "table-in" && err == nil:
		k.byMark[k.Mark(version)] = version
		if f.in != 0 {
			f.past = append(f.past, span{f.in, at})
		}
		for len(f.sent) > 0 && f.sent[0] <= version {
			if f.sent[0] != version { // it may have been in force between
				f.past = append(f.past, span{f.sent[0], at})
			}
			f.sent = f.sent[1:]
		}
		f.in = version
		if n := len(f.past); n > 64 {
			f.past = f.past[n-64:]
		}
	}
}

// lag is how long after it goes on an edge may still find what came while it stalled, ms.
const lag = 250

// may tells whether a table may have been in force at an edge at a time.
func (k *Tables) may(f *force, version uint64, came moment) bool {
	if came.looked+k.Blur < f.since[version] {
		return false
	}
	if version == f.in {
		return true
	}
	for _, s := range f.sent {
		if s == version {
			return true
		}
	}
	for _, p := range f.past {
		if p.version == version && came.at <= p.till+k.Blur {
			return true
		}
	}
	return false
}

// Record holds a call's own record against what it was set up with on the wire.
func (k *Tables) Record(edge, session string, version uint64) {
	mark, rung := k.marks[edge+" "+session]
	if !rung {
		return
	}
	k.Records++
	if want := k.Mark(version); mark != want {
		k.Findings = append(
			k.Findings,
			fmt.Sprintf("%s %s: its record says table %d, mark %s; it was set up with %s", edge, session, version, want, mark),
		)
	}
}

func (k *Tables) invite(at float64, d *api.Datagram) {
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
		if _, known := k.came[id]; !known {
			k.came[id] = moment{at, at}
			if f := k.at(to.Name); f.stood {
				f.wait = append(f.wait, id)
			}
		}
	case from.Role == "edge" && to.Role == "switch":
		id := from.Name + " " + siptransaction.SessionIDOf(req)
		came, known := k.came[id]
		if !known {
			came = moment{math.Inf(-1), math.Inf(1)}
		}
		mark := digitsOf(req.Recipient.User)
		if was, rung := k.marks[id]; rung {
			if was != mark {
				k.Findings = append(
					k.Findings,
					fmt.Sprintf("%.1f ms, %s: set up with mark %s, before that with %s", at, id, mark, was),
				)
			}
			return
		}
		k.marks[id] = mark
		k.Calls++
		version, known := k.byMark[mark]
		if !known {
			k.Findings = append(k.Findings, fmt.Sprintf("%.1f ms, %s: mark %q is of no table", at, id, mark))
			return
		}
		k.used[version] = true
		k.Versions = len(k.used)
		if !k.may(k.at(from.Name), version, came) {
			k.Findings = append(
				k.Findings,
				fmt.Sprintf(
					"%.1f ms, %s: came at %.1f ms, and was analysed by table %d, which was not in force then",
					at,
					id,
					came.at,
					version,
				),
			)
		}
	}
}

// digitsOf is the mark of a number as it was sent: in the routing number where there is one, else in front.
func digitsOf(user string) string {
	number, params, _ := strings.Cut(user, ";")
	if _, rn, ok := strings.Cut(";"+params, ";rn="); ok {
		number, _, _ = strings.Cut(rn, ";")
	}
	number = strings.TrimPrefix(number, "+")
	return number[:min(4, len(number))]
}
