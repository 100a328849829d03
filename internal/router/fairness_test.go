package router

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cobaltpier/internal/deployment"
	"cobaltpier/internal/routing"
)

// settingsWith decodes a deployment's settings with one class. The latency objective and the late fraction say how
// the deployment's service is scored; they are not the caller's time.
func settingsWith(t *testing.T, objective, lateFraction float64) *routing.Settings {
	t.Helper()
	text := fmt.Sprintf(`{"balancers": 1, "tick": 5,
		"allowed": {"cancel": true, "maxAttempts": 5, "retryAfter": true, "maxRetryAfter": 2000},
		"familyInfo": {"clearWait": 500, "retransmit": 400, "callLength": [10000]},
		"lanes": [{"name": "lookup", "aim": %g, "lateWorth": %g, "hardLimit": 9000, "semantics": "pure", "worth": 1}]}`,
		objective, lateFraction)
	settings, _, err := deployment.Decode([]byte(text), 7)
	if err != nil {
		t.Fatal(err)
	}
	return settings
}

// TestTargetDelayFollowsRetransmission checks that the queueing delay that send rates aim at follows from the time
// after which a waiting setup is sent again, whatever latency the deployment is scored by.
func TestTargetDelayFollowsRetransmission(t *testing.T) {
	h, _ := newTestHost(0)
	want := New(settingsWith(t, 2000, 0.1), h).targetDelay
	if want <= 0 || want >= 400 {
		t.Errorf("target delay %v ms, want less than the retransmit interval of 400 ms", want)
	}
	for _, objective := range []float64{0, 100, 800, 9000} {
		if got := New(settingsWith(t, objective, 0.1), h).targetDelay; got != want {
			t.Errorf("objective %v ms: target delay %v ms, want %v ms as for 2000 ms", objective, got, want)
		}
	}
}

// steadyHost is a host whose endpoints take setups at constant rates and answer each after a constant latency. Their
// reports say that half of the reserve of agents is free: the router neither raises nor lowers its send rates.
type steadyHost struct {
	*testHost
	endpoints []*routing.Endpoint
	rates     []float64 // setups a second, by endpoint
	latency   float64   // ms
	idleAt    []float64 // times at which no call waited
}

func newSteadyHost(rates []float64, latency float64) *steadyHost {
	h, endpoints := newTestHost(len(rates))
	h.router.settings.RetryAfterEnabled, h.router.settings.MaxRetryAfter = true, 2000
	for i, endpoint := range endpoints {
		endpoint.LoadReport.Capacity, endpoint.LoadReport.Free = 1000, 15
		state := stateOf(endpoint)
		state.tokens, state.sendRate, state.minLatency = 0, rates[i]/1000, latency
	}
	return &steadyHost{testHost: h, endpoints: endpoints, rates: rates, latency: latency}
}

// totalRate returns the setups a millisecond that all endpoints take.
func (h *steadyHost) totalRate() float64 {
	total := 0.0
	for _, rate := range h.rates {
		total += rate / 1000
	}
	return total
}

// run offers each call of a plan when it is due and goes on until all have been answered.
func (h *steadyHost) run(plan []plannedCall) []*routing.Call {
	start := h.now
	calls := make([]*routing.Call, 0, len(plan))
	for end := start + plan[len(plan)-1].at + maxTestTimeLeft; h.now < end; {
		for len(calls) < len(plan) && plan[len(calls)].at <= h.now-start {
			calls = append(calls, plan[len(calls)].offer(h.testHost, h.endpoints, calls))
		}
		h.advance(5)
		h.answerDue()
		if len(h.router.queue) == 0 {
			h.idleAt = append(h.idleAt, h.now)
		}
	}
	return calls
}

func (h *steadyHost) answerDue() {
	for _, attempt := range h.attempts[max(0, len(h.attempts)-400):] {
		if call := attempt.Call; call.InFlight == attempt && !call.Established && h.now-attempt.SentAt >= h.latency {
			h.establish(call, h.latency)
		}
	}
}

// maxTestTimeLeft is the longest time, in ms, that a caller of a generated workload has left.
const maxTestTimeLeft = 4000.0

