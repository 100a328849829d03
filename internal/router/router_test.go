package router

import (
	"math"
	"testing"

	"cobaltpier/internal/routing"
)

// TestLotteryProportions checks that the lottery draws endpoints in proportion to their capacity times the
// square of their free fraction, within 2 percentage points.
func TestLotteryProportions(t *testing.T) {
	h, endpoints := newTestHost(3)
	want := []float64{20 * 0.5 * 0.5, 10 * 0.8 * 0.8, 30 * 0.2 * 0.2}
	for i, r := range []routing.LoadReport{{RateLimit: 20, Utilization: 0.5}, {RateLimit: 10, Utilization: 0.2},
		{RateLimit: 30, Utilization: 0.8}} {
		endpoints[i].LoadReport.RateLimit, endpoints[i].LoadReport.Utilization = r.RateLimit, r.Utilization
		h.router.OnLoadReport(h.now, endpoints[i], true, true)
	}
	got := map[*routing.Endpoint]float64{}
	for i := 0; i < 20000; i++ {
		h.advance(1000)
		got[h.establish(h.offerCall(nil), 20).Endpoint]++
	}
	all := want[0] + want[1] + want[2]
	for i, endpoint := range endpoints {
		if d := got[endpoint]/20000 - want[i]/all; math.Abs(d) > 0.02 {
			t.Errorf("endpoint %d: share %.3f, want %.3f", i, got[endpoint]/20000, want[i]/all)
		}
	}
}

// TestDestinationPreferenceAndStaleZeroReport checks that a call goes to its destination while that has free
// capacity, and that a reported free fraction of 0 counts as a tenth after 2 s.
func TestDestinationPreferenceAndStaleZeroReport(t *testing.T) {
	h, endpoints := newTestHost(2)
	for i := 0; i < 50; i++ {
		h.advance(1000)
		if attempt := h.establish(h.offerCall(endpoints[1]), 20); attempt.Endpoint != endpoints[1] {
			t.Fatal("the destination had free capacity and was not selected")
		}
	}
	endpoints[0].LoadReport.Utilization = 1
	h.router.OnLoadReport(h.now, endpoints[0], true, true)
	if f := h.router.freeFraction(endpoints[0]); f != 0 {
		t.Errorf("after a report of 0: free fraction %v, want 0", f)
	}
	endpoints[1].State = routing.Draining
	h.advance(1000)
	if call := h.offerCall(endpoints[1]); !call.Finished {
		t.Error("the call was not rejected, although the only endpoint reports a free fraction of 0")
	}
	h.advance(1100)
	if call := h.offerCall(endpoints[1]); call.InFlight == nil || call.InFlight.Endpoint != endpoints[0] {
		t.Error("a call to a draining destination must go to another endpoint")
	}
	if f := h.router.freeFraction(endpoints[0]); f != staleZeroFreeFraction {
		t.Errorf("2 s after a report of 0: free fraction %v, want %v", f, staleZeroFreeFraction)
	}
}

// TestFailingDestinationAvoided checks that a destination that fails most setups gets few calls while
// another endpoint does not fail, and gets them back after it recovers. It keeps its calls if all endpoints
// fail at the same rate, or if the called numbers are busy.
func TestFailingDestinationAvoided(t *testing.T) {
	for _, c := range []struct {
		what        string
		fails       [2]float64
		engaged     bool
		least, most int // of 400 first attempts to the destination
	}{
		{"healthy", [2]float64{0, 0}, false, 400, 400},
		{"destination fails", [2]float64{0.8, 0}, false, 5, 60},
		{"both fail", [2]float64{0.8, 0.8}, false, 250, 400},
		{"busy numbers", [2]float64{0.8, 0}, true, 400, 400},
	} {
		h, endpoints := newTestHost(2)
		for _, endpoint := range endpoints {
			endpoint.LoadReport.Capacity, endpoint.LoadReport.Free = 1000, 800
		}
		play := func(n int, fails [2]float64) (home int) {
			for i := 0; i < n; i++ {
				h.advance(20)
				call := h.offerCall(endpoints[0])
				for first := true; call.InFlight != nil && !call.Finished; first = false {
					attempt, index := call.InFlight, 0
					if attempt.Endpoint == endpoints[1] {
						index = 1
					} else if first {
						home++
					}
					if h.router.random() >= fails[index] {
						h.establish(call, 20)
						break
					}
					attempt.NumberBusy = c.engaged
					h.endAttempt(call, routing.Failed)
				}
			}
			return
		}
		play(100, c.fails)
		if got := play(400, c.fails); got < c.least || got > c.most {
			t.Errorf("%s: %d of 400 went to the destination first, want %d to %d", c.what, got, c.least, c.most)
		}
		play(1000, [2]float64{})
		if got := play(400, [2]float64{}); got < 390 {
			t.Errorf("%s, after recovery: %d of 400 went to the destination first, want 390 at least", c.what, got)
		}
	}
}

