// Package router decides what becomes of each call at one gateway. A host makes one Brain for each gateway
// with New, tells it what happens through the methods below (Listed, Offered, Stood, Ended, Left, Reported,
// Told, Woken) and does what it asks for through routing.Host; package routing holds all words of both.
//
// A call passes the stages of the chain: door, admission, route, guard, attempt. Each passes it on, keeps it
// for later or ends it. How an attempt went runs through the same stages from the last to the first.
package router

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"

	"cobaltpier/internal/routing"
)

// Values that no setting gives. They are general: none is taken from a deployment.
const (
	fullQueueDelay     = 3000.0 // design: a wait of so much is nought free
	staleZeroAge       = 2000.0 // design: a nought report older than this
	staleZeroFreeShare = 0.1    // design: counts as this free share
	probeInterval      = 1000.0 // design: where reports come only by probe

	rateWindow             = 5000.0 // counts fade like this
	delayWindow            = 2000.0 // a judgement of an endpoint's wait fades like this
	slowStartSafety        = 0.4    // part of the cold budget that a gateway uses
	slowStartProvenSafety  = 0.8    // the same once setups there stand without a wait
	slowStartTokenLifetime = 0.6    // of the time that tips a cold endpoint: so long a token for it is good
	objectiveOfRetransmit  = 0.35   // the wait aimed at: this part of the time of the first repeat
	objectiveOfLatency     = 0.15   // and no more than this part of the shortest answer target
	defaultDelayObjective  = 150.0  // the same where neither is known
	rateGrowth             = 1.0    // a second: how fast a pace grows at no wait
	rateRecovery           = 3.0    // a second: the same, up to half of the pace before the latest press
	rateDecline            = 0.7    // a second: how fast it falls at twice the wait aimed at
	immediateCorrection    = 0.5    // how far the pace leans at once against the wait
	maxDelayFactor         = 6.0    // of the wait aimed at: no judgement is longer
	ownSampleLifetime      = 500.0  // a wait reported within this after a setup time seen here does not count
	minHeadroom            = -2.0   // a wait counts as no more than this many times over the one aimed at
	minSendRate            = 0.001  // setups a millisecond that an endpoint always gets, from all gateways together
	maxOverRecentRate      = 3.0    // a pace is no more than so many times what is sent lately,
	maxEvenShares          = 1.2    // or than so many even parts of what the endpoint is rated for,
	minEvenShares          = 0.03   // and no less than this one
	maxQueueingFraction    = 0.45   // of the answer target: so long a call may wait in line here
	tokenLifetime          = 500.0  // so long a token is good for calls of another destination
	loadDeviations         = 3.0    // standard deviations of a load that a group of agents has to spare
	reserveFraction        = 0.03   // of the agents: with fewer free the pace falls
	minReserve             = 3.0    // but no fewer agents than this
	// of the wait aimed at: a setup sent so long before one that stands is lost
	overtakenFraction = 0.5
	lossyCount        = 0.5 // lost setups lately: with more a lone setup under way may be lost too
	lowWeightFraction = 0.5 // of the mean worth: a call of less
	failureAllowance  = 3.0 // so many setups failed lately may be chance
	minSuccessRatio   = 0.7 // of the best sound share: a destination that has less is passed by
	lightLoadFraction = 0.4 // takes only an endpoint with a wait under this part of the one aimed at
	// of the answer target: a rejected caller who can still be in time is asked back then
	retryAfterFraction = 0.15
	busyNumberPause    = 2000.0 // a number with no line free is left alone so long
	// a token in advance for the destination's own calls while nothing presses it
	destinationCredit = 1.0
	stallThreshold    = 500.0   // a gateway that heard nothing for longer may have stalled
	maxHearInterval   = 10000.0 // an endpoint not heard for longer counts as heard once in this time
	gossipInterval    = 200.0   // news is told no more often than this,
	gossipFanout      = 4       // to so many gateways,
	gossipDelayUnit   = 10.0    // in steps of so many milliseconds,
	gossipThreshold   = 2.0     // when a wait is off by so many times the one aimed at,
	gossipHoldDown    = 1000.0  // to those who have heard nothing of that endpoint for so long
	// an endpoint that turns a setup away is left alone so long, longer where heard seldom
	overloadPause   = 400.0
	overloadRateCut = 0.7  // and its pace cut to this part
	queueInterval   = 20.0 // how often the line is looked at
)

// Router is the decision module of one gateway.
type Router struct {
	settings *routing.Settings
	host     routing.Host
	now      float64
	// so long nothing was heard before now, if that may mean that this gateway stalled
	stalledFor      float64
	draws           uint64
	delayObjective  float64                    // the wait aimed at in an endpoint
	maxTimeout      float64                    // the longest timeout
	maxHoldingTime  float64                    // the longest mean time that a call stands
	totalCapacity   float64                    // the total capacity of all places
	totalCapacityAt float64                    // and when it was added up
	endpoints       []*routing.Endpoint        // in the order in which they were first listed
	queue           []*routing.Call            // calls that wait for room, the most valuable first
	lastProbeAt     float64                    // when endpoints were last probed
	nextGossipAt    float64                    // when others may be told next
	queueWakeupSet  bool                       // the line will be looked at
	arrivals        decayingSum                // first tries that came lately
	arrivedWeight   decayingSum                // and what they are worth
	destinations    []*routing.Endpoint        // the latest endpoint of each number
	unservedCallers map[callerKey]float64      // callers who went unserved, and when they first came
	maxTimeLeft     map[*routing.Class]float64 // the most time that was left of a call when it came
	busyNumbers     map[string]*busyNumber     // numbers that were found engaged
	lastSweepAt     float64                    // when those who have given up were last forgotten
}

