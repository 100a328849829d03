package enumserver

import (
	"math"
	"net/netip"
	"time"

	"github.com/gaissmai/bart"
	"golang.org/x/time/rate"
)

//tally:decisions

// Verdict is the rate limiter's decision on a query over UDP.
type Verdict int

// The verdicts.
const (
	Answer Verdict = iota
	Slip           // send an empty truncated response: a real client retries over TCP, where its address cannot be forged
	Drop           // send no response
	Refuse         // respond REFUSED: this client is not served
)

// Limits bounds the queries over UDP, where the source address may be forged. The limits protect third parties against
// reflected responses, and this gateway against floods.
type Limits struct {
	Rate       float64 // queries per second of one client network; 0 sets no limit
	Burst      float64 // queries of one client network at once
	TotalRate  float64 // responses per second in total; 0 sets no limit
	MaxClients int     // client networks tracked
	Networks   []Net   // networks with their own rates
}

// Net is a network of clients.
type Net struct {
	Prefix netip.Prefix
	Rate   float64 // queries per second of each client network in it; with 0 they are refused
}

// limiter is a rate limiter by client network, a /24 of IPv4 or a /56 of IPv6, which usually belongs to one holder.
type limiter struct {
	limits    Limits
	nets      *bart.Table[float64]
	current   map[netip.Prefix]*rate.Limiter
	previous  map[netip.Prefix]*rate.Limiter
	total     *rate.Limiter
	overLimit uint64
}

func newLimiter(limits Limits) *limiter {
	l := &limiter{
		limits:  limits,
		nets:    &bart.Table[float64]{},
		current: map[netip.Prefix]*rate.Limiter{},
		total:   newBucket(limits.TotalRate, limits.TotalRate/10),
	}
	for _, n := range limits.Networks {
		l.nets.Insert(n.Prefix.Masked(), n.Rate)
	}
	return l
}

// newBucket returns a token bucket with the given rate per second and burst.
func newBucket(perSecond, burst float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), int(math.Max(1, burst)))
}

// check decides what to do with a query from an address.
func (l *limiter) check(now float64, from netip.Addr) Verdict {
	from = from.Unmap()
	perSecond, burst := l.limits.Rate, l.limits.Burst
	if r, ok := l.nets.Lookup(from); ok {
		if r <= 0 {
			return Refuse
		}
		perSecond, burst = r, math.Max(burst, r) // after a stall of this process, the queries of a second arrive at once
	}
	at := time.Unix(0, int64(now*1e6))
	if perSecond > 0 && !l.clientBucket(from, perSecond, burst).AllowN(at, 1) ||
		l.limits.TotalRate > 0 && !l.total.AllowN(at, 1) {
		return l.slipOrDrop()
	}
	return Answer
}

// slipOrDrop lets every second query over the limit be answered as truncated, which sends the client to TCP with a
// response no larger than the query. The others are dropped.
func (l *limiter) slipOrDrop() Verdict {
	l.overLimit++
	if l.overLimit%2 == 1 {
		return Slip
	}
	return Drop
}

// clientBucket returns the bucket of an address's network. Two generations of buckets are kept, which bounds the memory
// that a flood of forged addresses can use. Evicting a bucket only resets the tokens of its network.
func (l *limiter) clientBucket(from netip.Addr, perSecond, burst float64) *rate.Limiter {
	bits := 24
	if from.Is6() {
		bits = 56
	}
	p, err := from.Prefix(bits)
	if err != nil {
		p = netip.PrefixFrom(from, from.BitLen())
	}
	if b := l.current[p]; b != nil {
		return b
	}
	b := l.previous[p]
	if b == nil {
		b = newBucket(perSecond, burst)
	}
	if len(l.current) >= max(1, l.limits.MaxClients/2) {
		l.previous, l.current = l.current, map[netip.Prefix]*rate.Limiter{}
	}
	l.current[p] = b
	return b
}