// TestNoEndpoints checks that a call is rejected at once when there is no endpoint.
func TestNoEndpoints(t *testing.T) {
	h, _ := newTestHost(0)
	if call := h.offerCall(nil); !call.Finished || len(h.rejected) != 1 {
		t.Error("no endpoint: want the call rejected at once")
	}
}

// TestSendRateFollowsQueueingDelay checks that the send rate falls while setups are delayed at an endpoint,
// but not to zero, and recovers afterwards.
func TestSendRateFollowsQueueingDelay(t *testing.T) {
	h, endpoints := newTestHost(1)
	endpoints[0].LoadReport.Capacity, endpoints[0].LoadReport.Free = 1000, 500
	count := func(latency float64) int {
		before := len(h.attempts)
		for i := 0; i < 400; i++ {
			h.advance(10)
			h.offerCall(endpoints[0])
			for _, attempt := range h.attempts {
				if call := attempt.Call; call.InFlight == attempt && !call.Established {
					h.establish(call, latency)
				}
			}
		}
		return len(h.attempts) - before
	}
	undelayed, delayed, after := count(20), count(3000), count(20)
	if delayed*3 > undelayed || after*2 < undelayed || delayed == 0 {
		t.Errorf("setups sent: without delay %d, with delay %d, afterwards %d; want some but a third at most "+
			"with delay, and half at least afterwards", undelayed, delayed, after)
	}
}

// TestQueueByWeight checks that the calls of greatest weight are served when not all can be, whatever the
// order of arrival.
func TestQueueByWeight(t *testing.T) {
	h, endpoints := newTestHost(1)
	endpoints[0].LoadReport.Capacity, endpoints[0].LoadReport.Free = 20, 10
	small, big := *h.class, *h.class
	big.Weight = 8
	var got, all [2]int
	for i := 0; i < 2000; i++ {
		h.advance(10)
		h.class = &small
		if i%10 == 0 {
			h.class = &big
		}
		h.offerCall(endpoints[0])
	}
	for _, call := range h.calls {
		index := 0
		if call.Class == &big {
			index = 1
		}
		all[index]++
		if call.Attempts > 0 {
			got[index]++
		}
	}
	if low, high := float64(got[0])/float64(all[0]), float64(got[1])/float64(all[1]); high < 2*low || high == 0 {
		t.Errorf("served: %.2f of low weight, %.2f of high weight; want high at least twice low", low, high)
	}
}

// TestRepeatedCallerCountedOnce checks that a caller that calls again after it was not served is counted once
// in the offered load, that its next call is counted after it was served or its timeout is over, and that the
// repeated call has the place in the queue that its deadline gives it.
func TestRepeatedCallerCountedOnce(t *testing.T) {
	h, endpoints := newTestHost(1)
	h.number = "1"
	endpoints[0].State = routing.Draining
	first := h.offerCall(endpoints[0])
	h.advance(2500) // beyond the latency that any deployment aims at, within the caller's timeout
	before := h.router.offered.callers.Read(h.now)
	repeated := h.offerCall(endpoints[0])
	if after := h.router.offered.callers.Read(h.now); !first.Finished || !repeated.Finished || after != before {
		t.Fatalf("%v callers counted with the repeat, want %v as without", after, before)
	}
	h.advance(h.class.Timeout)
	before = h.router.offered.callers.Read(h.now)
	h.offerCall(endpoints[0])
	if after := h.router.offered.callers.Read(h.now); after != before+1 {
		t.Fatalf("%v callers counted, want %v: after its timeout a caller is a new one", after, before+1)
	}
	endpoints[0].State = routing.Ready
	stateOf(endpoints[0]).tokens = 0
	stateOf(endpoints[0]).pausedUntil = h.now + 200
	h.number = "other"
	other := h.offerCall(endpoints[0])
	h.number, h.timeLeft = "1", h.timeLeft-500
	repeated = h.offerCall(endpoints[0])
	if queue := h.router.queue; len(queue) != 2 || queue[0] != repeated || queue[1] != other {
		t.Error("the repeated call has less time left and must be first in the queue")
	}
	h.advance(1000)
	h.establish(repeated, 20)
	before = h.router.offered.callers.Read(h.now)
	h.offerCall(endpoints[0])
	if after := h.router.offered.callers.Read(h.now); after != before+1 {
		t.Errorf("%v callers counted, want %v: the next call of a caller that was served is no repeat", after, before+1)
	}
}