// callerKey is what a redial has in common with the try before it.
type callerKey struct {
	calledNumber string
	class        *routing.Class
	tenant       *routing.Tenant
}

// busyNumber is one called that was found engaged: till when it is left alone, and setups that stood since.
type busyNumber struct {
	until    float64
	answered int
}

// endpointState is what the module notes of an endpoint.
type endpointState struct {
	minLatency           float64            // the least setup time seen
	maxQueueLength       float64            // the largest queue seen
	reportedAt           float64            // when the latest report came
	aliveAt              float64            // when it last gave a sign of life
	unanswered           int                // setups without an answer since then
	resets               int                // standing calls cut and connections refused since then
	atCapacity           bool               // told with no free agent
	delay                float64            // the wait at its processor, as judged
	delayAt              float64            // and when
	gossipDelay          float64            // the latest wait seen here that others were not told yet, or -1
	heardAt              float64            // when anything was last heard of it
	hearInterval         float64            // how long it is between two times, but at least a second
	latencyAt            float64            // when a setup time was last seen
	inFlight             []*routing.Attempt // setups under way, the oldest first
	sent                 decayingSum        // setups sent lately
	lost                 decayingSum        // setups found lost lately
	concluded            decayingSum        // setups that stood or failed lately
	failed               decayingSum        // and those of them that failed, through no engaged number
	sendRate             float64            // setups a millisecond that it gets from here; +Inf: all
	rateBeforeCongestion float64            // the pace when the latest press began
	congested            bool               // its wait is longer than aimed at
	tokens               float64            // setups that may go now
	refilledAt           float64            // when pace and tokens were brought up to date
	pausedUntil          float64            // it turned a setup away and is left alone till then
	startedAt            float64            // rule 4: when it started cold, as far as known; -Inf: long ago
	slowStartTokens      float64            // rule 4: setups that may go now
	slowStartRefilledAt  float64            // rule 4: when the budget was brought up to date
}

// decayingSum is a decaying sum, brought up to date when it is read.
type decayingSum struct{ value, updatedAt float64 }

func (s *decayingSum) read(now float64) float64 {
	s.value *= math.Exp((s.updatedAt - now) / rateWindow)
	s.updatedAt = now
	return s.value
}

func (s *decayingSum) add(now, v float64) { s.value, s.updatedAt = s.read(now)+v, now }

// rate is the sum's count a millisecond.
func (s *decayingSum) rate(now float64) float64 { return s.read(now) / rateWindow }

// stageResult is what a stage makes of a call.
type stageResult int

const (
	proceed stageResult = iota
	pending
	finished
)

// stage is a link of the chain: down takes a call on its way to an endpoint, up hears how an attempt went.
type stage struct {
	onCall    func(*Router, *routing.Call, **routing.Endpoint) stageResult
	onOutcome func(*Router, *routing.Attempt)
}

var chain [5]stage

const stageAfterQueue = 2 // the first stage behind the line

func init() {
	chain = [...]stage{
		{(*Router).checkEligibility, (*Router).onEligibilityOutcome},
		{(*Router).admit, nil},
		{
			(*Router).selectEndpoint,
			(*Router).onSelectionOutcome,
		},
		{(*Router).enforceRules, nil},
		{(*Router).dispatch, (*Router).onDispatchOutcome},
	}
}

// New makes the module of one gateway.
func New(settings *routing.Settings, h routing.Host) *Router {
	r := &Router{
		settings:        settings,
		host:            h,
		delayObjective:  math.Inf(1),
		unservedCallers: map[callerKey]float64{},
		busyNumbers:     map[string]*busyNumber{},
		maxTimeLeft:     map[*routing.Class]float64{},
	}
	for _, k := range settings.Classes {
		r.delayObjective = math.Min(r.delayObjective, objectiveOfLatency*k.LatencyObjective)
		r.maxTimeout, r.maxHoldingTime = math.Max(
			r.maxTimeout,
			k.Timeout,
		), math.Max(
			r.maxHoldingTime,
			k.MeanHoldingTime,
		)
	}
	if settings.RetransmitInterval > 0 {
		r.delayObjective = math.Min(r.delayObjective, objectiveOfRetransmit*settings.RetransmitInterval)
	}
	if !(r.delayObjective > 0) || math.IsInf(r.delayObjective, 1) {
		r.delayObjective = defaultDelayObjective
	}
	if settings.MaxAttempts <= 0 {
		settings.MaxAttempts = math.MaxInt
	}
	return r
}

// advance sends a call down the chain from a stage on.
func (r *Router) advance(call *routing.Call, from int) {
	var endpoint *routing.Endpoint
	for _, s := range chain[from:] {
		if s.onCall(r, call, &endpoint) != proceed {
			return
		}
	}
}

// propagateOutcome runs what an attempt brought up the chain.
func (r *Router) propagateOutcome(attempt *routing.Attempt) {
	for i := len(chain) - 1; i >= 0; i-- {
		if up := chain[i].onOutcome; up != nil {
			up(r, attempt)
		}
	}
}

