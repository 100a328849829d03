package dnsclient

import "math"

//tally:decisions

// Timeouts follow the estimator of RFC 6298. The other constants define when a server counts as down, how long it is
// avoided, and how often a random one is queried.
const (
	initialTimeout = 250.0  // ms: of a server that has never responded
	minTimeout     = 20.0   // ms: below this, delays of the local machine dominate
	maxTimeout     = 1000.0 // ms: beyond this, querying another server is always better
	// consecutive timeouts (together with downAfterSilence) or consecutive lame responses after which a server is
	// avoided
	avoidAfterFailures = 3
	// ms from sending the first of the consecutive timed-out queries until the server may count as down, so that one
	// short delay does not suffice
	downAfterSilence = 250.0
	initialDownTime  = 500.0   // ms: a server that is down is tried again after this time, which doubles with each failure
	maxDownTime      = 10000.0 // ms
	lameDownTime     = 5000.0  // ms: how long a server that is lame or responds with errors is not queried
	allDownRetry     = 1000.0  // ms: time since its last query until a server is tried again while all are avoided
	// share of queries sent to a server chosen at random, to learn whether it has become faster
	explorationShare = 0.05
)

// Health tracks the servers of a zone and selects the one to query next. It avoids servers that are down, slow or
// faulty, judged by timeouts, response times and errors. Times are in ms.
type Health struct {
	servers []server
}

type server struct {
	rtt, rttDeviation  float64 // response time and its deviation; rtt 0: no response yet
	timeoutsInRow      int     // consecutive timeouts
	lastResponse       float64 // time of the latest response
	firstTimeoutSentAt float64 // send time of the first of the consecutive timed-out queries
	down               bool
	lameCount          int     // consecutive lame or error responses
	downTime           float64 // current back-off; doubles at the next failure
	avoidUntil         float64 // not queried before this time
	testQueryUntil     float64 // until then a query that tests whether it is up again is outstanding
	lastQuery          float64 // time of the latest query; only valid if queried is set
	queried            bool
}

// NewHealth returns the state of the given number of servers, of which nothing is known yet.
func NewHealth(servers int) *Health { return &Health{make([]server, servers)} }

// Choose selects a server for the next query of a look-up that has already queried the servers in tried, and the
// timeout of that query; it returns server -1 if none may be queried now. draw is a random number in [0, 1). A server
// that is down is tested with a single query when its back-off is over, only as the first query of a look-up, and
// gets no other until that one was answered or its timeout has passed.
func (h *Health) Choose(now float64, tried []int, draw float64) (server int, timeout float64) {
	best, cost := -1, math.Inf(1)
	var up []int
	for i := range h.servers {
		s := &h.servers[i]
		if s.down || s.avoidUntil > now {
			if now >= s.avoidUntil && now >= s.testQueryUntil && len(tried) == 0 { // it may be up again: test it
				s.testQueryUntil = now + h.timeout(i, 0)
				s.lastQuery, s.queried = now, true
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
		c := h.timeout(i, 0) * float64(1+3*n) * (1 + float64(s.timeoutsInRow))
		if c < cost || c == cost && replaceTied(draw, len(up)) {
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
	h.servers[best].lastQuery, h.servers[best].queried = now, true
	return best, h.timeout(best, n)
}

// chooseAllDown selects a server when all are down or avoided, for the first query of a look-up only: the one that was
// queried least recently, if that was at least allDownRetry ago and no query that tests it is outstanding.
func (h *Health) chooseAllDown(now float64, queryCount int) (server int, timeout float64) {
	best := -1
	for i := range h.servers {
		s := &h.servers[i]
		if queryCount == 0 && now >= s.testQueryUntil && (!s.queried || now >= s.lastQuery+allDownRetry) &&
			(best < 0 || s.lastQuery < h.servers[best].lastQuery) {
			best = i
		}
	}
	if best < 0 {
		return -1, 0
	}
	s := &h.servers[best]
	s.testQueryUntil = now + h.timeout(best, 0)
	s.lastQuery, s.queried = now, true
	return best, h.timeout(best, 0)
}

// replaceTied decides whether a server of equal cost replaces the current choice: with probability 1/n, n being the
// number of usable servers seen so far. The fraction of draw*1009 is used, so that the tie does not depend on whether
// draw is below explorationShare.
func replaceTied(draw float64, n int) bool {
	_, part := math.Modf(draw * 1009)
	return part*float64(n) < 1
}

// timeout returns the timeout of a query, doubled for each earlier query of the same look-up to this server.
func (h *Health) timeout(i, earlierQueries int) float64 {
	s := &h.servers[i]
	baseTimeout := initialTimeout
	if s.rtt > 0 {
		baseTimeout = s.rtt + 4*s.rttDeviation
	}
	return math.Min(maxTimeout, math.Max(minTimeout, baseTimeout)*float64(int(1)<<min(earlierQueries, 6)))
}

// OnResponse records a response and its response time: the server is not down. A server that is avoided because of lame
// responses stays avoided.
func (h *Health) OnResponse(i int, now, responseTime float64) {
	s := &h.servers[i]
	if s.rtt == 0 {
		s.rtt, s.rttDeviation = responseTime, responseTime/2
	} else {
		s.rttDeviation = 0.75*s.rttDeviation + 0.25*math.Abs(responseTime-s.rtt)
		s.rtt = 0.875*s.rtt + 0.125*responseTime
	}
	s.lastResponse, s.timeoutsInRow, s.downTime, s.testQueryUntil, s.down = now, 0, 0, 0, false
	if s.lameCount < avoidAfterFailures {
		s.avoidUntil = 0
	}
}

// OnTimeout records that a query sent at the given time timed out. A query sent before the latest response is ignored,
// as it says nothing about the current state of the server.
func (h *Health) OnTimeout(i int, now, sentAt float64) {
	s := &h.servers[i]
	if sentAt < s.lastResponse {
		return
	}
	if s.timeoutsInRow == 0 {
		s.firstTimeoutSentAt = sentAt
	}
	s.timeoutsInRow++
	if s.timeoutsInRow >= avoidAfterFailures && now-s.firstTimeoutSentAt >= downAfterSilence && now >= s.avoidUntil {
		s.down = true
		s.downTime = math.Min(maxDownTime, math.Max(initialDownTime, 2*s.downTime))
		s.avoidUntil, s.testQueryUntil = now+s.downTime, 0
	}
}

// OnLame records that a server refused a query, reported an error or does not serve the zone. A single such response
// may be due to the name; after several in a row the server is not queried for a while.
func (h *Health) OnLame(i int, now float64) {
	s := &h.servers[i]
	if s.lameCount++; s.lameCount >= avoidAfterFailures {
		s.avoidUntil, s.testQueryUntil = now+lameDownTime, 0
	}
}

// OnValid records that a server gave a valid response for the zone.
func (h *Health) OnValid(i int) { h.servers[i].lameCount, h.servers[i].avoidUntil = 0, 0 }

// UpCount returns the number of servers that are neither down nor avoided because of lame responses.
func (h *Health) UpCount(now float64) int {
	n := 0
	for i := range h.servers {
		if s := &h.servers[i]; !s.down && s.avoidUntil <= now {
			n++
		}
	}
	return n
}
