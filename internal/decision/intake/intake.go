// Package intake decides which of the calls that come in at once a gateway takes when it can't take all: it guards
// the gateway's own memory and processor against any flood, whatever its cause. It knows no wire and no clock.
//
// What it rejects is answered at once. Everything that it takes is the decision module's.
package intake

import (
	"math"
	"slices"
)

//tally:decisions

const (
	reserve = 0.1     // of the room: kept for calls worth more than the mean
	burst   = 100.0   // ms: so long at the full rate is made up for what did not come before
	span    = 10000.0 // ms: the mean worth fades like this
	memory  = 1 << 18 // refusals remembered in one generation: bounds the memory of a flood
)

// Gate is the bound of one gateway.
type Gate struct {
	Most   int     // calls held at once
	Rate   float64 // calls a second taken over any while; 0: any number
	worth  float64
	count  float64
	tokens float64 // calls that may be taken now
	at     float64
}

// Take says which of the calls that came since the last tick are taken, by their values in the order of their
// coming, with so many held already. The most valuable go first, and of equals the earlier.
//
// The last tenth of the room is for calls worth more than the mean of late: else a flood of cheap ones that came
// a tick earlier would shut out what matters. Where all are worth the same the tenth is open to all.
func (g *Gate) Take(now float64, values []float64, held int) []bool {
	fade := math.Exp(math.Min(0, g.at-now) / span)
	depth := math.Max(2, g.Rate*burst/1000)
	g.tokens = math.Min(depth, g.tokens+g.Rate/1000*math.Max(0, now-g.at))
	if g.at == 0 {
		g.tokens = depth
	}
	g.worth, g.count, g.at = g.worth*fade, g.count*fade, now
	flat := true
	for _, v := range values {
		g.worth += v
		g.count++
		flat = flat && v == values[0]
	}
	mean := g.worth / math.Max(1, g.count)
	flat = flat && (len(values) == 0 || math.Abs(values[0]-mean) < 1e-9)
	order := make([]int, len(values))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case values[a] > values[b]:
			return -1
		case values[a] < values[b]:
			return 1
		}
		return 0
	})
	taken, n := make([]bool, len(values)), 0
	for _, i := range order {
		room, least := float64(g.Most), 1-depth
		if !flat && values[i] <= mean {
			room *= 1 - reserve
		}
		if flat || values[i] <= mean {
			least = 1
		}
		if float64(held+n) >= room || g.Rate > 0 && g.tokens < least {
			continue
		}
		taken[i] = true
		g.tokens--
		n++
	}
	return taken
}

// Refusals remembers what was rejected, in bounded memory: a repeat of it must get the same answer, for to take it
// then would give its caller two. Two generations are kept, each for as long as a repeat may come.
type Refusals struct {
	Keep     float64 // ms: no repeat comes later
	new, old map[uint64]struct{}
	since    float64
}

// Add notes a refusal by the hash of its transaction.
func (r *Refusals) Add(now float64, key uint64) {
	r.turn(now)
	if r.new == nil || len(r.new) >= memory {
		r.old, r.new, r.since = r.new, map[uint64]struct{}{}, now
	}
	r.new[key] = struct{}{}
}

// Known tells whether a refusal is remembered.
func (r *Refusals) Known(now float64, key uint64) bool {
	r.turn(now)
	_, a := r.new[key]
	_, b := r.old[key]
	return a || b
}

// Len is how many are remembered.
func (r *Refusals) Len() int { return len(r.new) + len(r.old) }

func (r *Refusals) turn(now float64) {
	if now-r.since > r.Keep {
		r.old, r.new, r.since = r.new, nil, now
	}
}