// OnEndpoints hears that endpoints are new on the list or have changed there.
func (r *Router) OnEndpoints(now float64, changed []*routing.Endpoint) {
	r.setTime(now)
	for _, endpoint := range changed {
		if i := slices.Index(r.endpoints, endpoint); i >= 0 && endpoint.State == routing.Gone {
			r.endpoints = slices.Delete(r.endpoints, i, i+1)
		}
		if endpoint.PolicyState == nil {
			endpoint.PolicyState = &endpointState{
				minLatency:          math.Inf(1),
				startedAt:           math.Inf(-1),
				sendRate:            math.Inf(1),
				refilledAt:          now,
				slowStartRefilledAt: now,
				// the first one falls due at a moment drawn by chance
				tokens:          1 - r.random()*(1-r.evenShare(1)),
				slowStartTokens: r.random(),
				hearInterval:    1000,
				gossipDelay:     -1,
			}
		}
		if endpoint.State != routing.Gone && !slices.Contains(r.endpoints, endpoint) {
			r.endpoints = append(r.endpoints, endpoint)
		}
		if i := slices.IndexFunc(
			r.destinations,
			func(other *routing.Endpoint) bool { return other.DestinationID == endpoint.DestinationID },
		); i < 0 {
			r.destinations = append(r.destinations, endpoint)
		} else if endpoint.State != routing.Gone {
			r.destinations[i] = endpoint
		}
		if state := stateOf(endpoint); endpoint.StartedAt > state.startedAt && endpoint.StartedAt > 0 {
			state.restart(now, endpoint.StartedAt)
		}
	}
	r.probeEndpoints()
}

// OnCall takes a new call.
func (r *Router) OnCall(now float64, call *routing.Call) {
	r.setTime(now)
	left := call.Deadline - now
	r.maxTimeLeft[call.Class] = math.Max(r.maxTimeLeft[call.Class], left)
	call.ArrivedAt -= math.Min(
		r.stalledFor,
		r.maxTimeLeft[call.Class]-left,
	) // it waited while this gateway stalled
	call.FirstSeenAt = call.ArrivedAt
	id := callerKey{call.CalledNumber, call.Class, call.Tenant}
	if first, again := r.unservedCallers[id]; again && now < first+call.Class.Timeout {
		call.FirstSeenAt = first
		delete(r.unservedCallers, id)
	} else {
		r.arrivals.add(now, 1)
		r.arrivedWeight.add(now, call.Class.Weight)
	}
	r.advance(call, 0)
}

// OnAnswer hears that an attempt's call stands.
func (r *Router) OnAnswer(now float64, attempt *routing.Attempt) {
	r.setTime(now)
	r.propagateOutcome(attempt)
	r.sendGossip()
}

// OnAttemptEnd hears how an attempt ended; closed: its call needs no answer any more.
func (r *Router) OnAttemptEnd(now float64, attempt *routing.Attempt, closed bool) {
	r.setTime(now)
	r.propagateOutcome(attempt)
	r.sendGossip()
}

// OnHangup hears that a caller is gone.
func (r *Router) OnHangup(now float64, call *routing.Call) {
	r.setTime(now)
	r.rememberUnserved(call)
}

// OnLoadReport hears a report that came by itself or for a probe.
func (r *Router) OnLoadReport(now float64, endpoint *routing.Endpoint, ok, full bool) {
	r.setTime(now)
	r.applyLoadReport(endpoint, full)
}

// OnGossip hears another gateway's news: pairs of an endpoint's number and the wait seen there. What was
// heard
// here
// lately goes first, and news that makes no sense is passed over.
func (r *Router) OnGossip(now float64, from int, data []byte) {
	r.setTime(now)
	for ; len(data) > 1; data = data[2:] {
		for _, endpoint := range r.destinations {
			if state := stateOf(
				endpoint,
			); endpoint.DestinationID == int(data[0]) &&
				r.now-state.heardAt > gossipHoldDown {
				r.recordDelay(state, float64(data[1])*gossipDelayUnit)
			}
		}
	}
}

// sendGossip passes on news of the endpoints' waits to a few gateways drawn by chance. It guards against jams
// that grow
// faster than gateways that seldom hear of an endpoint could learn of them alone; the module is sound without
// it.
func (r *Router) sendGossip() {
	if !r.settings.GossipEnabled || r.now < r.nextGossipAt || r.settings.Gateways < 2 {
		return
	}
	var data []byte
	for _, endpoint := range r.destinations {
		if state := stateOf(
			endpoint,
		); state.gossipDelay >= 0 && endpoint.State == routing.Ready &&
			endpoint.DestinationID < 256 {
			data = append(data, byte(endpoint.DestinationID), byte(math.Min(255, state.gossipDelay/gossipDelayUnit)))
			state.gossipDelay = -1
		}
	}
	for i := 0; i < gossipFanout && len(data) > 0; i++ {
		r.nextGossipAt = r.now + gossipInterval
		if to := int(r.random() * float64(r.settings.Gateways)); to != r.settings.GatewayIndex {
			r.host.SendGossip(to, data)
		}
	}
}

// OnWakeup goes on with a call, or with the line.
func (r *Router) OnWakeup(now float64, call *routing.Call) {
	r.setTime(now)
	switch {
	case call == nil:
		r.queueWakeupSet = false
		r.serveQueue()
		r.probeEndpoints()
	case !call.Finished && call.InFlight == nil && !call.Queued:
		r.advance(call, 0)
	}
}

// probeEndpoints asks every endpoint for its report where reports come only so: once a second, as the design
// has
// it.
func (r *Router) probeEndpoints() {
	if !r.settings.LoadReportsByProbe || !r.settings.ProbeEnabled ||
		r.now < r.lastProbeAt+probeInterval && r.lastProbeAt > 0 {
		return
	}
	r.lastProbeAt = r.now
	for _, endpoint := range r.endpoints {
		if endpoint.State == routing.Ready {
			r.host.ProbeHealth(endpoint)
		}
	}
	r.host.ScheduleWakeup(r.now+probeInterval, nil)
}