// plannedCall is a call of a generated workload. The fields after timeLeft must not matter to the call.
type plannedCall struct {
	at       float64 // ms after the start
	timeLeft float64
	class    *routing.Class

	arrivedBefore float64 // ms before it was passed to the router
	attempts      int     // earlier attempts that were turned away
	repeatOf      int     // index of an earlier call of the same caller; -1: a caller's first call
	tenant        *routing.Tenant
}

func (p *plannedCall) offer(h *testHost, endpoints []*routing.Endpoint, earlier []*routing.Call) *routing.Call {
	call := &routing.Call{
		Class:        p.class,
		Tenant:       p.tenant,
		Destination:  endpoints[len(earlier)%len(endpoints)],
		CalledNumber: fmt.Sprint("number-", len(earlier)),
		ArrivedAt:    h.now - p.arrivedBefore,
		Deadline:     h.now + p.timeLeft,
		Attempts:     p.attempts,
	}
	if p.repeatOf >= 0 {
		call.CalledNumber, call.Tenant = earlier[p.repeatOf].CalledNumber, earlier[p.repeatOf].Tenant
	}
	h.calls = append(h.calls, call)
	h.router.OnCall(h.now, call)
	return call
}

// drawPlan draws calls in order of their arrival. Most arrive in bursts, beyond what the endpoints take.
func drawPlan(t *rapid.T, classes []*routing.Class) []plannedCall {
	var plan []plannedCall
	at := 0.0
	for range rapid.IntRange(1, 120).Draw(t, "calls") {
		at += rapid.SampledFrom([]float64{0, 0, 5, 20, 300}).Draw(t, "interval")
		plan = append(plan, plannedCall{
			at:       at,
			timeLeft: rapid.Float64Range(100, maxTestTimeLeft).Draw(t, "time left"),
			class:    rapid.SampledFrom(classes).Draw(t, "class"),
			repeatOf: -1,
		})
	}
	return plan
}

func testClass(weight float64) *routing.Class {
	return &routing.Class{Timeout: 9000, Weight: weight, MeanHoldingTime: 10000, Idempotent: true}
}

// outcome is what became of a call.
type outcome struct {
	attempts   int
	sentAt     float64 // of the latest attempt
	endpoint   int
	refusedAt  float64
	retryAfter float64
}

func (h *steadyHost) outcomeOf(call *routing.Call) outcome {
	result := outcome{attempts: call.Attempts, refusedAt: h.endedAt[call], retryAfter: h.retryAfter[call]}
	for _, attempt := range h.attempts {
		if attempt.Call == call {
			result.sentAt, result.endpoint = attempt.SentAt, attempt.Endpoint.DestinationID
		}
	}
	return result
}

// drawPlansAlike draws two plans whose calls arrive at the same times with the same time left, in pairs. They differ
// in how long the calls waited before, how often they were attempted, whose they are, and which of a pair repeats an
// earlier call.
func drawPlansAlike(t *rapid.T) (plans [2][]plannedCall) {
	for _, call := range drawPlan(t, []*routing.Class{testClass(1)}) {
		pair := [2]plannedCall{call, call}
		if before := len(plans[0]); before > 0 && rapid.Bool().Draw(t, "one repeats") {
			pair[0].repeatOf = 2 * rapid.IntRange(0, before/2-1).Draw(t, "repeated pair")
		}
		plans[0] = append(plans[0], pair[:]...)
		for i := range pair {
			pair[i].arrivedBefore = rapid.Float64Range(0, 5000).Draw(t, "waited before")
			pair[i].attempts = rapid.IntRange(0, 3).Draw(t, "attempts before")
			pair[i].tenant = &routing.Tenant{Name: "another"}
		}
		if rapid.Bool().Draw(t, "the other one repeats") {
			pair[0].repeatOf, pair[1].repeatOf = pair[1].repeatOf, pair[0].repeatOf
		}
		plans[1] = append(plans[1], pair[:]...)
	}
	return plans
}