// TestOvertakenAttemptCanceled checks that an attempt is canceled as lost when a later one is answered
// first, and that it does not raise the expected delay.
func TestOvertakenAttemptCanceled(t *testing.T) {
	h, endpoints := newTestHost(1)
	endpoints[0].LoadReport.Capacity, endpoints[0].LoadReport.Free = 1000, 500
	h.establish(h.offerCall(endpoints[0]), 20)
	lost := h.offerCall(endpoints[0])
	h.advance(300)
	h.establish(h.offerCall(endpoints[0]), 20)
	if len(h.canceled) != 1 || h.canceled[0].Call != lost {
		t.Fatalf("%d attempts canceled, want the lost one", len(h.canceled))
	}
	if w := stateOf(endpoints[0]).expectedDelay(h.now, 0); w > h.router.targetDelay {
		t.Errorf("a lost attempt counts as a delay of %v, want %v at most", w, h.router.targetDelay)
	}
}

// TestUnresponsiveEndpointRestart checks that an endpoint that does not answer gets one attempt at a time,
// and that one that cut calls is in slow start when it answers again.
func TestUnresponsiveEndpointRestart(t *testing.T) {
	h, endpoints := newTestHost(1)
	endpoints[0].LoadReport.Capacity, endpoints[0].LoadReport.Free = 1000, 500
	established := h.offerCall(endpoints[0])
	h.establish(established, 20)
	for i := 0; i < 2; i++ {
		h.advance(100)
		h.endAttempt(h.offerCall(endpoints[0]), routing.TimedOut)
	}
	h.endAttempt(established, routing.Reset)
	h.advance(100)
	if call := h.offerCall(endpoints[0]); call.InFlight != nil {
		t.Error("an unresponsive endpoint got an attempt within a second of the latest one")
	}
	h.advance(1500)
	h.offerCall(endpoints[0])
	call := h.attempts[len(h.attempts)-1].Call
	if call.InFlight == nil || len(stateOf(endpoints[0]).inFlight) != 1 {
		t.Fatalf("%d attempts in flight to an unresponsive endpoint, want one", len(stateOf(endpoints[0]).inFlight))
	}
	h.establish(call, 20)
	if state := stateOf(endpoints[0]); state.startedAt != h.now {
		t.Error("an endpoint that cut calls and was unresponsive must be in slow start when it answers")
	}
}

// TestImplausibleReportIgnored checks that a reported queueing delay of weeks is ignored.
func TestImplausibleReportIgnored(t *testing.T) {
	h, endpoints := newTestHost(1)
	endpoints[0].LoadReport.Capacity, endpoints[0].LoadReport.Free,
		endpoints[0].LoadReport.QueueDelay = 1000, 500, 3e9
	h.router.OnLoadReport(h.now, endpoints[0], true, true)
	if w := stateOf(endpoints[0]).expectedDelay(h.now, 0); w != 0 {
		t.Errorf("expected delay %v, want 0", w)
	}
}

// TestNonIdempotentNotRetried checks that a call of a class that is not idempotent is not retried once a
// setup may have been executed.
func TestNonIdempotentNotRetried(t *testing.T) {
	h, endpoints := newTestHost(2)
	h.class.Idempotent = false
	call := h.offerCall(endpoints[0])
	h.endAttempt(call, routing.TimedOut)
	if len(h.failed) != 1 || call.Attempts != 1 {
		t.Errorf("%d calls failed after %d attempts, want 1 after 1", len(h.failed), call.Attempts)
	}
	call = h.offerCall(endpoints[0])
	h.endAttempt(call, routing.ConnectionRefused)
	if call.Attempts+len(h.router.queue) < 2 {
		t.Error("a setup that was never executed may be retried")
	}
}

