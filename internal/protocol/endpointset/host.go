// Package endpointset holds what every host of the decision module does alike, whatever its wire: following the endpoint
// list, and keeping a call's attempts until all of them have ended. It decides nothing.
package endpointset

//tally:decisions

import (
	"cmp"
	"math"
	"slices"

	"cobaltpier/internal/routing"
)

// Policy is the decision module as its hosts see it. All times are milliseconds with fractions on the host's clock.
type Policy interface {
	// OnEndpoints says that endpoints were added or changed their state; those told are in the order of the list.
	OnEndpoints(now float64, changed []*routing.Endpoint)
	// OnCall hands a new call over.
	OnCall(now float64, c *routing.Call)
	// OnAnswer says that an attempt's call stands.
	OnAnswer(now float64, r *routing.Attempt)
	// OnAttemptEnd says how an attempt ended; closed: its call needs no answer any more.
	OnAttemptEnd(now float64, r *routing.Attempt, closed bool)
	// OnHangup says that the caller is gone.
	OnHangup(now float64, c *routing.Call)
	// OnLoadReport says that a report came by itself or for a probe; ok: the endpoint answered, full: with figures.
	OnLoadReport(now float64, p *routing.Endpoint, ok, full bool)
	// OnGossip brings another gateway's message.
	OnGossip(now float64, from int, data []byte)
	// OnWakeup calls back as asked for.
	OnWakeup(now float64, c *routing.Call)
}

// PolicyFactory makes the module of one gateway.
type PolicyFactory func(*routing.Settings, routing.Host) Policy

// UnknownLoad is the report that says nothing.
func UnknownLoad() routing.LoadReport {
	n := math.NaN()
	return routing.LoadReport{Capacity: n, Free: n, Utilization: n, QueueLength: n, QueueDelay: n, RateLimit: n, LossFraction: n}
}

// Entry is one line of an endpoint list. ID names the machine: one that replaces another has a new one.
type Entry[ID cmp.Ordered] struct {
	ID            ID
	DestinationID int
	State         routing.State
	StartedAt     float64 // its latest start, ms on the host's clock; 0: long ago
}

// Set is the endpoint list as one gateway knows it.
type Set[ID cmp.Ordered] struct {
	byID          map[ID]*routing.Endpoint
	ids           map[*routing.Endpoint]ID
	byDestination map[int]*routing.Endpoint
}

// New makes an empty list.
func New[ID cmp.Ordered]() *Set[ID] {
	return &Set[ID]{byID: map[ID]*routing.Endpoint{}, ids: map[*routing.Endpoint]ID{}, byDestination: map[int]*routing.Endpoint{}}
}

// Apply takes a list, whole or of changes only, and returns the endpoints to tell the module of, in the order of the
// list; those that a whole list leaves out are gone and come last, by their ids.
func (s *Set[ID]) Apply(list []Entry[ID], complete bool) []*routing.Endpoint {
	var changed []*routing.Endpoint
	named := map[*routing.Endpoint]bool{}
	for _, e := range list {
		p := s.byID[e.ID]
		if p == nil {
			p = &routing.Endpoint{LoadReport: UnknownLoad()}
			s.byID[e.ID], s.ids[p] = p, e.ID
		}
		p.DestinationID, p.State, p.StartedAt = e.DestinationID, e.State, e.StartedAt
		named[p] = true
		if old := s.byDestination[p.DestinationID]; old == nil || p.State == routing.Ready || old.State == routing.Gone {
			s.byDestination[p.DestinationID] = p // of several machines with one number the latest that runs
		}
		changed = append(changed, p)
	}
	if !complete {
		return changed
	}
	removed := make([]*routing.Endpoint, 0)
	for _, p := range s.byID {
		if !named[p] && p.State != routing.Gone {
			p.State = routing.Gone
			removed = append(removed, p)
		}
	}
	slices.SortFunc(removed, func(a, b *routing.Endpoint) int { return cmp.Compare(s.ids[a], s.ids[b]) })
	return append(changed, removed...)
}

// Remove lets go of an endpoint that is gone: ids are ever new, and none comes back.
func (s *Set[ID]) Remove(p *routing.Endpoint) {
	if p.State != routing.Gone {
		return
	}
	id, ok := s.ids[p]
	if !ok {
		return
	}
	delete(s.ids, p)
	delete(s.byID, id)
	if s.byDestination[p.DestinationID] == p {
		delete(s.byDestination, p.DestinationID)
	}
}

// ByID is the endpoint of an id, nil where the list never named it.
func (s *Set[ID]) ByID(id ID) *routing.Endpoint { return s.byID[id] }

// IDOf is the id of an endpoint of this list.
func (s *Set[ID]) IDOf(p *routing.Endpoint) ID { return s.ids[p] }

// ByDestination is the endpoint that has a number, nil where none has.
func (s *Set[ID]) ByDestination(number int) *routing.Endpoint { return s.byDestination[number] }

// Tracker is a call with its id at the door and its attempts, kept until all of them have ended.
type Tracker struct {
	*routing.Call
	ID       string
	Log      []*routing.Attempt // nil where ended
	inFlight int
}

// Begin notes an attempt that goes out; its ID is its number among the call's attempts, from 0.
func (k *Tracker) Begin(p *routing.Endpoint, now float64) *routing.Attempt {
	r := &routing.Attempt{Call: k.Call, Endpoint: p, SentAt: now, HostData: len(k.Log)}
	k.Log = append(k.Log, r)
	k.inFlight++
	k.InFlight = r
	return r
}

// RecordOutcome notes how an attempt ended, after cost ms; closed: its call needs no answer any more.
func (k *Tracker) RecordOutcome(r *routing.Attempt, outcome routing.Outcome, latency float64, answered bool) {
	k.Log[r.HostData.(int)] = nil
	k.inFlight--
	r.Latency, r.Outcome = latency, outcome
	if k.InFlight == r {
		k.InFlight = nil
	}
	k.Finished = k.Finished || answered
}

// Done tells whether the call has its answer and no attempt out, and may be forgotten.
func (k *Tracker) Done() bool { return k.Finished && k.inFlight == 0 }
