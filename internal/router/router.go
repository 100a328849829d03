// Package router decides what becomes of each call at one gateway: to which endpoint it goes, when, or that
// it is rejected. A host makes one Router for each gateway with New, reports events through the methods named
// On..., and carries out what the Router asks of it through routing.Host. The Router has no I/O, no clock and
// no goroutine. A call passes the stages of a chain: eligibility, admission, endpoint selection, rules,
// dispatch. Each stage passes it on, keeps it for later or finishes it. The outcome of an attempt runs
// through the same stages in reverse. All times are milliseconds on the host's clock.
package router

import (
	"math"
	"slices"

	"cobaltpier/internal/decaysum"
	"cobaltpier/internal/detrand"
	"cobaltpier/internal/routing"
)

// Router is the decision module of one gateway.
type Router struct {
	settings   *routing.Settings
	host       routing.Host
	now        float64
	draws      uint64  // random numbers drawn so far
	stalledFor float64 // how long no event came before now, if so long that the process may have stalled

	delayObjective float64 // queueing delay to keep at endpoints
	maxTimeout     float64 // the longest timeout of any class
	maxHoldingTime float64 // the longest mean holding time of any class

	endpoints       []*routing.Endpoint // in the order in which they were first listed
	destinations    []*routing.Endpoint // the latest endpoint of each destination ID
	totalCapacity   float64             // of all destinations, at totalCapacityAt
	totalCapacityAt float64
	lastProbeAt     float64

	queue          []*routing.Call // calls that wait for capacity, the greatest weight first
	queueWakeupSet bool

	arrivals        decaysum.Sum               // first tries of callers
	arrivedWeight   decaysum.Sum               // the weight of those
	maxTimeLeft     map[*routing.Class]float64 // the most time that a call of the class had left on arrival
	unservedCallers map[callerKey]float64      // callers that were not served, with their first arrival
	busyNumbers     map[string]*busyNumber     // called numbers that were found busy
	lastSweepAt     float64                    // when expired entries of both maps were last removed

	nextGossipAt float64
}

// stageResult is what a stage decides about a call.
type stageResult int

const (
	proceed  stageResult = iota // the next stage takes the call
	pending                     // the call waits; a later event takes it up again
	finished                    // the call has its final answer
)

// stage is one link of the chain. onCall takes a call on its way to an endpoint; onOutcome, which may be nil,
// takes the outcome of an attempt on its way back.
type stage struct {
	onCall    func(*Router, *routing.Call, **routing.Endpoint) stageResult
	onOutcome func(*Router, *routing.Attempt)
}

var chain [5]stage

// stageAfterQueue is the stage at which a call that was queued goes on.
const stageAfterQueue = 2

func init() { // not a literal: the stages refer to the chain
	chain = [...]stage{
		{(*Router).checkEligibility, (*Router).onEligibilityOutcome},
		{(*Router).admit, nil},
		{(*Router).selectEndpoint, (*Router).onSelectionOutcome},
		{(*Router).enforceRules, nil},
		{(*Router).dispatch, (*Router).onDispatchOutcome},
	}
}

// New makes the router of one gateway. A maximum of attempts of 0 or less in the settings means no maximum.
func New(settings *routing.Settings, host routing.Host) *Router {
	r := &Router{
		settings:        settings,
		host:            host,
		delayObjective:  math.Inf(1),
		arrivals:        decaysum.New(rateWindow),
		arrivedWeight:   decaysum.New(rateWindow),
		unservedCallers: map[callerKey]float64{},
		busyNumbers:     map[string]*busyNumber{},
		maxTimeLeft:     map[*routing.Class]float64{},
	}
	for _, class := range settings.Classes {
		r.delayObjective = math.Min(r.delayObjective, objectiveLatencyFraction*class.LatencyObjective)
		r.maxHoldingTime = math.Max(r.maxHoldingTime, class.MeanHoldingTime)
		r.maxTimeout = math.Max(r.maxTimeout, class.Timeout)
	}
	if settings.RetransmitInterval > 0 {
		r.delayObjective = math.Min(r.delayObjective, objectiveRetransmitFraction*settings.RetransmitInterval)
	}
	if !(r.delayObjective > 0) || math.IsInf(r.delayObjective, 1) {
		r.delayObjective = defaultDelayObjective
	}
	if settings.MaxAttempts <= 0 {
		settings.MaxAttempts = math.MaxInt
	}
	return r
}