// setTime moves the clock. A gateway that stalled finds all that came meanwhile at once, and can't tell
// when:
// idle is how long it heard nothing.
func (r *Router) setTime(now float64) {
	if now > r.now {
		if r.stalledFor = now - r.now; r.stalledFor < stallThreshold {
			r.stalledFor = 0 // it need not mean anything
		}
		r.now = now
	}
}

func stateOf(endpoint *routing.Endpoint) *endpointState { return endpoint.PolicyState.(*endpointState) }

// random draws a number from 0 to 1: the hash of the instance's seed and a counter.
func (r *Router) random() float64 {
	var x [16]byte
	r.draws++
	binary.LittleEndian.PutUint64(x[:8], r.settings.Seed)
	binary.LittleEndian.PutUint64(x[8:], r.draws)
	h := fnv.New64a()
	h.Write(x[:])
	v := h.Sum64()
	v = (v ^ v>>33) * 0xff51afd7ed558ccd // fnv leaves a counter's last byte in the low bits: spread it
	return float64((v^v>>33)>>11) / (1 << 53)
}

// rememberUnserved remembers a caller who may dial again: a redial still has to stand within the target of
// the
// first try, so one that comes later is worth less than a first try.
func (r *Router) rememberUnserved(call *routing.Call) {
	if r.now-r.lastSweepAt > call.Class.Timeout {
		r.lastSweepAt = r.now
		for id, first := range r.unservedCallers {
			if r.now > first+id.class.Timeout {
				delete(r.unservedCallers, id)
			}
		}
		for id, busy := range r.busyNumbers {
			if r.now > busy.until+call.Class.Timeout {
				delete(r.busyNumbers, id)
			}
		}
	}
	r.unservedCallers[callerKey{call.CalledNumber, call.Class, call.Tenant}] = call.FirstSeenAt
}

// reject is the final answer "rejected".
func (r *Router) reject(call *routing.Call) stageResult {
	r.rememberUnserved(call)
	wait := 0.0
	if w := retryAfterFraction * call.Class.LatencyObjective; r.settings.RetryAfterEnabled &&
		r.now+w+r.delayObjective < call.FirstSeenAt+call.Class.LatencyObjective {
		wait = math.Min(w, r.settings.MaxRetryAfter) // soon enough to be in time: its own pause would be longer
	}
	r.host.Reject(call, wait)
	return finished
}

// fail is the final answer "failed".
func (r *Router) fail(call *routing.Call) stageResult {
	r.rememberUnserved(call)
	r.host.Fail(call)
	return finished
}

// currentWeight is what a call is worth if it stands soon.
func (r *Router) currentWeight(call *routing.Call) float64 {
	if r.now+r.delayObjective > call.FirstSeenAt+call.Class.LatencyObjective {
		return call.Class.Weight * call.Class.LateWeightFraction
	}
	return call.Class.Weight
}

// checkEligibility keeps a call until it may attempt and ends it when its time is up.
func (r *Router) checkEligibility(call *routing.Call, _ **routing.Endpoint) stageResult {
	if call.Deadline-r.now <= r.settings.TickInterval || call.Attempts >= r.settings.MaxAttempts {
		return r.fail(call)
	}
	if call.RetryNotBefore > r.now {
		r.host.ScheduleWakeup(call.RetryNotBefore, call)
		return pending
	}
	// all its lines are busy: work for nothing, at any endpoint
	if busy := r.busyNumbers[call.CalledNumber]; busy != nil {
		if r.now < busy.until {
			return r.reject(call)
		}
		busy.until = r.now + busyNumberPause // one may try
	}
	return proceed
}

// onEligibilityOutcome answers a call whose attempt did not stand, or lets it attempt again.
func (r *Router) onEligibilityOutcome(attempt *routing.Attempt) {
	call := attempt.Call
	if busy := r.busyNumbers[call.CalledNumber]; busy != nil && call.InFlight == attempt {
		if busy.answered++; busy.answered > 1 {
			delete(r.busyNumbers, call.CalledNumber)
		}
	}
	if call.InFlight == attempt || call.Finished { // it stands, or needs nothing more
		return
	}
	if attempt.NumberBusy && call.CalledNumber != "" {
		r.busyNumbers[call.CalledNumber] = &busyNumber{until: r.now + busyNumberPause}
	}
	call.MayHaveExecuted = call.MayHaveExecuted ||
		attempt.Outcome != routing.Overloaded && attempt.Outcome != routing.ConnectionRefused &&
			attempt.Outcome != routing.NotSent
	if attempt.Outcome == routing.TimedOut || attempt.Outcome == routing.Reset ||
		attempt.Outcome == routing.Canceled {
		call.RetryNotBefore = r.now + r.settings.RetryHoldOff // rule 5
	}
	if from := math.Max(
		call.RetryNotBefore,
		r.now,
	); from+r.delayObjective > call.ArrivedAt+call.Class.LatencyObjective ||
		from+2*queueInterval > call.Deadline ||
		call.MayHaveExecuted && !call.Class.Idempotent { // the last may have run and must not run twice
		r.fail(call)
		return
	}
	r.advance(call, 0)
}

// admit keeps calls in line while no endpoint has room and defers the least valuable when not all can be
// served in time: the document's case of all endpoints overloaded, take what can be taken and shed the rest.
func (r *Router) admit(call *routing.Call, _ **routing.Endpoint) stageResult {
	if len(r.queue) == 0 && r.anyCapacity(call) {
		return proceed
	}
	call.Queued = true
	at := len(r.queue)
	for at > 0 && r.currentWeight(r.queue[at-1]) < r.currentWeight(call) {
		at--
	}
	r.queue = append(r.queue, nil)
	copy(r.queue[at+1:], r.queue[at:])
	r.queue[at] = call
	r.serveQueue()
	return pending
}