// TestCallsAlikeInTimeLeftFareAlike runs the same calls twice. In the second run they differ in what must not matter:
// how long they waited before, how often they were attempted, whose they are, and which of two calls that arrive
// together with the same time left repeats an earlier one. Each call must be attempted, refused and told when to
// return at the same times as in the first run.
func TestCallsAlikeInTimeLeftFareAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := rapid.SliceOfN(rapid.Float64Range(3, 30), 1, 3).Draw(t, "rates")
		latency := rapid.Float64Range(10, 200).Draw(t, "latency")
		plans := drawPlansAlike(t)
		var outcomes [2][]outcome
		for run, plan := range plans {
			h := newSteadyHost(rates, latency)
			for i, call := range h.run(plan) {
				result := h.outcomeOf(call)
				result.attempts -= plan[i].attempts
				outcomes[run] = append(outcomes[run], result)
			}
		}
		for i := range outcomes[0] {
			if a, b := outcomes[0][i], outcomes[1][i]; a != b {
				t.Fatalf("call %d of %d: %+v, and %+v with other things that must not matter", i, len(outcomes[0]), a, b)
			}
		}
	})
}

// TestNoneRefusedThatCanBeServed checks that while a refused call could have been sent, other calls waited at all
// times: no capacity came free that nobody else needed.
func TestNoneRefusedThatCanBeServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := rapid.SliceOfN(rapid.Float64Range(3, 30), 1, 3).Draw(t, "rates")
		h := newSteadyHost(rates, rapid.Float64Range(10, 200).Draw(t, "latency"))
		for i, call := range h.run(drawPlan(t, []*routing.Class{testClass(1)})) {
			if call.Attempts > 0 {
				continue
			}
			refusedAt := h.endedAt[call]
			// From the moment at which the queue is empty, the next token takes as long as the fastest endpoint needs for
			// one, and the queue is served in intervals.
			lastUse := call.Deadline - h.latency - 1000/slices.Max(rates) - 2*queueInterval
			for _, at := range h.idleAt {
				if at > refusedAt && at <= lastUse {
					t.Fatalf("call %d was refused with %.0f ms left; no call waited %.0f ms later, and a setup takes %.0f ms",
						i, call.Deadline-refusedAt, at-refusedAt, h.latency)
				}
			}
		}
	})
}

// TestHopelessRefusedAtOnce checks that a call that is refused is refused on arrival, or when a call with less time
// left arrives, and that no call is sent that can't be answered before its deadline.
func TestHopelessRefusedAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Tokens that fall due at the very moment of a check would leave the result to rounding.
		rate := rapid.Float64Range(3, 60).Draw(t, "rate") * math.Pi / 3
		h := newSteadyHost([]float64{rate}, rapid.Float64Range(10, 200).Draw(t, "latency"))
		plan := drawPlan(t, []*routing.Class{testClass(1)})
		start := h.now
		calls := h.run(plan)
		arrivedAt := func(i int) float64 { return start + math.Ceil(plan[i].at/5)*5 }
		for i, call := range calls {
			if call.Attempts > 0 {
				if sentAt := h.outcomeOf(call).sentAt; sentAt+h.latency > call.Deadline {
					t.Fatalf("call %d was sent %.0f ms before its deadline, and a setup takes %.0f ms",
						i, call.Deadline-sentAt, h.latency)
				}
				continue
			}
			refusedAt := h.endedAt[call]
			displaced := slices.ContainsFunc(calls[i:], func(other *routing.Call) bool {
				j := slices.Index(calls, other)
				return j > i && other.Deadline < call.Deadline && arrivedAt(j) == refusedAt
			})
			if refusedAt > arrivedAt(i) && !displaced {
				t.Fatalf("call %d waited %.0f ms of its %.0f ms and was refused without a call that came ahead of it",
					i, refusedAt-arrivedAt(i), plan[i].timeLeft)
			}
		}
	})
}

