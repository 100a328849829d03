// Package loadshed decides which calls of a batch a gateway admits when it can't admit all of them. It protects the
// gateway's own memory and processor against floods of any cause. It depends on no protocol and no clock: the time is
// passed in, in milliseconds.
//
// Shed calls are answered at once. Admitted calls are passed to the router, which may still reject them.
package loadshed

import (
	"cmp"
	"math"
	"slices"
)

//tally:decisions

const (
	reserveFraction = 0.1     // of MaxPending: reserved for calls of more than mean weight
	burstWindow     = 100.0   // ms at the full rate: the burst that is admitted after a pause
	weightWindow    = 10000.0 // ms: time constant of the mean weight
	maxRemembered   = 1 << 18 // keys in one generation of Refusals
)

// Gate limits the calls that one gateway admits.
type Gate struct {
	MaxPending    int     // limit of calls without a final answer
	RatePerSecond float64 // limit of calls admitted per second; no limit if 0

	weightSum float64 // decaying sum of the weights of recent arrivals
	count     float64 // decaying count of recent arrivals
	tokens    float64 // calls that may be admitted now
	updatedAt float64
}

// Admit returns which calls of a batch are admitted, given the number of pending calls. The calls are given by their
// weights in the order of arrival; calls of greater weight are admitted first, and calls of equal weight in the order
// of arrival.
//
// The last tenth of the capacity is reserved for calls of more than the recent mean weight. Otherwise a flood of
// calls of low weight that arrived one batch earlier would exclude the important ones. If all calls have the same
// weight, all may use the reserve.
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
		neededTokens := 1 - depth // calls of high weight may use tokens in advance
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

// refill adds the tokens earned since the latest batch. The first batch starts with a full burst.
func (g *Gate) refill(now, depth float64) {
	if g.updatedAt == 0 {
		g.tokens = depth
		return
	}
	g.tokens = math.Min(depth, g.tokens+g.RatePerSecond/1000*math.Max(0, now-g.updatedAt))
}

// updateMean adds the weights of a batch to the mean. uniform reports whether all recent weights are equal.
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

// byWeight returns the indexes of weights, sorted stably by descending weight.
func byWeight(weights []float64) []int {
	order := make([]int, len(weights))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	return order
}

// Refusals remembers transactions that were answered with a refusal, in bounded memory. A retransmission must get the
// same answer: if it were admitted, its caller would get two. Two generations are kept, each for as long as a
// retransmission may arrive.
type Refusals struct {
	Retention float64 // ms after which no retransmission arrives

	recent, previous map[uint64]struct{}
	rotatedAt        float64
}

// Add records a refusal by the hash of its transaction.
func (r *Refusals) Add(now float64, key uint64) {
	r.rotate(now)
	if r.recent == nil || len(r.recent) >= maxRemembered {
		r.previous, r.recent, r.rotatedAt = r.recent, map[uint64]struct{}{}, now
	}
	r.recent[key] = struct{}{}
}

// Known reports whether a refusal is remembered.
func (r *Refusals) Known(now float64, key uint64) bool {
	r.rotate(now)
	_, recent := r.recent[key]
	_, previous := r.previous[key]
	return recent || previous
}

// Len returns the number of remembered refusals.
func (r *Refusals) Len() int { return len(r.recent) + len(r.previous) }

// rotate discards the older generation and starts a new one if the current one is older than Retention.
func (r *Refusals) rotate(now float64) {
	if now-r.rotatedAt > r.Retention {
		r.previous, r.recent, r.rotatedAt = r.recent, nil, now
	}
}
