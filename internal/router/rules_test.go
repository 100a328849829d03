package router

import (
	"fmt"
	"math"
	"math/rand"
	"sort"
	"testing"
	"testing/quick"

	"cobaltpier/internal/routing"
)

// TestRulesByModel runs the policy on generated streams of events beside the plain model in the test host,
// which looks at every send and every answer: calls, redials, lost, late, cut and refused setups, drains,
// cold starts, lying reports and gateways that start with an old list.
func TestRulesByModel(t *testing.T) {
	stream := func(seed int64) (ok bool) {
		ok = true
		rnd := rand.New(rand.NewSource(seed))
		h, ps := newTestHost(1 + rnd.Intn(4))
		h.onBrokenRule = func(rule int, what string) {
			ok = false
			t.Logf("seed %d: rule %d at %v: %s", seed, rule, h.now, what)
		}
		for _, endpoint := range ps {
			endpoint.LoadReport.Capacity, endpoint.LoadReport.Free = 200, 100
		}
		open := map[*routing.Attempt]float64{} // when each attempt out will end or stand
		for i := 0; i < 2500; i++ {
			h.advance(5 * float64(1+rnd.Intn(4)))
			endpoint := ps[rnd.Intn(len(ps))]
			switch rnd.Intn(60) {
			case 0:
				endpoint.State = routing.State(rnd.Intn(3))
				if h.drained[endpoint] && endpoint.State == routing.Ready {
					endpoint.StartedAt, h.startedAt[endpoint], h.sentAt[endpoint] = h.now, h.now, nil // it comes back cold
				}
				h.drained[endpoint] = endpoint.State != routing.Ready
				h.router.OnEndpoints(h.now, []*routing.Endpoint{endpoint})
			case 1:
				endpoint.LoadReport.Utilization, endpoint.LoadReport.QueueDelay = 2*rnd.Float64(), rnd.ExpFloat64()*1000
				endpoint.LoadReport.Free = float64(rnd.Intn(100))
				h.router.OnLoadReport(h.now, endpoint, true, true)
			case 2:
				if call := pick(rnd, h.calls); call != nil && !call.Finished && !call.Established && h.inFlight[call] == 0 {
					call.Finished, h.finished[call] = true, true // the caller leaves early
					h.router.OnHangup(h.now, call)
				}
			default:
				h.timeLeft = 200 + rnd.Float64()*3000
				h.number = fmt.Sprint(rnd.Intn(400))
				h.offerCall(endpoint)
			}
			for _, attempt := range h.attempts[max(0, len(h.attempts)-400):] {
				if _, known := open[attempt]; !known && attempt.Call.InFlight == attempt {
					open[attempt] = h.now + rnd.ExpFloat64()*[]float64{50, 50, 400, 9000}[rnd.Intn(4)]
				}
			}
			for _, attempt := range h.cancelled {
				if attempt.Call.InFlight == attempt && !attempt.Call.Established {
					h.finish(open, attempt, routing.Canceled)
				}
			}
			h.cancelled = nil
			for _, attempt := range h.attempts {
				at, known := open[attempt]
				switch call := attempt.Call; {
				case !known:
				case !call.Established && h.now >= call.Deadline:
					h.finish(open, attempt, routing.TimedOut)
				case h.now < at:
				case call.Established:
					h.finish(open, attempt, []routing.Outcome{routing.Completed, routing.Reset}[rnd.Intn(2)])
				case rnd.Intn(3) == 0:
					h.finish(open, attempt, routing.Outcome(1+rnd.Intn(7)))
				default:
					h.establish(call, h.now-attempt.SentAt)
					open[attempt] = h.now + rnd.ExpFloat64()*5000
				}
			}
		}
		h.advance(4000)
		for _, call := range h.calls {
			if call.InFlight == nil && !h.finished[call] {
				h.reportBroken(1, "never answered")
			}
		}
		rate := float64(len(h.calls)) / (h.now - 1e6) * 1000 / float64(len(ps)) // what a warm endpoint is sent a second
		// rule 4: any window, with one setup for chance
		for endpoint, at := range h.startedAt {
			for i, from := range h.sentAt[endpoint] {
				part := 0.3 + 0.7*(from+1000-at)/14000
				if n := within(h.sentAt[endpoint][i:], from+1000); part < 1 && float64(n) > 1+2.5*part*rate {
					h.reportBroken(4, fmt.Sprintf("%d setups in a second to a cold endpoint", n))
				}
			}
		}
		return ok
	}
	if err := quick.Check(stream, &quick.Config{MaxCount: 40, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

// TestFleetAndColdPool puts many modules beside one endpoint that starts cold, on generated inputs, and counts what
// they send it together in every window that tips it. They hear of the start at different times, some were restarted
// with an old list, some stand still and find a backlog, and the endpoint was down for long before: no time earns a
// burst.
func TestFleetAndColdPool(t *testing.T) {
	fleet := func(seed int64) bool {
		rnd := rand.New(rand.NewSource(seed))
		pools, gateways := 2+rnd.Intn(8), 5+rnd.Intn(250)
		lines, every := 200+rnd.Float64()*800, 200+rnd.Float64()*600 // of each endpoint; between calls at a gateway
		var hs []*testHost
		told := make([]float64, gateways)
		for i := 0; i < gateways; i++ {
			h, ps := newTestHost(pools)
			h.now += rnd.Float64() * 5 // gateways are not in step
			h.router.settings.Gateways, h.router.settings.Seed = gateways, uint64(seed)+uint64(i)*7919
			for _, endpoint := range ps {
				endpoint.LoadReport.Capacity, endpoint.LoadReport.Free = lines, lines/2
				stateOf(endpoint).tokens = rnd.Float64()
			}
			hs = append(hs, h)
			told[i] = rnd.Float64() * 500
		}
		start, end := 1e6+6000.0, 1e6+6000+10000
		var sent []float64
		for i, h := range hs {
			endpoint := h.router.endpoints[0]
			endpoint.State = routing.Gone // down before: calls come all the time
			h.router.OnEndpoints(h.now, []*routing.Endpoint{endpoint})
			next, heard := h.now+rnd.ExpFloat64()*every, false
			for h.now < end {
				if rnd.Intn(400) == 0 { // it stalls, and finds what came meanwhile
					h.now += 1500
				}
				h.advance(10)
				if !heard && h.now >= start+told[i] {
					heard, endpoint.State, endpoint.StartedAt = true, routing.Ready, start
					for _, other := range h.router.destinations {
						if other != endpoint {
							other.State = routing.Draining // all that comes wants the cold endpoint
						}
					}
					h.router.OnEndpoints(h.now, h.router.destinations)
				}
				for ; next < h.now; next += rnd.ExpFloat64() * every {
					if call := h.offerCall(h.router.destinations[rnd.Intn(pools)]); call.InFlight != nil && !call.Established {
						h.establish(call, 20+rnd.Float64()*40)
					}
				}
				for _, attempt := range h.attempts[max(0, len(h.attempts)-50):] {
					if call := attempt.Call; call.InFlight == attempt && !call.Established {
						h.establish(call, 60)
					}
				}
			}
			sent = append(sent, h.sentAt[endpoint]...)
		}
		sort.Float64s(sent)
		warm := float64(gateways) / every * 1000 / float64(pools) // the load of a place, in setups a second
		for i, from := range sent {
			part := math.Min(1, 0.3+0.7*(from+500-start)/14000)
			if n, most := within(sent[i:], from+1000), 2.5*part*warm; float64(n) > most+math.Sqrt(most)+1 {
				t.Logf("seed %d: %d gateways, %d endpoints: %d setups in a second, %.0f ms after the start, budget %.0f",
					seed, gateways, pools, n, from-start, most)
				return false
			}
		}
		return len(sent) > 0
	}
	if err := quick.Check(fleet, &quick.Config{MaxCount: 8, Rand: rand.New(rand.NewSource(2))}); err != nil {
		t.Error(err)
	}
}

// TestFewGatewaysAndColdPools has twenty or thirty modules beside endpoints that start cold in one step, while all
// gateways are restarted, a few at a time, and forget what they sent. They are told of the start at once or late. In no
// window that tips an endpoint do all of them send it more than N + 2 root N + 2, N being what the settings allow it
// then.
func TestFewGatewaysAndColdPools(t *testing.T) {
	worst := 0.0
	for seed := int64(1); seed <= 24; seed++ {
		rnd := rand.New(rand.NewSource(seed))
		pools, gateways := 3+rnd.Intn(8), []int{20, 30}[seed%2]
		lines, every := 100+rnd.Float64()*400, 150+rnd.Float64()*600
		cold := 1 + rnd.Intn(pools/2) // so many of the endpoints start in one step
		late := []float64{0, 500, 1500}[rnd.Intn(3)]
		const start, end = 1e6 + 6000.0, 1e6 + 6000 + 12000
		sent := make([][]float64, cold)
		for i := range gateways {
			told, restart := rnd.Float64()*late, start+rnd.Float64()*8000
			begin := func(at float64, again int) (*testHost, []*routing.Endpoint) {
				h, ps := newTestHost(pools)
				h.now = at
				h.router.settings.Gateways, h.router.settings.Seed = gateways, uint64(seed)*1e6+uint64(i)*7919+uint64(again)
				for _, endpoint := range ps {
					endpoint.LoadReport.Capacity, endpoint.LoadReport.Free = lines, lines/2
				}
				return h, ps
			}
			h, ps := begin(1e6+rnd.Float64()*5, 0)
			for k := range cold {
				ps[k].State = routing.Gone // down before: calls come all the time
			}
			h.router.OnEndpoints(h.now, ps[:cold])
			heard, again := false, false
			next := h.now + rnd.ExpFloat64()*every
			for h.now < end {
				h.advance(10)
				if !again && h.now >= restart {
					again = true
					for k := range cold {
						sent[k] = append(sent[k], h.sentAt[ps[k]]...)
					}
					h, ps = begin(h.now+200, 1)
					next = h.now + rnd.ExpFloat64()*every
					if heard = h.now >= start+told; !heard {
						for k := range cold {
							ps[k].State = routing.Gone
						}
						h.router.OnEndpoints(h.now, ps[:cold])
					}
					for k := range cold {
						if heard { // it is told of the start with its first list
							ps[k].StartedAt = start
						}
					}
					h.router.OnEndpoints(h.now, ps[:cold])
				}
				if !heard && h.now >= start+told {
					heard = true
					for k := range cold {
						ps[k].State, ps[k].StartedAt = routing.Ready, start
					}
					h.router.OnEndpoints(h.now, ps[:cold])
				}
				for ; next < h.now; next += rnd.ExpFloat64() * every {
					h.offerCall(ps[rnd.Intn(pools)])
				}
				for _, attempt := range h.attempts[max(0, len(h.attempts)-50):] {
					if call := attempt.Call; call.InFlight == attempt && !call.Established && h.now > attempt.SentAt+30 {
						h.establish(call, 30)
					}
				}
			}
			for k := range cold {
				sent[k] = append(sent[k], h.sentAt[ps[k]]...)
			}
		}
		warm := float64(gateways) / every * 1000 / float64(pools) // the load of a place, in setups a second
		total := 0
		for _, of := range sent {
			sort.Float64s(of)
			total += len(of)
			for i, from := range of {
				part := math.Min(1, 0.3+0.7*(from+500-start)/14000)
				n, budget := within(of[i:], from+1000), 2.5*part*warm
				most := budget + 2*math.Sqrt(budget) + 2
				worst = math.Max(worst, float64(n)/most)
				if float64(n) > most {
					t.Errorf(
						"seed %d: %d gateways, %d of %d endpoints cold: %d setups in a second, %.0f ms after the start, at most %.1f",
						seed,
						gateways,
						cold,
						pools,
						n,
						from-start,
						most,
					)
					break
				}
			}
		}
		if total == 0 {
			t.Errorf("seed %d: nothing was sent to a cold endpoint", seed)
		}
	}
	t.Logf("at most %.2f of what tips an endpoint", worst)
}

// finish ends an attempt and forgets it.
func (h *testHost) finish(open map[*routing.Attempt]float64, attempt *routing.Attempt, end routing.Outcome) {
	delete(open, attempt)
	h.endAttempt(attempt.Call, end)
}

func pick(rnd *rand.Rand, of []*routing.Call) *routing.Call {
	if len(of) == 0 {
		return nil
	}
	return of[rnd.Intn(len(of))]
}

func within(times []float64, end float64) (n int) {
	for _, at := range times {
		if at < end {
			n++
		}
	}
	return n
}
