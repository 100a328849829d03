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

// TestRulesAgainstModel runs the router on generated events. The model in the test host checks every
// attempt and every final answer. The events are calls, retries by callers, attempts that are lost, late,
// reset or refused, drains, slow starts, wrong load reports and gateways that start with an old list.
func TestRulesAgainstModel(t *testing.T) {
	check := func(seed int64) bool {
		s := newRuleWorkload(t, seed)
		for range 2500 {
			s.step()
		}
		s.h.advance(4000)
		s.checkAnswered()
		s.checkSlowStart()
		return !s.violated
	}
	if err := quick.Check(check, &quick.Config{MaxCount: 40, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

// ruleWorkload is a generated sequence of events for one router.
type ruleWorkload struct {
	h         *testHost
	rnd       *rand.Rand
	endpoints []*routing.Endpoint
	open      map[*routing.Attempt]float64 // when each attempt in flight is answered or ends
	violated  bool
}

func newRuleWorkload(t *testing.T, seed int64) *ruleWorkload {
	w := &ruleWorkload{rnd: rand.New(rand.NewSource(seed)), open: map[*routing.Attempt]float64{}}
	w.h, w.endpoints = newTestHost(1 + w.rnd.Intn(4))
	w.h.onViolation = func(rule int, what string) {
		w.violated = true
		t.Logf("seed %d: rule %d at %v: %s", seed, rule, w.h.now, what)
	}
	for _, endpoint := range w.endpoints {
		endpoint.LoadReport.Capacity, endpoint.LoadReport.Free = 200, 100
	}
	return w
}

// step advances the time and makes one event happen.
func (w *ruleWorkload) step() {
	w.h.advance(5 * float64(1+w.rnd.Intn(4)))
	endpoint := w.endpoints[w.rnd.Intn(len(w.endpoints))]
	switch w.rnd.Intn(60) {
	case 0:
		w.changeState(endpoint)
	case 1:
		endpoint.LoadReport.Utilization, endpoint.LoadReport.QueueDelay = 2*w.rnd.Float64(), w.rnd.ExpFloat64()*1000
		endpoint.LoadReport.Free = float64(w.rnd.Intn(100))
		w.h.router.OnLoadReport(w.h.now, endpoint, true, true)
	case 2:
		w.hangUp()
	default:
		w.h.timeLeft = 200 + w.rnd.Float64()*3000
		w.h.number = fmt.Sprint(w.rnd.Intn(400))
		w.h.offerCall(endpoint)
	}
	w.planOutcomes()
	w.endCanceled()
	for _, attempt := range w.h.attempts {
		w.progress(attempt)
	}
}

// changeState changes the state of an endpoint; one that becomes ready again is in slow start.
func (w *ruleWorkload) changeState(endpoint *routing.Endpoint) {
	endpoint.State = routing.State(w.rnd.Intn(3))
	if w.h.drained[endpoint] && endpoint.State == routing.Ready {
		endpoint.StartedAt, w.h.startedAt[endpoint], w.h.sentAt[endpoint] = w.h.now, w.h.now, nil
	}
	w.h.drained[endpoint] = endpoint.State != routing.Ready
	w.h.router.OnEndpoints(w.h.now, []*routing.Endpoint{endpoint})
}

// hangUp has a caller hang up before its answer.
func (w *ruleWorkload) hangUp() {
	call := randomCall(w.rnd, w.h.calls)
	if call == nil || call.Finished || call.Established || w.h.inFlight[call] > 0 {
		return
	}
	call.Finished, w.h.finished[call] = true, true
	w.h.router.OnHangup(w.h.now, call)
}

// planOutcomes draws the time at which each new attempt is answered or ends.
func (w *ruleWorkload) planOutcomes() {
	for _, attempt := range w.h.attempts[max(0, len(w.h.attempts)-400):] {
		if _, known := w.open[attempt]; !known && attempt.Call.InFlight == attempt {
			w.open[attempt] = w.h.now + w.rnd.ExpFloat64()*[]float64{50, 50, 400, 9000}[w.rnd.Intn(4)]
		}
	}
}

// endCanceled ends the attempts that the router has canceled.
func (w *ruleWorkload) endCanceled() {
	for _, attempt := range w.h.canceled {
		if attempt.Call.InFlight == attempt && !attempt.Call.Established {
			w.h.finish(w.open, attempt, routing.Canceled)
		}
	}
	w.h.canceled = nil
}

// progress answers or ends an attempt when it is due.
func (w *ruleWorkload) progress(attempt *routing.Attempt) {
	due, known := w.open[attempt]
	switch call := attempt.Call; {
	case !known:
	case !call.Established && w.h.now >= call.Deadline:
		w.h.finish(w.open, attempt, routing.TimedOut)
	case w.h.now < due:
	case call.Established:
		w.h.finish(w.open, attempt, []routing.Outcome{routing.Completed, routing.Reset}[w.rnd.Intn(2)])
	case w.rnd.Intn(3) == 0:
		w.h.finish(w.open, attempt, routing.Outcome(1+w.rnd.Intn(7)))
	default:
		w.h.establish(call, w.h.now-attempt.SentAt)
		w.open[attempt] = w.h.now + w.rnd.ExpFloat64()*5000
	}
}

// checkAnswered checks that no call is left without a final answer (rule 1).
func (w *ruleWorkload) checkAnswered() {
	for _, call := range w.h.calls {
		if call.InFlight == nil && !w.h.finished[call] {
			w.h.reportViolation(1, "never answered")
		}
	}
}

// checkSlowStart checks every window of an endpoint in slow start against rule 4, allowing one setup for
// chance.
func (w *ruleWorkload) checkSlowStart() {
	// setups per second to an endpoint at full capacity
	rate := float64(len(w.h.calls)) / (w.h.now - 1e6) * 1000 / float64(len(w.endpoints))
	for endpoint, startedAt := range w.h.startedAt {
		for i, from := range w.h.sentAt[endpoint] {
			part := 0.3 + 0.7*(from+1000-startedAt)/14000
			if n := countBefore(w.h.sentAt[endpoint][i:], from+1000); part < 1 && float64(n) > 1+2.5*part*rate {
				w.h.reportViolation(4, fmt.Sprintf("%d setups in a second to an endpoint in slow start", n))
			}
		}
	}
}

// Slow start of endpoints in tests with several gateways: when it begins, and how capacity grows.
const (
	fleetStart      = 1e6 + 6000.0
	initialFraction = 0.3
	slowStartLength = 14000.0 // ms
	overloadFactor  = 2.5
	window          = 1000.0 // ms
)

// budget returns how many setups an endpoint may be sent in the window that begins at a time; fullRate is the
// endpoint's normal load in setups per second.
func budget(from, fullRate float64) float64 {
	part := math.Min(1, initialFraction+(1-initialFraction)*(from+window/2-fleetStart)/slowStartLength)
	return overloadFactor * part * fullRate
}

// TestSlowStartWithManyGateways runs many routers with one endpoint in slow start, on generated inputs, and
// counts the setups of all routers in every window. The routers learn of the start at different times, some
// were restarted with an old list, some stall and find a backlog, and the endpoint was down for long
// before. None of this may cause a burst.
func TestSlowStartWithManyGateways(t *testing.T) {
	check := func(seed int64) bool {
		f := newSlowStartFleet(seed)
		sent := f.run()
		fullRate := float64(f.gateways) / f.interval * 1000 / float64(f.endpoints)
		for i, from := range sent {
			n, most := countBefore(sent[i:], from+window), budget(from, fullRate)
			if float64(n) > most+math.Sqrt(most)+1 {
				t.Logf("seed %d: %d gateways, %d endpoints: %d setups in a second, %.0f ms after the start, budget %.0f",
					seed, f.gateways, f.endpoints, n, from-fleetStart, most)
				return false
			}
		}
		return len(sent) > 0
	}
	if err := quick.Check(check, &quick.Config{MaxCount: 8, Rand: rand.New(rand.NewSource(2))}); err != nil {
		t.Error(err)
	}
}

// slowStartFleet is many gateways that share endpoints, of which the first is in slow start.
type slowStartFleet struct {
	rnd       *rand.Rand
	endpoints int
	gateways  int
	interval  float64 // ms between calls at a gateway
	hosts     []*testHost
	listDelay []float64 // ms after the start, by gateway
}

func newSlowStartFleet(seed int64) *slowStartFleet {
	rnd := rand.New(rand.NewSource(seed))
	f := &slowStartFleet{rnd: rnd, endpoints: 2 + rnd.Intn(8), gateways: 5 + rnd.Intn(250)}
	capacity := 200 + rnd.Float64()*800
	f.interval = 200 + rnd.Float64()*600
	f.listDelay = make([]float64, f.gateways)
	for i := range f.gateways {
		h, endpoints := newTestHost(f.endpoints)
		h.now += rnd.Float64() * 5 // gateways run out of phase
		h.router.settings.Gateways, h.router.settings.Seed = f.gateways, uint64(seed)+uint64(i)*7919
		for _, endpoint := range endpoints {
			endpoint.LoadReport.Capacity, endpoint.LoadReport.Free = capacity, capacity/2
			stateOf(endpoint).tokens, stateOf(endpoint).slowStartTokens = rnd.Float64(), rnd.Float64()
		}
		f.hosts = append(f.hosts, h)
		f.listDelay[i] = rnd.Float64() * 500
	}
	return f
}

// run simulates all gateways and returns the times of the setups sent to the endpoint in slow start, in
// order.
func (f *slowStartFleet) run() []float64 {
	var sent []float64
	for i, h := range f.hosts {
		sent = append(sent, f.runGateway(h, f.listDelay[i])...)
	}
	sort.Float64s(sent)
	return sent
}

func (f *slowStartFleet) runGateway(h *testHost, listDelay float64) []float64 {
	starting := h.router.endpoints[0]
	starting.State = routing.Gone // it is down at first while calls arrive
	h.router.OnEndpoints(h.now, []*routing.Endpoint{starting})
	next, listed := h.now+f.rnd.ExpFloat64()*f.interval, false
	for h.now < fleetStart+10000 {
		if f.rnd.Intn(400) == 0 { // stall; the events of the meantime are read at once
			h.now += 1500
		}
		h.advance(10)
		if !listed && h.now >= fleetStart+listDelay {
			listed = true
			announceStart(h, starting)
		}
		for ; next < h.now; next += f.rnd.ExpFloat64() * f.interval {
			call := h.offerCall(h.router.destinations[f.rnd.Intn(f.endpoints)])
			if call.InFlight != nil && !call.Established {
				h.establish(call, 20+f.rnd.Float64()*40)
			}
		}
		h.establishInFlight(0, 60)
	}
	return h.sentAt[starting]
}

// announceStart reports the start of the endpoint while all others drain, so that every call is sent to
// that one.
func announceStart(h *testHost, starting *routing.Endpoint) {
	starting.State, starting.StartedAt = routing.Ready, fleetStart
	for _, other := range h.router.destinations {
		if other != starting {
			other.State = routing.Draining
		}
	}
	h.router.OnEndpoints(h.now, h.router.destinations)
}

// TestSlowStartWithRestartedGateways runs twenty or thirty routers with endpoints that start at the same
// time, while all gateways are restarted, a few at a time, and lose their state. The gateways learn of the
// start at once or late. In no window may all of them send such an endpoint more than N + 2 root N + 2
// setups, where N is what the settings allow then.
func TestSlowStartWithRestartedGateways(t *testing.T) {
	worst := 0.0
	for seed := int64(1); seed <= 24; seed++ {
		f := newRestartingFleet(seed)
		fullRate := float64(f.gateways) / f.interval * 1000 / float64(f.endpoints)
		total := 0
		for _, sent := range f.run() {
			total += len(sent)
			use, at, n := maxBudgetUse(sent, fullRate)
			worst = math.Max(worst, use)
			if use > 1 {
				t.Errorf("seed %d: %d gateways, %d of %d endpoints starting: %d setups in a second, %.0f ms after start",
					seed, f.gateways, f.slowStartCount, f.endpoints, n, at-fleetStart)
			}
		}
		if total == 0 {
			t.Errorf("seed %d: nothing was sent to an endpoint in slow start", seed)
		}
	}
	t.Logf("at most %.2f of the limit was used", worst)
}

// maxBudgetUse returns the largest used fraction of the limit in any window, when that window begins and
// its number of setups.
func maxBudgetUse(sent []float64, fullRate float64) (use, at float64, n int) {
	for i, from := range sent {
		count, allowed := countBefore(sent[i:], from+window), budget(from, fullRate)
		if part := float64(count) / (allowed + 2*math.Sqrt(allowed) + 2); part > use {
			use, at, n = part, from, count
		}
	}
	return use, at, n
}

// restartingFleet is a few gateways, each restarted once, that share endpoints of which the first ones are
// in slow start.
type restartingFleet struct {
	seed           int64
	rnd            *rand.Rand
	endpoints      int
	gateways       int
	capacity       float64
	interval       float64 // ms between calls at a gateway
	slowStartCount int
	maxListDelay   float64 // ms: gateways learn of the start within this
}

func newRestartingFleet(seed int64) *restartingFleet {
	rnd := rand.New(rand.NewSource(seed))
	f := &restartingFleet{seed: seed, rnd: rnd}
	f.endpoints, f.gateways = 3+rnd.Intn(8), []int{20, 30}[seed%2]
	f.capacity, f.interval = 100+rnd.Float64()*400, 150+rnd.Float64()*600
	f.slowStartCount = 1 + rnd.Intn(f.endpoints/2)
	f.maxListDelay = []float64{0, 500, 1500}[rnd.Intn(3)]
	return f
}

// run simulates all gateways and returns, for each endpoint in slow start, the times of the setups sent to
// it, in order.
func (f *restartingFleet) run() [][]float64 {
	sent := make([][]float64, f.slowStartCount)
	for i := range f.gateways {
		listDelay, restartAt := f.rnd.Float64()*f.maxListDelay, fleetStart+f.rnd.Float64()*8000
		g := &restartingGateway{
			fleet: f, index: i, sent: sent, listedAt: fleetStart + listDelay, restartAt: restartAt}
		g.run()
	}
	for _, times := range sent {
		sort.Float64s(times)
	}
	return sent
}

// restartingGateway is one gateway of a restartingFleet.
type restartingGateway struct {
	fleet     *restartingFleet
	index     int
	sent      [][]float64
	listedAt  float64
	restartAt float64

	h          *testHost
	endpoints  []*routing.Endpoint
	listed     bool
	restarted  bool
	nextCallAt float64
}

// startProcess starts a gateway process without any state of the one before.
func (g *restartingGateway) startProcess(at float64, incarnation int) {
	f := g.fleet
	g.h, g.endpoints = newTestHost(f.endpoints)
	g.h.now = at
	settings := g.h.router.settings
	settings.Gateways = f.gateways
	settings.Seed = uint64(f.seed)*1e6 + uint64(g.index)*7919 + uint64(incarnation)
	for _, endpoint := range g.endpoints {
		endpoint.LoadReport.Capacity, endpoint.LoadReport.Free = f.capacity, f.capacity/2
	}
}

func (g *restartingGateway) run() {
	f := g.fleet
	g.startProcess(1e6+f.rnd.Float64()*5, 0)
	g.updateStarting(routing.Gone, 0) // it is down at first while calls arrive
	g.nextCallAt = g.h.now + f.rnd.ExpFloat64()*f.interval
	for g.h.now < fleetStart+12000 {
		g.h.advance(10)
		if !g.restarted && g.h.now >= g.restartAt {
			g.restart()
		}
		if !g.listed && g.h.now >= g.listedAt {
			g.listed = true
			g.updateStarting(routing.Ready, fleetStart)
		}
		for ; g.nextCallAt < g.h.now; g.nextCallAt += f.rnd.ExpFloat64() * f.interval {
			g.h.offerCall(g.endpoints[f.rnd.Intn(f.endpoints)])
		}
		g.h.establishInFlight(30, 30)
	}
	g.collect()
}

// restart replaces the process; if the start was announced, the first list includes it.
func (g *restartingGateway) restart() {
	g.restarted = true
	g.collect()
	g.startProcess(g.h.now+200, 1)
	g.nextCallAt = g.h.now + g.fleet.rnd.ExpFloat64()*g.fleet.interval
	g.listed = g.h.now >= g.listedAt
	if g.listed {
		g.updateStarting(routing.Ready, fleetStart)
	} else {
		g.updateStarting(routing.Gone, 0)
	}
}

func (g *restartingGateway) updateStarting(state routing.State, startedAt float64) {
	starting := g.endpoints[:g.fleet.slowStartCount]
	for _, endpoint := range starting {
		endpoint.State, endpoint.StartedAt = state, startedAt
	}
	g.h.router.OnEndpoints(g.h.now, starting)
}

func (g *restartingGateway) collect() {
	for i := range g.sent {
		g.sent[i] = append(g.sent[i], g.h.sentAt[g.endpoints[i]]...)
	}
}

// establishInFlight answers the recent attempts that were sent more than minAge ms ago, with the given
// latency.
func (h *testHost) establishInFlight(minAge, latency float64) {
	for _, attempt := range h.attempts[max(0, len(h.attempts)-50):] {
		call := attempt.Call
		if call.InFlight == attempt && !call.Established && (minAge == 0 || h.now > attempt.SentAt+minAge) {
			h.establish(call, latency)
		}
	}
}

// finish ends an attempt and removes it from open.
func (h *testHost) finish(
	open map[*routing.Attempt]float64, attempt *routing.Attempt, outcome routing.Outcome,
) {
	delete(open, attempt)
	h.endAttempt(attempt.Call, outcome)
}

func randomCall(rnd *rand.Rand, of []*routing.Call) *routing.Call {
	if len(of) == 0 {
		return nil
	}
	return of[rnd.Intn(len(of))]
}

func countBefore(times []float64, end float64) (n int) {
	for _, at := range times {
		if at < end {
			n++
		}
	}
	return n
}