// TestWeightDecidesOnlyWhomToRefuse checks that a call of more weight is refused only if no call of less weight
// is sent in its time, and that weight does not change who is first: when all can be served, none is refused.
func TestWeightDecidesOnlyWhomToRefuse(t *testing.T) {
	h := newSteadyHost([]float64{10}, 20)
	light, heavy := testClass(1), testClass(8)
	offer := func(class *routing.Class, timeLeft float64) *routing.Call {
		h.class, h.timeLeft = class, timeLeft
		return h.offerCall(h.endpoints[0])
	}
	urgent, patient := offer(light, 600), offer(heavy, 3000)
	if queue := h.router.queue; len(queue) != 2 || queue[0] != urgent {
		t.Fatal("the call with less time left must be first, whatever the weights")
	}
	for range 60 { // more than can be sent in 3 s
		offer(light, 3000)
	}
	waitingLight := len(h.router.queue) - 1
	important := offer(heavy, 3000)
	if important.Finished || patient.Finished || len(h.router.queue)-2 != waitingLight-1 {
		t.Error("of calls that can't all be served, one of less weight must be refused")
	}
	for range 200 {
		h.advance(20)
		h.answerDue()
	}
	if urgent.Attempts == 0 || patient.Attempts == 0 || important.Attempts == 0 {
		t.Error("a call of more weight was not sent")
	}
}

// TestReturnTimes checks that refused callers are asked to come back when the calls that wait have been sent, one
// after the other, within the longest pause that callers accept, and are told nothing where the settings forbid it.
func TestReturnTimes(t *testing.T) {
	h := newSteadyHost([]float64{10}, 20)
	h.router.settings.MaxRetryAfter = 60000
	h.timeLeft = 1000
	var told []float64
	for range 30 {
		if call := h.offerCall(h.endpoints[0]); call.Finished {
			told = append(told, h.retryAfter[call])
		}
	}
	backlog := float64(len(h.router.queue)) / h.totalRate()
	if len(told) < 10 || math.Abs(told[0]-backlog) > 1.5/h.totalRate() {
		t.Fatalf("told to return after %.0f ms, want about %.0f ms: the time of the %d calls that wait",
			told, backlog, len(h.router.queue))
	}
	for i := 1; i < len(told); i++ {
		if gap := told[i] - told[i-1]; math.Abs(gap-1/h.totalRate()) > 1 {
			t.Errorf("refused callers are told to return %.0f ms after each other, want %.0f ms", gap, 1/h.totalRate())
		}
	}
	h.router.settings.MaxRetryAfter = 300
	if call := h.offerCall(h.endpoints[0]); !call.Finished || h.retryAfter[call] > 300 || h.retryAfter[call] <= 0 {
		t.Errorf("told to return after %.0f ms, want 300 ms at most", h.retryAfter[call])
	}
	h.router.settings.RetryAfterEnabled = false
	if call := h.offerCall(h.endpoints[0]); !call.Finished || h.retryAfter[call] != 0 {
		t.Errorf("told to return after %.0f ms, want no time", h.retryAfter[call])
	}
}

// TestRetriedWhileCallerHasTime checks that a call whose attempt ended is attempted again as long as a setup can be
// answered before its deadline, however long its caller has waited.
func TestRetriedWhileCallerHasTime(t *testing.T) {
	h, endpoints := newTestHost(1)
	endpoints[0].LoadReport.Capacity, endpoints[0].LoadReport.Free = 1000, 500
	h.establish(h.offerCall(endpoints[0]), 200)
	h.timeLeft = 8500
	call := h.offerCall(endpoints[0])
	h.advance(7000)
	h.endAttempt(call, routing.TimedOut)
	if h.advance(900); call.Attempts != 2 {
		t.Fatalf("%d attempts with 600 ms left, want 2", call.Attempts)
	}
	h.endAttempt(call, routing.TimedOut)
	if !call.Finished || len(h.rejected) != 1 {
		t.Error("the hold-off leaves 100 ms, and a setup takes 200 ms: want the call given up at once")
	}
}

