// Package endpointset holds what every host of the decision module does alike, whatever its wire: following the pool
// list, and keeping a contact's rings until all of them have ended. It decides nothing.
package endpointset

//tally:decisions

import (
	"cmp"
	"math"
	"slices"

	"cobaltpier/internal/routing"
)

// Module is the decision module as its hosts see it. All times are milliseconds with fractions on the host's clock.
type Module interface {
	// Listed says that pools were added or changed their state; those told are in the order of the list.
	Listed(now float64, changed []*routing.Pool)
	// Offered hands a new contact over.
	Offered(now float64, c *routing.Contact)
	// Stood says that a ring's contact stands.
	Stood(now float64, r *routing.Ring)
	// Ended says how a ring ended; closed: its contact needs no answer any more.
	Ended(now float64, r *routing.Ring, closed bool)
	// Left says that the caller is gone.
	Left(now float64, c *routing.Contact)
	// Reported says that a report came by itself or for a probe; ok: the pool answered, full: with figures.
	Reported(now float64, p *routing.Pool, ok, full bool)
	// Told brings another gateway's message.
	Told(now float64, from int, data []byte)
	// Woken calls back as asked for.
	Woken(now float64, c *routing.Contact)
}

// Maker makes the module of one gateway.
type Maker func(*routing.Settings, routing.Host) Module

// Blank is the report that says nothing.
func Blank() routing.Report {
	n := math.NaN()
	return routing.Report{Agents: n, Free: n, Util: n, Queue: n, Wait: n, Rate: n, Holdback: n}
}

// Entry is one line of a pool list. ID names the machine: one that replaces another has a new one.
type Entry[ID cmp.Ordered] struct {
	ID     ID
	Number int
	State  routing.State
	Since  float64 // its latest start, ms on the host's clock; 0: long ago
}

// Pools is the pool list as one gateway knows it.
type Pools[ID cmp.Ordered] struct {
	byID map[ID]*routing.Pool
	ids  map[*routing.Pool]ID
	home map[int]*routing.Pool
}

// NewPools makes an empty list.
func NewPools[ID cmp.Ordered]() *Pools[ID] {
	return &Pools[ID]{byID: map[ID]*routing.Pool{}, ids: map[*routing.Pool]ID{}, home: map[int]*routing.Pool{}}
}

// Apply takes a list, whole or of changes only, and returns the pools to tell the module of, in the order of the
// list; those that a whole list leaves out are gone and come last, by their ids.
func (ps *Pools[ID]) Apply(list []Entry[ID], whole bool) []*routing.Pool {
	var changed []*routing.Pool
	named := map[*routing.Pool]bool{}
	for _, e := range list {
		p := ps.byID[e.ID]
		if p == nil {
			p = &routing.Pool{Report: Blank()}
			ps.byID[e.ID], ps.ids[p] = p, e.ID
		}
		p.Number, p.State, p.Since = e.Number, e.State, e.Since
		named[p] = true
		if old := ps.home[p.Number]; old == nil || p.State == routing.Ready || old.State == routing.Gone {
			ps.home[p.Number] = p // of several machines with one number the latest that runs
		}
		changed = append(changed, p)
	}
	if !whole {
		return changed
	}
	gone := make([]*routing.Pool, 0)
	for _, p := range ps.byID {
		if !named[p] && p.State != routing.Gone {
			p.State = routing.Gone
			gone = append(gone, p)
		}
	}
	slices.SortFunc(gone, func(a, b *routing.Pool) int { return cmp.Compare(ps.ids[a], ps.ids[b]) })
	return append(changed, gone...)
}

// Forget lets go of a pool that is gone: ids are ever new, and none comes back.
func (ps *Pools[ID]) Forget(p *routing.Pool) {
	if p.State != routing.Gone {
		return
	}
	id, ok := ps.ids[p]
	if !ok {
		return
	}
	delete(ps.ids, p)
	delete(ps.byID, id)
	if ps.home[p.Number] == p {
		delete(ps.home, p.Number)
	}
}

// Pool is the pool of an id, nil where the list never named it.
func (ps *Pools[ID]) Pool(id ID) *routing.Pool { return ps.byID[id] }

// ID is the id of a pool of this list.
func (ps *Pools[ID]) ID(p *routing.Pool) ID { return ps.ids[p] }

// Home is the pool that has a number, nil where none has.
func (ps *Pools[ID]) Home(number int) *routing.Pool { return ps.home[number] }

// Call is a contact with its id at the door and its rings, kept until all of them have ended.
type Call struct {
	*routing.Contact
	ID    string
	Rings []*routing.Ring // nil where ended
	open  int
}

// Ring notes a ring that goes out; its ID is its number among the contact's rings, from 0.
func (k *Call) Ring(p *routing.Pool, now float64) *routing.Ring {
	r := &routing.Ring{Contact: k.Contact, Pool: p, Sent: now, ID: len(k.Rings)}
	k.Rings = append(k.Rings, r)
	k.open++
	k.Out = r
	return r
}

// End notes how a ring ended, after cost ms; closed: its contact needs no answer any more.
func (k *Call) End(r *routing.Ring, end routing.End, cost float64, closed bool) {
	k.Rings[r.ID.(int)] = nil
	k.open--
	r.Cost, r.End = cost, end
	if k.Out == r {
		k.Out = nil
	}
	k.Over = k.Over || closed
}

// Settled tells whether the contact has its answer and no ring out, and may be forgotten.
func (k *Call) Settled() bool { return k.Over && k.open == 0 }
