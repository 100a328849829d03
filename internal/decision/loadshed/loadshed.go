// Package loadshed decides which of the calls that arrive together a gateway admits when it can't admit all. It guards
// the gateway's own memory and processor against floods of any cause. It knows no protocol and no clock: the time is
// handed in, in milliseconds.
//
// Shed calls are answered at once. What becomes of admitted calls is the router's decision.
package loadshed

import (
	"cmp"
	"math"
	"slices"
)

//tally:decisions

const (
	reserveFraction = 0.1     // of the pending calls: kept for calls of more than mean weight
	burstWindow     = 100.0   // ms at the full rate that may come at once after a pause
	weightWindow    = 10000.0 // ms: time constant with which the mean weight decays
	maxRemembered   = 1 << 18 // refusals remembered in one generation
)

// Gate bounds the calls of one gateway.
type Gate struct {
	MaxPending    int     // calls without a final answer
	RatePerSecond float64 // calls admitted a second; 0: any number

	weightSum float64 // of recent arrivals, decaying
	count     float64 // recent arrivals, decaying
	tokens    float64 // calls that may be admitted now
	updatedAt float64
}

// Admit tells which of the calls that arrived since the last batch are admitted, with so many pending already. The
// calls are given by their weights in the order of arrival; the greatest weights go first, and of equals the earlier.
//
// The last tenth of the capacity is kept for calls of more than the recent mean weight. Otherwise a flood of calls of
// low weight that came one batch earlier would shut out what matters. Where all have one weight all may use it.
func (g *Gate) Admit(now float64, weights []float64, pending int) []bool {
	depth := math.Max(2, g.RatePerSecond*burstWindow/1000)
	g.refill(now, depth)
	mean, uniform := g.updateMean(now, weights)
	admitted := make([]bool, len(weights))
	for _, i := range byWeight(weights) {
		low := !uniform && weights[i] <= mean
		capacity := float64(g.MaxPending)
		if low {
			capacity *= 1 - reserveFraction
		}
		neededTokens := 1 - depth // calls of great weight may use up what comes next
		if uniform || low {
			neededTokens = 1
		}
		if float64(pending) >= capacity || g.RatePerSecond > 0 && g.tokens < neededTokens {
			continue
		}
		admitted[i] = true
		g.tokens--
		pending++
	}
	return admitted
}

func (g *Gate) refill(now, depth float64) {
	if g.updatedAt == 0 {
		g.tokens = depth
		return
	}
	g.tokens = math.Min(depth, g.tokens+g.RatePerSecond/1000*math.Max(0, now-g.updatedAt))
}

// updateMean takes the weights of a batch into the mean; uniform: all recent weights are the same.
func (g *Gate) updateMean(now float64, weights []float64) (mean float64, uniform bool) {
	decay := math.Exp(math.Min(0, g.updatedAt-now) / weightWindow)
	g.weightSum *= decay
	g.count *= decay
	g.updatedAt = now
	uniform = true
	for _, weight := range weights {
		g.weightSum += weight
		g.count++
		uniform = uniform && weight == weights[0]
	}
	mean = g.weightSum / math.Max(1, g.count)
	uniform = uniform && (len(weights) == 0 || math.Abs(weights[0]-mean) < 1e-9)
	return mean, uniform
}

// byWeight gives the indexes of weights, the greatest first, and of equals the earlier.
func byWeight(weights []float64) []int {
	order := make([]int, len(weights))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	return order
}

// Refusals remembers what was refused, in bounded memory. A retransmission of it must get the same answer: to admit it
// would give its caller two. Two generations are kept, each for as long as a retransmission may come.
type Refusals struct {
	Retention float64 // ms after which no retransmission comes

	recent, previous map[uint64]struct{}
	rotatedAt        float64
}

// Add remembers a refusal by the hash of its transaction.
func (r *Refusals) Add(now float64, key uint64) {
	r.rotate(now)
	if r.recent == nil || len(r.recent) >= maxRemembered {
		r.previous, r.recent, r.rotatedAt = r.recent, map[uint64]struct{}{}, now
	}
	r.recent[key] = struct{}{}
}

// Known tells whether a refusal is remembered.
func (r *Refusals) Known(now float64, key uint64) bool {
	r.rotate(now)
	_, recent := r.recent[key]
	_, previous := r.previous[key]
	return recent || previous
}

// Len is how many are remembered.
func (r *Refusals) Len() int { return len(r.recent) + len(r.previous) }

func (r *Refusals) rotate(now float64) {
	if now-r.rotatedAt > r.Retention {
		r.previous, r.recent, r.rotatedAt = r.recent, nil, now
	}
}
