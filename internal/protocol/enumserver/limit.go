package enumserver

import (
	"math"
	"net/netip"
	"time"

	"github.com/gaissmai/bart"
	"golang.org/x/time/rate"
)

//tally:decisions

// Verdict is what is done with a query that came by datagram.
type Verdict int

// The verdicts.
const (
	Answer Verdict = iota
	Slip           // an empty answer that is truncated: who really asked comes back over TCP, which nobody can forge
	Drop           // nothing
	Refuse         // this client is not served
)

// Limits bound what clients may ask by datagram, where the sender's address may be forged. It guards others against
// answers that they never asked for, and this gateway against floods.
type Limits struct {
	Rate    float64 // queries a second of one client network; 0: any number
	Burst   float64 // so many at once
	Total   float64 // answers a second to all; 0: any number
	Clients int     // networks remembered
	Nets    []Net   // networks with rates of their own
}

// Net is a network of clients.
type Net struct {
	Prefix netip.Prefix
	Rate   float64 // queries a second of each client network in it; 0: they are refused
}

// limiter decides; a network of clients is a /24 of IPv4 or a /56 of IPv6, as its addresses are one holder's.
type limiter struct {
	set   Limits
	nets  *bart.Table[float64]
	new   map[netip.Prefix]*rate.Limiter
	old   map[netip.Prefix]*rate.Limiter
	total *rate.Limiter
	slips uint64
}

func newLimiter(set Limits) *limiter {
	l := &limiter{
		set:   set,
		nets:  &bart.Table[float64]{},
		new:   map[netip.Prefix]*rate.Limiter{},
		total: bucket(set.Total, set.Total/10),
	}
	for _, n := range set.Nets {
		l.nets.Insert(n.Prefix.Masked(), n.Rate)
	}
	return l
}

// bucket allows so many a second, and so many at once.
func bucket(each, burst float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(each), int(math.Max(1, burst)))
}

// check judges a query from an address.
func (l *limiter) check(now float64, from netip.Addr) Verdict {
	from = from.Unmap()
	each, burst := l.set.Rate, l.set.Burst
	if r, ok := l.nets.Lookup(from); ok {
		if r <= 0 {
			return Refuse
		}
		each, burst = r, math.Max(burst, r) // after a stall of ours a second's queries come at once
	}
	at := time.Unix(0, int64(now*1e6))
	if each > 0 && !l.client(from, each, burst).AllowN(at, 1) || l.set.Total > 0 && !l.total.AllowN(at, 1) {
		return l.slipOrDrop()
	}
	return Answer
}

// slipOrDrop: every second query too many gets an answer that sends its caller to TCP, and is no larger than the
// query.
func (l *limiter) slipOrDrop() Verdict {
	l.slips++
	if l.slips%2 == 1 {
		return Slip
	}
	return Drop
}

// client is the bucket of an address's network. Two generations are kept, so that a flood of forged addresses takes no
// more memory than that; what it makes us forget is only how much a network has left.
func (l *limiter) client(from netip.Addr, each, burst float64) *rate.Limiter {
	bits := 24
	if from.Is6() {
		bits = 56
	}
	p, err := from.Prefix(bits)
	if err != nil {
		p = netip.PrefixFrom(from, from.BitLen())
	}
	if b := l.new[p]; b != nil {
		return b
	}
	b := l.old[p]
	if b == nil {
		b = bucket(each, burst)
	}
	if len(l.new) >= max(1, l.set.Clients/2) {
		l.old, l.new = l.new, map[netip.Prefix]*rate.Limiter{}
	}
	l.new[p] = b
	return b
}
