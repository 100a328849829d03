package binarygateway

// endedCalls remembers the calls that have ended at one endpoint, for clients that still take them for established and
// resume them: a call that is not remembered here counts as established, and no further release of it would come.
//
// It holds a limited number and forgets the oldest first. After a start of the gateway, the endpoint repeats the
// releases of all calls that ended since the latest connection of the process before, oldest first. Their clients know
// of most of these ends; the newest are those that the earlier process has not forwarded. It also holds the calls that
// this process has released towards their clients: such a release may be lost with the client's connection.
type endedCalls struct {
	causes map[uint64]byte // of the releases, by call ID
	order  []endedCall     // oldest first
}

type endedCall struct {
	callID   uint64
	forgetAt float64
}

const (
	// endedCallRetention is how long an ended call is remembered, ms: clients arrive 30 s after the start of a gateway
	// at the latest, and some seconds after the loss of a connection.
	endedCallRetention = 35000.0
	// maxEndedCalls limits the ended calls that are remembered of all endpoints together. It is a multiple of the calls
	// that can be resumed, because these may be spread unevenly over the endpoints.
	maxEndedCalls = 4 * maxResumedCalls
)

// endedCallsPerEndpoint returns the maximum number of ended calls that are remembered of each endpoint.
func (g *Gateway) endedCallsPerEndpoint() int { return maxEndedCalls / max(1, len(g.upstreams)) }

// remember records the end of a call and the cause of its release. It returns how many older ones were forgotten to
// stay within the limit.
func (e *endedCalls) remember(callID uint64, cause byte, now float64, limit int) (forgotten int) {
	if _, known := e.causes[callID]; known {
		return 0
	}
	if e.causes == nil {
		e.causes = map[uint64]byte{}
	}
	e.causes[callID] = cause
	e.order = append(e.order, endedCall{callID, now + endedCallRetention})
	for len(e.order) > limit {
		e.forgetOldest()
		forgotten++
	}
	return forgotten
}

// cause returns the cause of a call's release; ended is false if no end of the call is remembered.
func (e *endedCalls) cause(callID uint64) (cause byte, ended bool) {
	cause, ended = e.causes[callID]
	return cause, ended
}

// dropExpired forgets the calls that have been remembered long enough.
func (e *endedCalls) dropExpired(now float64) {
	for len(e.order) > 0 && e.order[0].forgetAt < now {
		e.forgetOldest()
	}
	if len(e.order) == 0 {
		e.causes, e.order = nil, nil
	}
}

func (e *endedCalls) forgetOldest() {
	delete(e.causes, e.order[0].callID)
	e.order = e.order[1:]
}

func (e *endedCalls) len() int { return len(e.order) }