// TestProbeInterval checks that each endpoint is probed every second if load reports are sent only for
// probes.
func TestProbeInterval(t *testing.T) {
	h, endpoints := newTestHost(2)
	h.router.settings.LoadReportsByProbe, h.router.settings.ProbeEnabled = true, true
	h.router.OnEndpoints(h.now, endpoints)
	h.advance(10100)
	if h.probes < 20 || h.probes > 22 {
		t.Errorf("%d probes of two endpoints in 10 s, want 20 to 22", h.probes)
	}
}

// TestBusyNumber checks that a number that answered busy gets no attempts for a pause, and then one at a
// time.
func TestBusyNumber(t *testing.T) {
	h, endpoints := newTestHost(1)
	endpoints[0].LoadReport.Capacity, endpoints[0].LoadReport.Free = 1000, 500
	h.number = "hot"
	call := h.offerCall(endpoints[0])
	call.InFlight.NumberBusy = true
	h.endAttempt(call, routing.Failed)
	if again := h.offerCall(endpoints[0]); !call.Finished || !again.Finished || again.Attempts > 0 {
		t.Error("a busy number was attempted again at once")
	}
	h.advance(busyNumberPause + 100)
	if one, two := h.offerCall(endpoints[0]), h.offerCall(endpoints[0]); one.Attempts != 1 || two.Attempts != 0 {
		t.Errorf("%d and %d attempts of two calls to the number after the pause, want 1 and 0",
			one.Attempts, two.Attempts)
	}
	h.number = "other"
	if call := h.offerCall(endpoints[0]); call.Attempts != 1 {
		t.Error("another number must not be affected")
	}
}

// TestPauseAfterOverload checks that an endpoint that rejects an attempt as overloaded gets none for a
// short pause, not for the time in which a long delay estimate decays.
func TestPauseAfterOverload(t *testing.T) {
	h, endpoints := newTestHost(1)
	endpoints[0].LoadReport.Capacity, endpoints[0].LoadReport.Free = 1000, 500
	h.establish(h.offerCall(endpoints[0]), 20)
	h.advance(1000)
	h.endAttempt(h.offerCall(endpoints[0]), routing.Overloaded)
	sent := len(h.attempts)
	if h.offerCall(endpoints[0]); len(h.attempts) > sent {
		t.Error("the overloaded endpoint got an attempt at once, want none during the pause")
	}
	if h.advance(overloadPause + 300); len(h.attempts) == sent {
		t.Error("the overloaded endpoint got no attempt after the pause, want one")
	}
}

// TestIncompleteSettings checks that calls are attempted, or rejected if there is no endpoint, without most
// settings.
func TestIncompleteSettings(t *testing.T) {
	for _, settings := range []routing.Settings{{}, {Classes: []*routing.Class{{}}}, {LoadReportsByProbe: true,
		RetryAfterEnabled: true}} {
		h, endpoints := newTestHost(1)
		h.router = New(&settings, h)
		endpoints[0].PolicyState = nil
		h.router.OnEndpoints(h.now, endpoints)
		for i := 0; i < 20; i++ {
			h.now += 1000
			call := h.offerCall(endpoints[0])
			if call.InFlight == nil {
				t.Fatalf("call %d with settings %+v: not attempted", i, settings)
			}
			h.establish(call, 20)
		}
		endpoints[0].State = routing.Gone
		h.router.OnEndpoints(h.now, endpoints)
		if call := h.offerCall(endpoints[0]); !call.Finished {
			t.Errorf("no endpoint left with settings %+v: want the call answered at once", settings)
		}
	}
}

// TestBacklogAfterStall checks that, after a stall of the gateway, a call that waited unread is ahead of those
// with more time left and is given up if it has no time for a setup, and that delayed answers do not count as
// queueing delay.
func TestBacklogAfterStall(t *testing.T) {
	h, endpoints := newTestHost(1)
	endpoints[0].LoadReport.Capacity, endpoints[0].LoadReport.Free = 1000, 500
	h.establish(h.offerCall(endpoints[0]), 20)
	h.advance(100)
	call := h.offerCall(endpoints[0])
	h.now += 1800
	stateOf(endpoints[0]).pausedUntil = h.now + 100
	fresh := h.offerCall(endpoints[0])
	h.timeLeft -= 1500
	late := h.offerCall(endpoints[0])
	if queue := h.router.queue; len(queue) != 2 || queue[0] != late || queue[1] != fresh {
		t.Errorf("the call with %v ms left must be ahead of the one with 1500 ms more", h.timeLeft)
	}
	h.timeLeft = 15
	if tooLate := h.offerCall(endpoints[0]); !tooLate.Finished || tooLate.Attempts > 0 {
		t.Error("a call that has less time left than a setup takes must be given up at once")
	}
	stateOf(endpoints[0]).pausedUntil, h.timeLeft = 0, 3000
	h.establish(call, 1800)
	if w := stateOf(endpoints[0]).expectedDelay(h.now, 0); w != 0 {
		t.Errorf("expected delay %v, want 0", w)
	}
	h.now += 2000
	slow := h.offerCall(endpoints[0])
	h.advance(5)
	if h.establish(slow, 1800); stateOf(endpoints[0]).expectedDelay(h.now, 0) < h.router.targetDelay {
		t.Error("a delay measured without a stall must count")
	}
}