// TestGivenUpWhenAnswersTakeTooLong checks that a call is not sent where answers have taken longer lately than its
// caller has left, but given up at once, and that the endpoint is used again when it has had the time to catch up.
func TestGivenUpWhenAnswersTakeTooLong(t *testing.T) {
	h, endpoints := newTestHost(1)
	endpoints[0].LoadReport.Capacity, endpoints[0].LoadReport.Free = 1000, 500
	for range 20 {
		for _, latency := range []float64{400, 20} {
			h.advance(50)
			h.establish(h.offerCall(endpoints[0]), latency)
		}
	}
	h.timeLeft = 200
	if call := h.offerCall(endpoints[0]); !call.Finished || call.Attempts > 0 {
		t.Error("answers took 20 and 400 ms by turns: a call with 200 ms left was sent")
	}
	h.timeLeft = 2000
	if call := h.offerCall(endpoints[0]); call.Finished {
		t.Error("a call with 2 s left was given up")
	}
	h.advance(1000)
	h.timeLeft = 200
	if call := h.offerCall(endpoints[0]); call.Finished {
		t.Error("a call with 200 ms left was given up a second later, when all work was done")
	}
}

// TestForecastFollowsMeanRate checks that callers are not kept waiting for a send rate that is higher than the mean for
// a moment only: a call is refused at once if the calls ahead take longer than its time at the mean rate.
func TestForecastFollowsMeanRate(t *testing.T) {
	const meanRate, momentaryRate = 5.0, 20.0
	h := newSteadyHost([]float64{meanRate}, 20)
	for range 500 {
		h.now += 10
		h.router.setTime(h.now)
		h.router.updateSendRate(h.endpoints[0])
	}
	state := stateOf(h.endpoints[0])
	state.tokens, state.sendRate = 0, momentaryRate/1000
	h.timeLeft = 2000
	for range 100 {
		h.offerCall(h.endpoints[0])
	}
	if waiting, most := len(h.router.queue), meanRate*h.timeLeft/1000; waiting == 0 || float64(waiting) > most {
		t.Errorf("%d calls wait for 2 s at a mean rate of %v a second, want 1 to %v", waiting, meanRate, most)
	}
}

// TestWaitsForDestinationWhileOthersReportNothingFree checks that a call waits for its destination, which shows free
// agents, while the only endpoint with a token reports no free capacity, and is refused if nothing else is there.
func TestWaitsForDestinationWhileOthersReportNothingFree(t *testing.T) {
	h, endpoints := newTestHost(2)
	h.router.settings.RetryAfterEnabled, h.router.settings.MaxRetryAfter = true, 60000
	endpoints[1].LoadReport.Utilization = 1
	h.router.OnLoadReport(h.now, endpoints[1], true, true)
	stateOf(endpoints[0]).pausedUntil = h.now + 300
	call := h.offerCall(endpoints[0])
	if h.advance(400); call.InFlight == nil || call.InFlight.Endpoint != endpoints[0] {
		t.Errorf("finished %v, %d attempts; want the call sent to its destination after the pause", call.Finished,
			call.Attempts)
	}
	endpoints[0].State = routing.Draining
	refused := h.offerCall(endpoints[0])
	if told := h.retryAfter[refused]; !refused.Finished || told != staleZeroAge-400 {
		t.Errorf("refused %v, told to return after %v ms; want that when the report is %v ms old", refused.Finished, told,
			staleZeroAge)
	}
}

// TestSlowAnswersOfRarelyHeardEndpointLast checks that an endpoint that is heard every few seconds only, because many
// gateways share it, is not taken for quick a second after slow answers: the others have kept it busy.
func TestSlowAnswersOfRarelyHeardEndpointLast(t *testing.T) {
	h, endpoints := newTestHost(1)
	endpoints[0].LoadReport.Capacity, endpoints[0].LoadReport.Free = 1000, 500
	for range 10 {
		for _, latency := range []float64{400, 20} {
			h.advance(4000)
			h.establish(h.offerCall(endpoints[0]), latency)
		}
	}
	h.timeLeft = 200
	h.advance(1000)
	if call := h.offerCall(endpoints[0]); !call.Finished || call.Attempts > 0 {
		t.Error("a call with 200 ms left was sent a second after slow answers")
	}
	h.advance(4000)
	if call := h.offerCall(endpoints[0]); call.Finished {
		t.Error("a call with 200 ms left was given up when nothing had been heard for a mean interval")
	}
}
