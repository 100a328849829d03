package router

import (
	"math"

	"cobaltpier/internal/routing"
)

// wake is a call back that the module asked for.
type wake struct {
	at float64
	c  *routing.Call
}

// bench is a host that writes down what it is asked, and a slow plain model of the rules beside it.
type bench struct {
	now                 float64
	b                   *Router
	skill               *routing.Class
	number              string
	left                float64
	all                 []*routing.Call
	rings, cancelled    []*routing.Attempt
	deferred, abandoned []*routing.Call
	probed              int
	told                [][]byte
	wakes               []wake
	rule                func(rule int, what string) // hears of a broken rule
	answered            map[*routing.Call]bool
	out                 map[*routing.Call]int
	notTill             map[*routing.Call]float64
	stopped             map[*routing.Endpoint]bool
	start               map[*routing.Endpoint]float64
	sent                map[*routing.Endpoint][]float64
}

func (h *bench) broke(rule int, what string) {
	if h.rule != nil {
		h.rule(rule, what)
	}
}

// StartAttempt checks rules 1, 2, 3 and 5 by the plain model, and notes the send for rule 4.
func (h *bench) StartAttempt(call *routing.Call, endpoint *routing.Endpoint, _ float64) {
	if h.answered[call] || h.now > call.Deadline {
		h.broke(1, "sent after the answer or the patience")
	}
	if h.out[call]++; h.out[call] > 1 {
		h.broke(2, "two rings out")
	}
	if h.stopped[endpoint] {
		h.broke(3, "sent to a pool that drains or is gone")
	}
	if h.now < h.notTill[call] {
		h.broke(5, "sent before the clear wait was over")
	}
	h.sent[endpoint] = append(h.sent[endpoint], h.now)
	call.InFlight = &routing.Attempt{Call: call, Endpoint: endpoint, SentAt: h.now}
	h.rings = append(h.rings, call.InFlight)
}

func (h *bench) answer(call *routing.Call) {
	if h.answered[call] || h.out[call] > 0 {
		h.broke(1, "answered twice or with a ring out")
	}
	if h.now > call.Deadline+h.b.settings.AnswerGrace {
		h.broke(1, "answered too late")
	}
	h.answered[call], call.Finished = true, true
}

func (h *bench) Reject(call *routing.Call, _ float64) {
	h.answer(call)
	h.deferred = append(h.deferred, call)
}

func (h *bench) Fail(
	call *routing.Call,
) {
	h.answer(call)
	h.abandoned = append(h.abandoned, call)
}
func (h *bench) CancelAttempt(attempt *routing.Attempt) { h.cancelled = append(h.cancelled, attempt) }
func (h *bench) ProbeHealth(*routing.Endpoint)          { h.probed++ }
func (h *bench) SendGossip(to int, data []byte)         { h.told = append(h.told, data) }
func (h *bench) ScheduleWakeup(at float64, call *routing.Call) {
	h.wakes = append(h.wakes, wake{at, call})
}

func newPool(i int) *routing.Endpoint {
	n := math.NaN()
	return &routing.Endpoint{
		DestinationID: i,
		State:         routing.Ready,
		LoadReport: routing.LoadReport{Capacity: n, Free: n, Utilization: n,
			QueueLength: n, QueueDelay: n, RateLimit: n, LossFraction: n},
	}
}

func setup(pools int) (*bench, []*routing.Endpoint) {
	h := &bench{now: 1e6, left: 3000, answered: map[*routing.Call]bool{}, out: map[*routing.Call]int{},
		notTill: map[*routing.Call]float64{}, stopped: map[*routing.Endpoint]bool{},
		start: map[*routing.Endpoint]float64{}, sent: map[*routing.Endpoint][]float64{}}
	h.skill = &routing.Class{
		LatencyObjective:   2000,
		Timeout:            9000,
		Weight:             1,
		LateWeightFraction: 0.1,
		MeanHoldingTime:    10000,
		Idempotent:         true,
	}
	h.b = New(
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
			Classes:           []*routing.Class{h.skill},
		},
		h,
	)
	var ps []*routing.Endpoint
	for i := 0; i < pools; i++ {
		ps = append(ps, newPool(i))
	}
	h.b.OnEndpoints(h.now, ps)
	return h, ps
}

// pass lets time go by, in ticks, with the call backs that fall due.
func (h *bench) pass(ms float64) {
	for end := h.now + ms; h.now < end; {
		h.now = math.Min(end, h.now+h.b.settings.TickInterval)
		due := h.wakes
		h.wakes = nil
		for _, w := range due {
			if w.at <= h.now {
				h.b.OnWakeup(h.now, w.c)
			} else {
				h.wakes = append(h.wakes, w)
			}
		}
	}
}

func (h *bench) offer(home *routing.Endpoint) *routing.Call {
	call := &routing.Call{
		Class:        h.skill,
		Destination:  home,
		ArrivedAt:    h.now,
		Deadline:     h.now + h.left,
		CalledNumber: h.number,
	}
	h.all = append(h.all, call)
	h.b.OnCall(h.now, call)
	return call
}

// stand lets the call's attempt stand after cost.
func (h *bench) stand(call *routing.Call, cost float64) *routing.Attempt {
	attempt := call.InFlight
	attempt.Latency, call.Established = cost, true
	h.answered[call] = true
	h.b.OnAnswer(h.now, attempt)
	return attempt
}

// end lets the call's attempt end.
func (h *bench) end(call *routing.Call, end routing.Outcome) {
	attempt := call.InFlight
	attempt.Outcome, attempt.Latency, call.InFlight = end, h.now-attempt.SentAt, nil
	h.out[call]--
	if end == routing.TimedOut || end == routing.Reset || end == routing.Canceled {
		h.notTill[call] = h.now + h.b.settings.RetryHoldOff
	}
	call.Finished = call.Finished || call.Established
	h.b.OnAttemptEnd(h.now, attempt, call.Established)
}