// serveQueue lets calls in line go on while there is room, and defers those that must not wait longer or
// are
// too far back to be served in time.
func (r *Router) serveQueue() {
	pace := 0.0
	for _, endpoint := range r.endpoints {
		if endpoint.State == routing.Ready {
			r.updateSendRate(endpoint)
			pace += stateOf(endpoint).sendRate
		}
	}
	queue := r.queue
	r.queue = nil
	ahead := 0.0
	var remaining []*routing.Call
	for _, call := range queue {
		limit := maxQueueingFraction * math.Min(call.Class.LatencyObjective, call.Deadline-call.ArrivedAt)
		switch {
		case call.Finished:
		case r.anyCapacity(call):
			call.Queued = false
			r.advance(call, stageAfterQueue)
		case r.now-call.ArrivedAt > limit && call.Attempts == 0,
			r.now+r.delayObjective > call.ArrivedAt+call.Class.LatencyObjective,
			ahead >= pace*limit,
			r.now+2*queueInterval > call.Deadline: // the last guards rule 1: nobody may be forgotten in line
			call.Queued = false
			r.reject(call)
		default:
			remaining = append(remaining, call)
			ahead++
		}
	}
	r.queue = append(remaining, r.queue...)
	if len(r.queue) > 0 && !r.queueWakeupSet {
		r.queueWakeupSet = true
		r.host.ScheduleWakeup(r.now+queueInterval, nil)
	}
}

func (r *Router) anyCapacity(call *routing.Call) bool {
	for _, endpoint := range r.endpoints {
		if r.hasCapacity(call, endpoint) {
			return true
		}
	}
	return false
}

// hasCapacity tells whether p has room for c: the rules allow it, and its pace has a token left.
func (r *Router) hasCapacity(call *routing.Call, endpoint *routing.Endpoint) bool {
	if !r.rulesAllow(call, endpoint) || stateOf(endpoint).atCapacity {
		return false
	}
	r.updateSendRate(endpoint)
	state := stateOf(endpoint)
	if r.currentWeight(call)*r.arrivals.read(r.now) < lowWeightFraction*r.arrivedWeight.read(r.now) &&
		state.expectedDelay(r.now, r.stalledFor) > lightLoadFraction*r.delayObjective {
		return false // what is worth little takes only what nobody else will miss
	}
	if state.unanswered > 1 && (len(state.inFlight) > 0 || r.now-state.aliveAt < probeInterval) {
		return false // an endpoint that is silent gets one setup at a time to show that it is back
	}
	if r.now < state.pausedUntil {
		return false
	}
	if endpoint == call.Destination { // its own calls come as they come, while nothing presses it
		calm := r.stalledFor == 0 && state.expectedDelay(r.now, 0) < lightLoadFraction*r.delayObjective &&
			capacityPressure(endpoint) < lightLoadFraction &&
			state.sendRate >= state.rateBeforeCongestion/2
		return state.tokens >= 1 || calm && state.tokens >= 1-destinationCredit
	}
	// for others a token is good for a moment only: else all that the gateways had saved up would come at once
	// to the few endpoints with room when a large one fails
	return state.tokens >= 1 &&
		(state.tokens < 1+state.sendRate*tokenLifetime || state.sendRate*tokenLifetime >= 1)
}

// updateSendRate brings an endpoint's pace and tokens up to date. While setups there wait longer than aimed
// at,
// the pace
// falls, else it grows: gateways that each do so share the endpoint's processor without knowing of each
// other,
// and do not all stop and start together. It guards against every cause of long waits: overload, slow
// processors, other work on them, traffic piled on one endpoint.
//
// Where an endpoint is heard seldom, as with hundreds of gateways, its pace grows the slower: else each
// gateway
// would be back at its full pace before its next sample. What a press tells counts at once, however seldom
// it is seen.
func (r *Router) updateSendRate(endpoint *routing.Endpoint) {
	state := stateOf(endpoint)
	dt := math.Max(
		0,
		r.now-math.Max(state.refilledAt, state.pausedUntil),
	) // what turns setups away earns nothing meanwhile
	state.refilledAt = r.now
	off := math.Max(
		minHeadroom,
		1-math.Max(state.expectedDelay(r.now, r.stalledFor)/r.delayObjective, capacityPressure(endpoint)),
	)
	turn := rateGrowth / state.hearInterval
	switch {
	case off < 0:
		if turn = rateDecline / 1000; !state.congested {
			state.rateBeforeCongestion = state.sendRate
		}
	case state.sendRate < state.rateBeforeCongestion/2:
		turn = rateRecovery / state.hearInterval // back soon to half of what went well before the press
	}
	state.congested = off < 0
	even := math.Max(r.evenShare(r.capacityOf(endpoint)/1000), r.arrivals.rate(r.now)*r.capacityShare(endpoint))
	if !(endpoint.LoadReport.Capacity > 0) && !(endpoint.LoadReport.RateLimit >= 0) {
		even = 1 / r.delayObjective // nothing is known of it
	}
	few := state.sent.read(r.now)
	most := math.Max(
		maxOverRecentRate*(few-math.Sqrt(few))/rateWindow,
		maxEvenShares*even,
	) // a few sends may be chance
	state.sendRate = math.Min(most, math.Min(most, state.sendRate)*math.Exp(off*turn*dt))
	state.sendRate = math.Max(state.sendRate, math.Max(r.evenShare(minSendRate), minEvenShares*even))
	state.tokens += dt * state.sendRate * (1 + immediateCorrection*off)
	if state.tokens > 2 && state.sendRate*tokenLifetime < 1 {
		state.tokens = 1 + fraction(state.tokens)
	} else {
		state.tokens = math.Min(1+math.Max(1, state.sendRate*r.delayObjective), state.tokens)
	}
}

