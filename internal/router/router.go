// Package router decides for each call at one gateway which endpoint it is sent to and when, or that it is
// rejected. A host creates one Router for each gateway with New, reports events through the methods named
// On..., and executes the requests that the Router makes through routing.Host. The Router has no I/O, no
// clock and no goroutine. A call passes the stages of a chain: eligibility, admission, endpoint selection,
// rules, dispatch. Each stage passes the call on, keeps it for later or finishes it. The outcome of an
// attempt passes the same stages in reverse. All times are milliseconds on the host's clock.
package router

import (
	"math"
	"slices"

	"cobaltpier/internal/detrand"
	"cobaltpier/internal/routing"
)

// Router is the decision module of one gateway.
type Router struct {
	settings   *routing.Settings
	host       routing.Host
	now        float64
	draws      uint64  // random numbers drawn so far
	stalledFor float64 // pause before the latest event if it reaches stallThreshold (a stall), else 0

	targetDelay    float64 // target for the queueing delay at endpoints
	maxTimeout     float64 // the longest timeout of any class
	maxHoldingTime float64 // the longest mean holding time of any class

	endpoints       []*routing.Endpoint // in the order in which they were first listed
	destinations    []*routing.Endpoint // the latest endpoint of each destination ID
	totalCapacity   float64             // of all destinations, at totalCapacityAt
	totalCapacityAt float64
	lastProbeAt     float64

	queue          []*routing.Call // calls waiting for capacity, in the order of their deadlines
	queueWakeupSet bool
	queueServedAt  float64 // when the whole queue was last served
	// capacityGrown is set if an endpoint may have got capacity since the queue was served.
	capacityGrown bool
	ahead         *backlog // of the whole queue at queueServedAt; nil: to be computed
	waiting       waitingCount
	nextReturnAt  float64 // when the next refused caller should come back

	offered            offeredLoad
	busyNumbers        map[string]*busyNumber // called numbers that answered busy
	busyNumbersSweptAt float64                // when expired ones were last removed

	nextGossipAt float64
}

// stageResult is the decision of a stage about a call.
type stageResult int

const (
	proceed  stageResult = iota // the next stage handles the call
	pending                     // the call waits; a later event resumes it
	finished                    // the call has its final answer
)

// stage is one stage of the chain. onCall handles a call on its way to an endpoint; onOutcome, which may be
// nil, handles the outcome of an attempt.
type stage struct {
	onCall    func(*Router, *routing.Call, **routing.Endpoint) stageResult
	onOutcome func(*Router, *routing.Attempt)
}

var chain [5]stage

// stageAfterQueue is the index of the stage that handles a call after it leaves the queue.
const stageAfterQueue = 2

func init() { // a literal would be an initialization cycle: the stages refer to the chain
	chain = [...]stage{
		{(*Router).checkEligibility, (*Router).onEligibilityOutcome},
		{(*Router).admit, nil},
		{(*Router).selectEndpoint, (*Router).onSelectionOutcome},
		{(*Router).enforceRules, nil},
		{(*Router).dispatch, (*Router).onDispatchOutcome},
	}
}

// New creates the router of one gateway. A MaxAttempts of 0 or less in the settings means no limit.
func New(settings *routing.Settings, host routing.Host) *Router {
	r := &Router{
		settings:    settings,
		host:        host,
		targetDelay: defaultTargetDelay,
		offered:     newOfferedLoad(),
		busyNumbers: map[string]*busyNumber{},
	}
	for _, class := range settings.Classes {
		r.maxHoldingTime = math.Max(r.maxHoldingTime, class.MeanHoldingTime)
		r.maxTimeout = math.Max(r.maxTimeout, class.Timeout)
	}
	if settings.RetransmitInterval > 0 {
		r.targetDelay = targetRetransmitFraction * settings.RetransmitInterval
	}
	if settings.MaxAttempts <= 0 {
		settings.MaxAttempts = math.MaxInt
	}
	return r
}

// advance runs a call through the chain, starting at the stage with index from.
func (r *Router) advance(call *routing.Call, from int) {
	var endpoint *routing.Endpoint
	for _, stage := range chain[from:] {
		if stage.onCall(r, call, &endpoint) != proceed {
			return
		}
	}
}

