package router

import (
	"math"
	"slices"

	"cobaltpier/internal/decaysum"
	"cobaltpier/internal/routing"
)

// endpointState is what the router keeps for an endpoint. Times are milliseconds.
type endpointState struct {
	// latency and queueing delay
	minLatency     float64 // shortest time from sending an attempt to its answer
	setups         setupEstimate
	latencyAt      float64 // when a latency was last measured at this gateway
	delay          float64 // estimated queueing delay at delayAt
	delayAt        float64
	maxQueueLength float64 // longest reported queue

	// load updates: answers, timeouts, complete load reports
	reportedAt     float64 // when the latest complete load report arrived
	updatedAt      float64 // when the latest load update arrived
	updateInterval float64 // mean interval of load updates, at least 1 s
	gossipDelay    float64 // latest delay measured here that is still to be sent as gossip, or -1

	// liveness
	aliveAt    float64 // when it last responded to an attempt
	unanswered int     // attempts without an answer since then
	connErrors int     // resets and refused connections since then
	atCapacity bool    // its latest report or rejection showed no free agent

	// attempts
	inFlight  []*routing.Attempt // oldest first
	sent      decaysum.Sum
	lost      decaysum.Sum
	concluded decaysum.Sum // established or failed
	failed    decaysum.Sum // failed, except where the called number was busy

	// send rate
	sendRate             float64 // attempts a millisecond from this gateway; +Inf: no limit
	rateBeforeCongestion float64
	congested            bool
	tokens               float64 // attempts that may be sent now
	refilledAt           float64 // when sendRate and tokens were last updated
	forecast             sendForecast
	pausedUntil          float64 // no attempts before this, after an overload rejection

	// slow start
	startedAt           float64 // latest known start; -Inf: long ago
	slowStartTokens     float64
	slowStartRefilledAt float64
}

func (r *Router) newEndpointState() *endpointState {
	// The first token becomes available at a random moment, so that gateways do not send their first attempts at
	// the same time.
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
		tokens:              1 - r.random()*(1-r.evenShare(1)),
		slowStartTokens:     r.random(),
		updateInterval:      1000,
		forecast:            newSendForecast(),
		gossipDelay:         -1,
	}
}

func stateOf(endpoint *routing.Endpoint) *endpointState { return endpoint.PolicyState.(*endpointState) }

// restart resets the state for a process that started at a given time: it is in slow start, and attempts sent
// before are lost.
func (s *endpointState) restart(now, at float64) {
	s.startedAt = at
	s.delay = 0
	s.sendRate = math.Inf(1)
	s.unanswered = 0
	s.slowStartTokens = fraction(s.slowStartTokens)
	s.slowStartRefilledAt = now
	s.inFlight = slices.DeleteFunc(s.inFlight, func(a *routing.Attempt) bool { return a.SentAt < at })
}