// TestGossip checks that a delay far from the estimate is sent to other gateways, and that they use it for
// endpoints without recent load updates and ignore malformed messages.
func TestGossip(t *testing.T) {
	h, endpoints := newTestHost(2)
	h.router.settings.GossipEnabled, h.router.settings.Gateways = true, 200
	h.establish(h.offerCall(endpoints[1]), 20)
	if h.advance(1000); len(h.gossip) > 0 {
		t.Error("an attempt answered without delay must not be sent as gossip")
	}
	h.establish(h.offerCall(endpoints[1]), 2000)
	if len(h.gossip) == 0 || len(h.gossip) > gossipFanout {
		t.Fatalf("%d gossip messages, want 1 to %d", len(h.gossip), gossipFanout)
	}
	other, others := newTestHost(2)
	for _, malformed := range [][]byte{nil, {1}, {99, 200}, {99}} {
		other.router.OnGossip(other.now, -5, malformed)
	}
	other.router.OnGossip(other.now+2000, 1<<30, append(h.gossip[0], 1))
	if a, b := stateOf(others[0]).delay, stateOf(others[1]).delay; a != 0 || b < other.router.targetDelay {
		t.Errorf("delay estimates %v and %v, want 0 and the target delay at least", a, b)
	}
}

// TestGatewayCounts checks that calls are attempted with any configured number of gateways, and that the
// minimum send rates of all gateways add up to little.
func TestGatewayCounts(t *testing.T) {
	for _, count := range []int{-1, 0, 1, 300} {
		h, endpoints := newTestHost(1)
		h.router.settings.Gateways = count
		endpoints[0].LoadReport.Capacity, endpoints[0].LoadReport.Free = 1000, 500
		for i := 0; i < 60; i++ {
			h.advance(3000)
			if call := h.offerCall(endpoints[0]); call.InFlight != nil {
				h.establish(call, 20)
			}
		}
		if len(h.attempts) < 30 {
			t.Errorf("%d gateways: %d of 60 calls attempted, want 30 at least", count, len(h.attempts))
		}
		for i := 0; i < 100; i++ { // a long period of congestion
			h.advance(100)
			h.router.setTime(h.now)
			h.router.recordDelay(stateOf(endpoints[0]), 9e9)
			h.router.updateSendRate(endpoints[0])
		}
		if all := stateOf(endpoints[0]).sendRate * float64(max(1, count)); !(all > 0) ||
			all > 0.05*h.router.callCapacity(endpoints[0])/1000 {
			t.Errorf("%d gateways: minimum send rate of all is %v setups per ms, want more than 0 and "+
				"5%% of the capacity at most", count, all)
		}
	}
}

// TestAttemptsBeforeRestartIgnored checks that attempts sent before an endpoint's start do not affect its
// state.
func TestAttemptsBeforeRestartIgnored(t *testing.T) {
	h, endpoints := newTestHost(1)
	endpoints[0].LoadReport.Capacity, endpoints[0].LoadReport.Free = 1000, 500
	h.establish(h.offerCall(endpoints[0]), 20)
	h.advance(1000)
	a, b := h.offerCall(endpoints[0]), h.offerCall(endpoints[0])
	h.advance(1000)
	endpoints[0].StartedAt = h.now
	h.router.OnEndpoints(h.now, endpoints)
	h.advance(1500)
	h.endAttempt(a, routing.TimedOut)
	h.endAttempt(b, routing.TimedOut)
	if state := stateOf(endpoints[0]); state.unanswered > 0 || state.expectedDelay(h.now, 0) > 0 {
		t.Errorf("%d unanswered attempts and expected delay %v after a restart, want 0 and 0",
			state.unanswered, state.expectedDelay(h.now, 0))
	}
}
