package router

import (
	"math"
	"slices"

	"cobaltpier/internal/decaysum"
	"cobaltpier/internal/routing"
)

// endpointState is what the router keeps of an endpoint. Times are milliseconds.
type endpointState struct {
	// latency and queueing delay
	minLatency     float64 // the shortest time from sending to an answer
	latencyAt      float64 // when a latency was last seen here
	delay          float64 // estimated queueing delay at delayAt
	delayAt        float64
	maxQueueLength float64 // the longest queue reported

	// what was heard
	reportedAt     float64 // when the latest complete load report came
	updatedAt      float64 // when anything about its load was last heard, gossip included
	updateInterval float64 // mean interval of that, at least 1 s
	gossipDelay    float64 // the latest delay seen here that is still to be passed on, or -1

	// liveness
	aliveAt    float64 // when it last answered anything
	unanswered int     // attempts without an answer since then
	connErrors int     // resets and refused connections since then
	atCapacity bool    // it reported no free capacity

	// attempts
	inFlight  []*routing.Attempt // the oldest first
	sent      decaysum.Sum
	lost      decaysum.Sum
	concluded decaysum.Sum // established or failed
	failed    decaysum.Sum // failed, other than because the called number was busy

	// send rate
	sendRate             float64 // attempts a millisecond from this gateway; +Inf: no limit
	rateBeforeCongestion float64
	congested            bool
	tokens               float64 // attempts that may be sent now
	refilledAt           float64 // when sendRate and tokens were last updated
	pausedUntil          float64 // it rejected an attempt as overloaded

	// slow start
	startedAt           float64 // when it started, as far as known; -Inf: long ago
	slowStartTokens     float64
	slowStartRefilledAt float64
}

func (r *Router) newEndpointState() *endpointState {
	return &endpointState{
		sent:                decaysum.New(rateWindow),
		lost:                decaysum.New(rateWindow),
		concluded:           decaysum.New(rateWindow),
		failed:              decaysum.New(rateWindow),
		minLatency:          math.Inf(1),
		startedAt:           math.Inf(-1),
		sendRate:            math.Inf(1),
		refilledAt:          r.now,
		slowStartRefilledAt: r.now,
		tokens:              1 - r.random()*(1-r.evenShare(1)), // gateways must not send their first at one moment
		slowStartTokens:     r.random(),
		updateInterval:      1000,
		gossipDelay:         -1,
	}
}

func stateOf(endpoint *routing.Endpoint) *endpointState { return endpoint.PolicyState.(*endpointState) }

// restart begins anew for a process that started at a time: it is in slow start, and what was in flight is
// lost.
func (s *endpointState) restart(now, at float64) {
	s.startedAt = at
	s.delay = 0
	s.sendRate = math.Inf(1)
	s.unanswered = 0
	s.slowStartTokens = fraction(s.slowStartTokens)
	s.slowStartRefilledAt = now
	s.inFlight = slices.DeleteFunc(s.inFlight, func(a *routing.Attempt) bool { return a.SentAt < at })
}

// callerKey is what tells a caller that tries again from a new one.
type callerKey struct {
	calledNumber string
	class        *routing.Class
	tenant       *routing.Tenant
}

// busyNumber is a called number that was found busy.
type busyNumber struct {
	until    float64 // no attempts before this
	answered int     // attempts answered since
}
