package router

import (
	"math"

	"cobaltpier/internal/routing"
)

// wakeup is a call to OnWakeup that the policy scheduled.
type wakeup struct {
	at   float64
	call *routing.Call
}

// testHost is a host that records the requests of the policy and checks them against a simple model of the
// rules.
type testHost struct {
	now                float64
	router             *Router
	class              *routing.Class
	number             string
	timeLeft           float64
	calls              []*routing.Call
	attempts, canceled []*routing.Attempt
	rejected, failed   []*routing.Call
	retryAfter         map[*routing.Call]float64 // of rejected calls
	endedAt            map[*routing.Call]float64 // when a call was rejected or failed
	probes             int
	gossip             [][]byte
	wakeups            []wakeup
	onViolation        func(rule int, what string) // called for each violation of a rule; may be nil
	finished           map[*routing.Call]bool
	inFlight           map[*routing.Call]int
	retryNotBefore     map[*routing.Call]float64
	drained            map[*routing.Endpoint]bool
	startedAt          map[*routing.Endpoint]float64
	sentAt             map[*routing.Endpoint][]float64
}

func (h *testHost) reportViolation(rule int, what string) {
	if h.onViolation != nil {
		h.onViolation(rule, what)
	}
}

// StartAttempt checks rules 1, 2, 3 and 5 against the model, and records when the attempt was sent for rule
// 4.
func (h *testHost) StartAttempt(call *routing.Call, endpoint *routing.Endpoint, _ float64) {
	if h.finished[call] || h.now > call.Deadline {
		h.reportViolation(1, "sent after the answer or the timeout")
	}
	if h.inFlight[call]++; h.inFlight[call] > 1 {
		h.reportViolation(2, "two attempts in flight")
	}
	if h.drained[endpoint] {
		h.reportViolation(3, "sent to an endpoint that drains or is gone")
	}
	if h.now < h.retryNotBefore[call] {
		h.reportViolation(5, "sent before the hold-off was over")
	}
	h.sentAt[endpoint] = append(h.sentAt[endpoint], h.now)
	call.InFlight = &routing.Attempt{Call: call, Endpoint: endpoint, SentAt: h.now}
	h.attempts = append(h.attempts, call.InFlight)
}

func (h *testHost) finishCall(call *routing.Call) {
	if h.finished[call] || h.inFlight[call] > 0 {
		h.reportViolation(1, "answered twice or with an attempt in flight")
	}
	if h.now > call.Deadline+h.router.settings.AnswerGrace {
		h.reportViolation(1, "answered too late")
	}
	h.finished[call], call.Finished = true, true
	h.endedAt[call] = h.now
}

func (h *testHost) Reject(call *routing.Call, retryAfter float64) {
	h.finishCall(call)
	h.retryAfter[call] = retryAfter
	h.rejected = append(h.rejected, call)
}

func (h *testHost) Fail(call *routing.Call) {
	h.finishCall(call)
	h.failed = append(h.failed, call)
}
func (h *testHost) CancelAttempt(attempt *routing.Attempt) {
	h.canceled = append(h.canceled, attempt)
}
func (h *testHost) ProbeHealth(*routing.Endpoint)  { h.probes++ }
func (h *testHost) SendGossip(to int, data []byte) { h.gossip = append(h.gossip, data) }
func (h *testHost) ScheduleWakeup(at float64, call *routing.Call) {
	h.wakeups = append(h.wakeups, wakeup{at, call})
}

func newTestEndpoint(i int) *routing.Endpoint {
	n := math.NaN()
	return &routing.Endpoint{
		DestinationID: i,
		State:         routing.Ready,
		LoadReport: routing.LoadReport{Capacity: n, Free: n, Utilization: n,
			QueueLength: n, QueueDelay: n, RateLimit: n, LossFraction: n},
	}
}

func newTestHost(endpointCount int) (*testHost, []*routing.Endpoint) {
	h := &testHost{now: 1e6, timeLeft: 3000, finished: map[*routing.Call]bool{},
		retryAfter: map[*routing.Call]float64{}, endedAt: map[*routing.Call]float64{},
		inFlight:       map[*routing.Call]int{},
		retryNotBefore: map[*routing.Call]float64{}, drained: map[*routing.Endpoint]bool{},
		startedAt: map[*routing.Endpoint]float64{}, sentAt: map[*routing.Endpoint][]float64{}}
	h.class = &routing.Class{
		Timeout:         9000,
		Weight:          1,
		MeanHoldingTime: 10000,
		Idempotent:      true,
	}
	h.router = New(
		&routing.Settings{
			Gateways:          1,
			Seed:              7,
			TickInterval:      5,
			MaxAttempts:       5,
			RetryHoldOff:      500,
			SlowStartFraction: 0.3,
			SlowStartDuration: 14000,
			OverloadFactor:    2.5,
			OverloadWindow:    1000,
			CancelEnabled:     true,
			AnswerGrace:       20,
			Classes:           []*routing.Class{h.class},
		},
		h,
	)
	var endpoints []*routing.Endpoint
	for i := 0; i < endpointCount; i++ {
		endpoints = append(endpoints, newTestEndpoint(i))
	}
	h.router.OnEndpoints(h.now, endpoints)
	return h, endpoints
}

// advance moves the clock in steps of a tick and runs the wakeups that are due.
func (h *testHost) advance(ms float64) {
	for end := h.now + ms; h.now < end; {
		h.now = math.Min(end, h.now+h.router.settings.TickInterval)
		due := h.wakeups
		h.wakeups = nil
		for _, w := range due {
			if w.at <= h.now {
				h.router.OnWakeup(h.now, w.call)
			} else {
				h.wakeups = append(h.wakeups, w)
			}
		}
	}
}

func (h *testHost) offerCall(destination *routing.Endpoint) *routing.Call {
	call := &routing.Call{
		Class:        h.class,
		Destination:  destination,
		ArrivedAt:    h.now,
		Deadline:     h.now + h.timeLeft,
		CalledNumber: h.number,
	}
	h.calls = append(h.calls, call)
	h.router.OnCall(h.now, call)
	return call
}

// establish reports that the call's attempt was answered with the given latency.
func (h *testHost) establish(call *routing.Call, latency float64) *routing.Attempt {
	attempt := call.InFlight
	attempt.Latency, call.Established = latency, true
	h.finished[call] = true
	h.router.OnAnswer(h.now, attempt)
	return attempt
}

// endAttempt reports the end of the call's attempt with the given outcome.
func (h *testHost) endAttempt(call *routing.Call, outcome routing.Outcome) {
	attempt := call.InFlight
	attempt.Outcome, attempt.Latency, call.InFlight = outcome, h.now-attempt.SentAt, nil
	h.inFlight[call]--
	if outcome == routing.TimedOut || outcome == routing.Reset || outcome == routing.Canceled {
		h.retryNotBefore[call] = h.now + h.router.settings.RetryHoldOff
	}
	call.Finished = call.Finished || call.Established
	h.router.OnAttemptEnd(h.now, attempt, call.Established)
}
