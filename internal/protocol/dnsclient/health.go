package dnsclient

import "math"

//tally:decisions

// What a server's silence means. Figures after RFC 6298 for times, as every sender that has no better knowledge uses
// them.
const (
	initialTimeout  = 250.0  // ms: a server that never answered
	minTimeout      = 20.0   // ms: below this the machine's own delays decide
	maxTimeout      = 1000.0 // ms: longer than this another server is always the better bet
	downAfterMisses = 3      // in a row, and
	// ms without any answer: the server counts as down; a burst that it was late for is no more than late
	downAfterSilence = 250.0
	initialDownTime  = 500.0   // ms: a server that is down is tried again after this, doubling
	maxDownTime      = 10000.0 // ms
	lameDownTime     = 5000.0  // ms: a server that says that it does not know the zone, or is at fault
	allDownRetry     = 1000.0  // ms: where no server is up each is tried so often, for nobody else can tell
	// share of queries that try another server than the best, to learn whether it has become faster
	explorationShare = 0.05
)

// Health is what is known of the servers of a zone, and decides which one is asked next. It guards against servers that
// are dead, slow or at fault, by what they do: silence, late answers, errors. Times are ms.
type Health struct {
	servers []server
}

type server struct {
	rtt, dev float64 // of its answers; rtt 0: none yet
	misses   int     // in a row
	heard    float64 // its latest answer
	first    float64 // when the first of the missed was sent
	down     bool
	bad      int     // refusals and faults in a row
	away     float64 // how long it is left alone when it misses again
	until    float64 // it is left alone till then
	probe    float64 // a query is out to find whether it is back, till then
	asked    float64 // the latest query to it, and that there was one
	was      bool
}

// NewHealth is the health of so many servers of which nothing is known.
func NewHealth(servers int) *Health { return &Health{make([]server, servers)} }

// Choose chooses a server for a query that was sent to some already, and how long to wait for its answer; -1: none
// is worth a query now. A server that is down gets one query when its time is over, and no other till that has
// ended.
func (h *Health) Choose(now float64, tried []int, draw float64) (server int, wait float64) {
	best, cost := -1, math.Inf(1)
	var up []int
	for i := range h.servers {
		s := &h.servers[i]
		if s.down || s.until > now {
			if now >= s.until && now >= s.probe && len(tried) == 0 { // it may be back: one query finds out
				s.probe = now + h.timeout(i, 0)
				s.asked, s.was = now, true
				return i, h.timeout(i, 0)
			}
			continue
		}
		n := 0
		for _, t := range tried {
			if t == i {
				n++
			}
		}
		up = append(up, i)
		c := h.timeout(i, 0) * float64(1+3*n) * (1 + float64(s.misses))
		if c < cost || c == cost && chooseLater(draw, len(up)) {
			best, cost = i, c
		}
	}
	if len(tried) == 0 && len(up) > 1 && draw < explorationShare {
		best = up[int(draw/explorationShare*float64(len(up)))%len(up)]
	}
	if best < 0 {
		return h.chooseAllDown(now, len(tried))
	}
	n := 0
	for _, t := range tried {
		if t == best {
			n++
		}
	}
	h.servers[best].asked, h.servers[best].was = now, true
	return best, h.timeout(best, n)
}

// chooseAllDown chooses where no server is up: the one that was left alone the longest, if that is long enough.
func (h *Health) chooseAllDown(now float64, tries int) (server int, wait float64) {
	best := -1
	for i := range h.servers {
		s := &h.servers[i]
		if tries == 0 && now >= s.probe && (!s.was || now >= s.asked+allDownRetry) &&
			(best < 0 || s.asked < h.servers[best].asked) {
			best = i
		}
	}
	if best < 0 {
		return -1, 0
	}
	s := &h.servers[best]
	s.probe = now + h.timeout(best, 0)
	s.asked, s.was = now, true
	return best, h.timeout(best, 0)
}

// chooseLater lets equals share: the n-th of them takes the place with a chance of 1/n.
func chooseLater(draw float64, n int) bool {
	_, part := math.Modf(draw * 1009)
	return part*float64(n) < 1
}

// timeout is how long an answer may take before the query goes elsewhere.
func (h *Health) timeout(i, again int) float64 {
	s := &h.servers[i]
	w := initialTimeout
	if s.rtt > 0 {
		w = s.rtt + 4*s.dev
	}
	return math.Min(maxTimeout, math.Max(minTimeout, w)*float64(int(1)<<min(again, 6)))
}

// OnResponse notes an answer that took so long: the server is up.
func (h *Health) OnResponse(i int, now, took float64) {
	s := &h.servers[i]
	if s.rtt == 0 {
		s.rtt, s.dev = took, took/2
	} else {
		s.dev = 0.75*s.dev + 0.25*math.Abs(took-s.rtt)
		s.rtt = 0.875*s.rtt + 0.125*took
	}
	s.heard, s.misses, s.away, s.probe, s.down = now, 0, 0, 0, false
	if s.bad < downAfterMisses {
		s.until = 0
	}
}

// OnTimeout notes that no answer came in time to a query that was sent at a time. What was sent before the latest
// answer says nothing of the server now.
func (h *Health) OnTimeout(i int, now, at float64) {
	s := &h.servers[i]
	if at < s.heard {
		return
	}
	if s.misses == 0 {
		s.first = at
	}
	s.misses++
	if s.misses >= downAfterMisses && now-s.first >= downAfterSilence && now >= s.until {
		s.down = true
		s.away = math.Min(maxDownTime, math.Max(initialDownTime, 2*s.away))
		s.until, s.probe = now+s.away, 0
	}
}

// OnLame notes that a server refused, is at fault or knows nothing of the zone. One such answer may be the name's
// fault; several in a row, of whatever names, and others are asked for a while.
func (h *Health) OnLame(i int, now float64) {
	s := &h.servers[i]
	if s.bad++; s.bad >= downAfterMisses {
		s.until, s.probe = now+lameDownTime, 0
	}
}

// OnValid notes that a server's answer said something of its zone.
func (h *Health) OnValid(i int) { h.servers[i].bad, h.servers[i].until = 0, 0 }

// UpCount is how many servers are asked at present.
func (h *Health) UpCount(now float64) int {
	n := 0
	for i := range h.servers {
		if s := &h.servers[i]; !s.down && s.until <= now {
			n++
		}
	}
	return n
}