// advance sends a call down the chain, from a stage on.
func (r *Router) advance(call *routing.Call, from int) {
	var endpoint *routing.Endpoint
	for _, stage := range chain[from:] {
		if stage.onCall(r, call, &endpoint) != proceed {
			return
		}
	}
}

// propagateOutcome runs the outcome of an attempt up the chain.
func (r *Router) propagateOutcome(attempt *routing.Attempt) {
	for _, stage := range slices.Backward(chain[:]) {
		if stage.onOutcome != nil {
			stage.onOutcome(r, attempt)
		}
	}
}

// OnEndpoints takes endpoints that are new on the endpoint list or have changed there.
func (r *Router) OnEndpoints(now float64, changed []*routing.Endpoint) {
	r.setTime(now)
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

// OnCall takes a new call.
func (r *Router) OnCall(now float64, call *routing.Call) {
	r.setTime(now)
	left := call.Deadline - now
	r.maxTimeLeft[call.Class] = math.Max(r.maxTimeLeft[call.Class], left)
	// after a stall the call may have waited unread, but no longer than its timeout shows
	call.ArrivedAt -= math.Min(r.stalledFor, r.maxTimeLeft[call.Class]-left)
	call.FirstSeenAt = call.ArrivedAt
	caller := callerKey{call.CalledNumber, call.Class, call.Tenant}
	if first, known := r.unservedCallers[caller]; known && now < first+call.Class.Timeout {
		call.FirstSeenAt = first
		delete(r.unservedCallers, caller)
	} else {
		r.arrivals.Add(now, 1)
		r.arrivedWeight.Add(now, call.Class.Weight)
	}
	r.advance(call, 0)
}

// OnAnswer takes an attempt whose call is established now.
func (r *Router) OnAnswer(now float64, attempt *routing.Attempt) { r.onAttempt(now, attempt) }

// OnAttemptEnd takes an attempt that has ended; whether its call still needs an answer is in Call.Finished.
func (r *Router) OnAttemptEnd(now float64, attempt *routing.Attempt, _ bool) {
	r.onAttempt(now, attempt)
}

func (r *Router) onAttempt(now float64, attempt *routing.Attempt) {
	r.setTime(now)
	r.propagateOutcome(attempt)
	r.sendGossip()
}

// OnHangup takes a call whose caller is gone.
func (r *Router) OnHangup(now float64, call *routing.Call) {
	r.setTime(now)
	r.rememberUnserved(call)
}

// OnLoadReport takes an endpoint whose load report came unasked or for a probe; complete: with figures of its
// processor.
func (r *Router) OnLoadReport(now float64, endpoint *routing.Endpoint, _, complete bool) {
	r.setTime(now)
	r.applyLoadReport(endpoint, complete)
}

// OnWakeup takes up a call that waited for a time or, with nil, the queue and the probes.
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

// probeEndpoints asks every endpoint for its load report, in deployments where reports come only with probes.
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

// setTime moves the clock. A process that stalled finds everything that came meanwhile at once and can't tell
// when it came; stalledFor bounds that time.
func (r *Router) setTime(now float64) {
	if now > r.now {
		if r.stalledFor = now - r.now; r.stalledFor < stallThreshold {
			r.stalledFor = 0 // a pause between events, most likely
		}
		r.now = now
	}
}

// random draws a number from 0 to 1, reproducible from the seed of the settings.
func (r *Router) random() float64 {
	r.draws++
	return detrand.Float64(r.settings.Seed, r.draws)
}