// evenShare is this gateway's even part of what all gateways may do.
func (r *Router) evenShare(v float64) float64 { return v / float64(max(1, r.settings.Gateways)) }

// capacityPressure is the press on an endpoint's agents, 0 to 2: it is 1 with half of a small reserve free.
// The
// figure is
// late and every gateway has the same, so the last agents are shared by pace, not raced for.
func capacityPressure(endpoint *routing.Endpoint) float64 {
	if !(endpoint.LoadReport.Capacity > 0) || math.IsNaN(endpoint.LoadReport.Free) {
		return 0
	}
	return math.Max(
		0,
		2-2*endpoint.LoadReport.Free/math.Max(minReserve, reserveFraction*endpoint.LoadReport.Capacity),
	)
}

// selectEndpoint chooses the destination while it has room, else an endpoint by lottery.
func (r *Router) selectEndpoint(call *routing.Call, to **routing.Endpoint) stageResult {
	destination := call.Destination
	if destination != nil && r.hasCapacity(call, destination) &&
		r.successRate(destination) >= minSuccessRatio*r.bestSuccessRate(call) {
		*to = destination
		return proceed
	}
	total := 0.0
	for _, endpoint := range r.endpoints {
		total += r.tickets(call, endpoint)
	}
	draw := r.random() * total
	for _, endpoint := range r.endpoints {
		if t := r.tickets(call, endpoint); t > 0 {
			*to = endpoint
			if draw -= t; draw < 0 {
				break
			}
		}
	}
	if *to == nil {
		return r.reject(call)
	}
	return proceed
}

// successRate is the share of the setups an endpoint took up lately that it did not fail. It guards against
// endpoints
// that
// answer soon and fail most of what they take: what makes nobody wait draws everything.
func (r *Router) successRate(endpoint *routing.Endpoint) float64 {
	state := stateOf(endpoint)
	return 1 - state.failed.read(r.now)/(failureAllowance+state.concluded.read(r.now))
}

// bestSuccessRate is the best sound share of the endpoints that have room: where all fail alike, no endpoint
// is at
// fault.
func (r *Router) bestSuccessRate(call *routing.Call) float64 {
	best := 0.0
	for _, endpoint := range r.endpoints {
		if s := r.successRate(endpoint); s > best && r.hasCapacity(call, endpoint) {
			best = s
		}
	}
	return best
}

// tickets is the document's lottery: total capacity times the square of the relative capacity, of which a
// endpoint that fails setups has its sound share only.
func (r *Router) tickets(call *routing.Call, endpoint *routing.Endpoint) float64 {
	if !r.hasCapacity(call, endpoint) {
		return 0
	}
	f := r.freeShare(endpoint) * r.successRate(endpoint)
	return r.capacityOf(endpoint) * f * f
}

// capacityOf is the total capacity in setups a second: the reported rate, and no more than its agents can
// hold
// with room for the load's swing (else small endpoints are overrated); the agents alone, which the document
// names as a measure too, where no rate is reported; else 1.
func (r *Router) capacityOf(endpoint *routing.Endpoint) float64 {
	sustainable := math.Inf(1)
	if endpoint.LoadReport.Capacity > 0 && r.maxHoldingTime > 0 {
		sustainable = 1000 * math.Max(
			1,
			endpoint.LoadReport.Capacity-loadDeviations*math.Sqrt(endpoint.LoadReport.Capacity),
		) / r.maxHoldingTime
	}
	switch {
	case endpoint.LoadReport.RateLimit >= 0:
		return math.Min(endpoint.LoadReport.RateLimit, sustainable)
	case !math.IsInf(sustainable, 1):
		return sustainable
	}
	return 1
}

// freeShare is the relative capacity: the free share of an endpoint's processor by its latest report.
func (r *Router) freeShare(endpoint *routing.Endpoint) float64 {
	state, report, share := stateOf(endpoint), &endpoint.LoadReport, 1.0
	switch {
	case !math.IsNaN(report.Utilization):
		share = 1 - report.Utilization
	case !math.IsNaN(report.QueueDelay):
		share = 1 - report.QueueDelay/fullQueueDelay
	case !math.IsNaN(report.LossFraction):
		share = 1 - report.LossFraction
	case !math.IsNaN(report.QueueLength) && state.maxQueueLength > 0:
		share = 1 - report.QueueLength/state.maxQueueLength
	case report.RateLimit == 0:
		share = 0
	}
	if share <= 0 {
		share = 0
		if r.now-state.reportedAt > staleZeroAge {
			share = staleZeroFreeShare
		}
	}
	return share
}