// propagateOutcome runs the outcome of an attempt through the chain, last stage first.
func (r *Router) propagateOutcome(attempt *routing.Attempt) {
	for _, stage := range slices.Backward(chain[:]) {
		if stage.onOutcome != nil {
			stage.onOutcome(r, attempt)
		}
	}
}

// OnEndpoints handles endpoints that were added to the endpoint list or changed.
func (r *Router) OnEndpoints(now float64, changed []*routing.Endpoint) {
	r.setTime(now)
	r.capacityGrown = true
	for _, endpoint := range changed {
		r.updateEndpoint(endpoint)
	}
	r.probeEndpoints()
}

func (r *Router) updateEndpoint(endpoint *routing.Endpoint) {
	if i := slices.Index(r.endpoints, endpoint); i >= 0 && endpoint.State == routing.Gone {
		r.endpoints = slices.Delete(r.endpoints, i, i+1)
	}
	if endpoint.PolicyState == nil {
		endpoint.PolicyState = r.newEndpointState()
	}
	if endpoint.State != routing.Gone && !slices.Contains(r.endpoints, endpoint) {
		r.endpoints = append(r.endpoints, endpoint)
	}
	replaced := func(other *routing.Endpoint) bool { return other.DestinationID == endpoint.DestinationID }
	if i := slices.IndexFunc(r.destinations, replaced); i < 0 {
		r.destinations = append(r.destinations, endpoint)
	} else if endpoint.State != routing.Gone {
		r.destinations[i] = endpoint
	}
	if state := stateOf(endpoint); endpoint.StartedAt > state.startedAt && endpoint.StartedAt > 0 {
		state.restart(r.now, endpoint.StartedAt)
	}
}

// OnCall handles a new call.
func (r *Router) OnCall(now float64, call *routing.Call) {
	r.setTime(now)
	r.offered.onCall(now, call)
	r.advance(call, 0)
}

// OnAnswer handles an attempt whose call is now established.
func (r *Router) OnAnswer(now float64, attempt *routing.Attempt) { r.onAttempt(now, attempt) }

// OnAttemptEnd handles an attempt that has ended; Call.Finished is false if its call needs an answer.
func (r *Router) OnAttemptEnd(now float64, attempt *routing.Attempt, _ bool) {
	r.onAttempt(now, attempt)
}

func (r *Router) onAttempt(now float64, attempt *routing.Attempt) {
	r.setTime(now)
	r.capacityGrown = true
	r.propagateOutcome(attempt)
	r.sendGossip()
}

// OnHangup handles a call whose caller hung up.
func (r *Router) OnHangup(now float64, call *routing.Call) {
	r.setTime(now)
	r.offered.onUnserved(now, call)
}

// OnLoadReport handles a load report that an endpoint sent unsolicited or in response to a probe; complete:
// it includes values for the processor.
func (r *Router) OnLoadReport(now float64, endpoint *routing.Endpoint, _, complete bool) {
	r.setTime(now)
	r.capacityGrown = true
	r.applyLoadReport(endpoint, complete)
}

// OnWakeup resumes a call that waited for a point in time; with nil it serves the queue and sends probes.
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

// probeEndpoints probes every endpoint, in deployments that send load reports only in response to probes.
func (r *Router) probeEndpoints() {
	due := r.now >= r.lastProbeAt+probeInterval || r.lastProbeAt <= 0
	if !r.settings.LoadReportsByProbe || !r.settings.ProbeEnabled || !due {
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

// setTime advances the clock. After a stall the process reads everything that arrived in the meantime at once
// and can't tell when it arrived; stalledFor bounds how long ago that was.
func (r *Router) setTime(now float64) {
	if now > r.now {
		if r.stalledFor = now - r.now; r.stalledFor < stallThreshold {
			r.stalledFor = 0 // most likely just a pause between events
		}
		r.now = now
	}
}

// random returns a pseudorandom number in [0, 1), reproducible from the seed in the settings.
func (r *Router) random() float64 {
	r.draws++
	return detrand.Float64(r.settings.Seed, r.draws)
}