// onSelectionOutcome learns an endpoint's state from what an attempt brought.
func (r *Router) onSelectionOutcome(attempt *routing.Attempt) {
	state := stateOf(attempt.Endpoint)
	if stood := attempt.Call.InFlight == attempt; stood ||
		attempt.Outcome == routing.Failed && !attempt.NumberBusy {
		state.concluded.add(r.now, 1)
		if !stood {
			state.failed.add(r.now, 1)
		}
	}
	switch {
	case attempt.Call.InFlight == attempt:
		r.noteHeard(state)
		state.minLatency = math.Min(state.minLatency, attempt.Latency)
		state.latencyAt = r.now
		if delay := attempt.Latency - state.minLatency; delay < r.delayObjective || delay > r.stalledFor {
			r.observeDelay(state, delay-math.Min(r.stalledFor, delay)) // else it may have waited unread here
		}
		return
	case attempt.Outcome == routing.Overloaded && attempt.AtCapacity:
		state.atCapacity, attempt.Endpoint.LoadReport.Free = true, 0
		return // the report with it is older than that
	case attempt.Outcome == routing.Canceled, attempt.Outcome == routing.TimedOut:
		// one sent to a process that has died since says nothing of the next
		late := !attempt.PresumedLost && state.latencyAt < attempt.SentAt &&
			(state.unanswered > 1 || state.lost.read(r.now) < lossyCount) // else lost
		if late && attempt.SentAt > state.startedAt {
			r.noteHeard(state)
			r.observeDelay(state, attempt.Latency)
		}
	case attempt.Outcome == routing.Overloaded:
		if r.now >= state.pausedUntil {
			state.sendRate *= overloadRateCut
			state.gossipDelay = maxDelayFactor * r.delayObjective
		}
		pause := overloadPause * state.hearInterval / 1000 * (0.5 + r.random())
		state.pausedUntil = r.now + math.Max(pause, math.Min(attempt.RetryAfter, delayWindow))
	case attempt.Outcome == routing.ConnectionRefused:
		state.delay, state.delayAt = maxDelayFactor*r.delayObjective, r.now
	}
	r.applyLoadReport(attempt.Endpoint, attempt.HasLoadReport)
}

// noteHeard notes that something was heard of an endpoint's processor.
func (r *Router) noteHeard(state *endpointState) {
	if state.heardAt > 0 {
		state.hearInterval = math.Max(1000, (state.hearInterval+math.Min(maxHearInterval, r.now-state.heardAt))/2)
	}
	state.heardAt = r.now
}

// applyLoadReport takes an endpoint's latest report.
func (r *Router) applyLoadReport(endpoint *routing.Endpoint, full bool) {
	state := stateOf(endpoint)
	if !math.IsNaN(endpoint.LoadReport.Free) {
		state.atCapacity = endpoint.LoadReport.Free <= 0
	}
	if full {
		r.noteHeard(state)
		state.reportedAt = r.now
		// a report may lie or stick: setup times seen here go first, and what cannot be is not believed
		if w := endpoint.LoadReport.QueueDelay; w < r.maxTimeout && r.now-state.latencyAt > ownSampleLifetime {
			r.recordDelay(state, w)
		}
		if !math.IsNaN(endpoint.LoadReport.QueueLength) {
			state.maxQueueLength = math.Max(state.maxQueueLength, endpoint.LoadReport.QueueLength)
		}
	}
}

// expectedDelay is the wait that a setup sent now must reckon with: the faded judgement, but no less than
// the
// oldest setup under way has waited; where some were lost lately, the second oldest.
func (state *endpointState) expectedDelay(now, idle float64) float64 {
	w := state.currentDelay(now)
	skip := 0
	if state.lost.read(now) > lossyCount {
		skip = 1
	}
	if len(state.inFlight) > skip {
		w = math.Max(w, now-idle-state.inFlight[skip].SentAt-state.minLatencyOrZero())
	}
	return w
}

// currentDelay is the judged wait as far as it still counts: it fades the slower the less often something is
// heard.
func (state *endpointState) currentDelay(now float64) float64 {
	return state.delay * math.Exp((state.delayAt-now)/(delayWindow*state.hearInterval/1000))
}

// minLatencyOrZero is the setup time without a wait, as far as seen.
func (state *endpointState) minLatencyOrZero() float64 {
	if math.IsInf(state.minLatency, 1) {
		return 0
	}
	return state.minLatency
}

// observeDelay judges a wait seen here; one that surprises is news for others.
func (r *Router) observeDelay(state *endpointState, wait float64) {
	if math.Abs(
		math.Min(maxDelayFactor*r.delayObjective, wait)-state.currentDelay(r.now),
	) > gossipThreshold*r.delayObjective {
		state.gossipDelay = wait
	}
	r.recordDelay(state, wait)
}

// recordDelay takes a sample of the wait. It is bounded, so that any judgement is forgotten in bounded time.
func (r *Router) recordDelay(state *endpointState, sample float64) {
	w := state.currentDelay(r.now)
	state.delay, state.delayAt = (w+math.Min(maxDelayFactor*r.delayObjective, math.Max(0, sample)))/2, r.now
}

// enforceRules is the last word on every send: what the rules do not allow does not pass.
func (r *Router) enforceRules(call *routing.Call, to **routing.Endpoint) stageResult {
	if !r.rulesAllow(call, *to) {
		return r.reject(call)
	}
	return proceed
}

// rulesAllow tells whether the rules let c attempt p now.
func (r *Router) rulesAllow(call *routing.Call, endpoint *routing.Endpoint) bool {
	return endpoint.State == routing.Ready && // rule 3: at once, not only after the grace
		call.InFlight == nil && !call.Finished && // rules 1 and 2
		call.Deadline > r.now && call.Attempts < r.settings.MaxAttempts &&
		(call.Class.Idempotent || !call.MayHaveExecuted) &&
		call.RetryNotBefore <= r.now && // rule 5
		(call.Class.AllowedDestinations == nil || call.Class.AllowedDestinations[endpoint.DestinationID]) &&
		r.slowStartAllows(endpoint) // rule 4
}

// slowStartAllows is rule 4: it tells whether this gateway may send an endpoint a setup now. All gateways
// together keep
// the rule if each sends no more than the stated multiple of its part of a warm endpoint's load, scaled down
// to
// what the endpoint can do at its present age. First tries stand for that load: they do not fall to nothing
// with the endpoints. A token is good for a moment only and falls due at a moment drawn by chance: so all
// gateways together hold no more than a moment's budget, however many they are and however long nothing was
// sent.
func (r *Router) slowStartAllows(endpoint *routing.Endpoint) bool {
	state := stateOf(endpoint)
	age := r.now - state.startedAt
	if age >= r.settings.SlowStartDuration || r.settings.OverloadFactor <= 0 {
		state.slowStartRefilledAt = r.now
		return true
	}
	warmth := r.settings.SlowStartFraction + (1-r.settings.SlowStartFraction)*math.Max(
		0,
		age,
	)/r.settings.SlowStartDuration
	safety := slowStartSafety
	if state.latencyAt > state.startedAt &&
		state.expectedDelay(r.now, r.stalledFor) < lightLoadFraction*r.delayObjective {
		safety = slowStartProvenSafety // setups stand there at once
	}
	rate := r.arrivals.rate(r.now) * r.capacityShare(endpoint) * safety * r.settings.OverloadFactor * warmth
	state.sendRate = math.Max(
		r.evenShare(minSendRate),
		math.Min(state.sendRate, 2*rate),
	) // and no rush when it is warm
	state.slowStartTokens += rate * (r.now - state.slowStartRefilledAt)
	state.slowStartRefilledAt = r.now
	tokenLimit := rate * r.settings.OverloadWindow * slowStartTokenLifetime
	if tokenLimit >= 1 {
		state.slowStartTokens = math.Min(state.slowStartTokens, 1+tokenLimit)
		return state.slowStartTokens >= 1
	}
	if state.slowStartTokens >= 2 {
		state.slowStartTokens = 1 + fraction(state.slowStartTokens)
	}
	return state.slowStartTokens >= 1 && state.slowStartTokens < 1+tokenLimit
}

// capacityShare is an endpoint's part of the total capacity: the load is made for all places, not for the few
// endpoints that
// are left.
func (r *Router) capacityShare(endpoint *routing.Endpoint) float64 {
	if r.totalCapacityAt != r.now {
		r.totalCapacity, r.totalCapacityAt = 0, r.now
		for _, other := range r.destinations {
			r.totalCapacity += r.capacityOf(other)
		}
	}
	return r.capacityOf(endpoint) / math.Max(r.totalCapacity, r.capacityOf(endpoint))
}

// fraction is the part after the point.
func fraction(v float64) float64 { return v - math.Floor(v) }

// dispatch sends the setup.
func (r *Router) dispatch(call *routing.Call, to **routing.Endpoint) stageResult {
	state := stateOf(*to)
	state.slowStartTokens--
	state.tokens--
	state.sent.add(r.now, 1)
	call.Attempts++
	r.host.StartAttempt(call, *to, call.Deadline-r.now)
	state.inFlight = append(state.inFlight, call.InFlight)
	return pending
}

// onDispatchOutcome notes that a setup is no longer under way, and the endpoint's signs of life. An endpoint
// that
// left setups
// unanswered, and cut calls or refused to connect, has started anew when it answers: it is cold, whatever
// the list says of it.
func (r *Router) onDispatchOutcome(attempt *routing.Attempt) {
	state := stateOf(attempt.Endpoint)
	stood := attempt.Call.InFlight == attempt
	for i, o := range state.inFlight {
		if o == attempt {
			state.inFlight = append(state.inFlight[:i], state.inFlight[i+1:]...)
			break
		}
	}
	switch {
	case stood || attempt.Outcome == routing.Completed || attempt.Outcome == routing.Overloaded ||
		attempt.Outcome == routing.Failed:
		if state.unanswered > 0 && state.resets > 0 && r.now-state.startedAt > r.settings.SlowStartDuration {
			state.restart(r.now, r.now)
		}
		state.aliveAt, state.unanswered, state.resets = r.now, 0, 0
	case attempt.Outcome == routing.ConnectionRefused:
		state.unanswered++
		state.resets++
	case attempt.Outcome == routing.Reset:
		state.resets++
	case !attempt.PresumedLost && attempt.Outcome != routing.NotSent && attempt.SentAt > state.startedAt:
		state.unanswered++
	}
	for stood && r.settings.CancelEnabled && len(state.inFlight) > 0 &&
		state.inFlight[0].SentAt < attempt.SentAt-overtakenFraction*r.delayObjective {
		// a processor takes setups in turn: this one is lost, and says nothing of the wait
		lost := state.inFlight[0]
		lost.PresumedLost = true
		state.lost.add(r.now, 1)
		state.inFlight = state.inFlight[1:]
		if r.canMeetObjective(lost.Call) {
			r.host.CancelAttempt(lost)
		}
	}
}

// restart begins an endpoint's notes anew: its processor has started cold. The time before earns no cold
// budget.
func (state *endpointState) restart(now, at float64) {
	state.startedAt = at
	state.delay = 0
	state.sendRate = math.Inf(1)
	state.unanswered = 0
	state.slowStartTokens = fraction(state.slowStartTokens)
	state.slowStartRefilledAt = now
	state.inFlight = slices.DeleteFunc(
		state.inFlight,
		func(attempt *routing.Attempt) bool { return attempt.SentAt < at },
	) // lost with the old one
}

// canMeetObjective tells whether a call called off now could still stand in time elsewhere.
func (r *Router) canMeetObjective(call *routing.Call) bool {
	return r.now+r.settings.RetryHoldOff+r.delayObjective < call.ArrivedAt+call.Class.LatencyObjective
}
