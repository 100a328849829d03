// Package connlimit decides which client connections a gateway closes, and how many connections it keeps. It guards
// descriptors and memory against clients that connect and send nothing, whatever their reason. It knows no socket and
// no clock: the time is handed in, in milliseconds.
package connlimit

//tally:decisions

const (
	firstByteTimeout     = 250.0   // ms: a client that connects to set up a call sends sooner
	firstMessageTimeout  = 2000.0  // ms without anything received, or with an incomplete message
	firstMessageLimit    = 2800.0  // ms without a complete message, whatever parts came
	stalledReaderTimeout = 10000.0 // ms without taking any of what is sent: the client does not read
	idleTimeout          = 12000.0 // ms without a message while no call is pending
)

// ConnState is what is known of a client's connection.
type ConnState struct {
	OpenedAt         float64
	LastUsedAt       float64 // when its latest complete message came
	ReceivedMessage  bool    // a complete message came
	PartialMessage   bool    // a message has begun that is not complete
	PartialSince     float64 // when it began
	PendingCalls     int     // setups without an answer
	EstablishedCalls int     // calls whose release would be sent on it
	HasUnsentData    bool    // something that was made for it has not been sent
	BlockedFor       float64 // ms since anything of that was sent
}

// hasPendingResponse tells whether a response would be lost with the connection.
func (s *ConnState) hasPendingResponse() bool {
	return s.PendingCalls > 0 || s.HasUnsentData && s.BlockedFor < stalledReaderTimeout
}

// ShouldClose tells whether a connection is to be closed though nobody needs its place: it never sent anything, stopped
// in the middle of a message, or has carried nothing for long. One with a pending response is never closed, and a
// message that has just begun has its own time, however long the connection was idle before.
func (s *ConnState) ShouldClose(now float64) bool {
	switch {
	case s.hasPendingResponse():
		return false
	case !s.ReceivedMessage && now-s.OpenedAt > firstMessageLimit:
		return true
	case s.PartialMessage:
		return now-s.PartialSince > firstMessageTimeout
	case !s.ReceivedMessage:
		return now-s.OpenedAt > firstMessageTimeout
	}
	return s.EstablishedCalls == 0 && now-s.LastUsedAt > idleTimeout
}

// evictionRank ranks a connection by what its close would cost, the lowest first.
func (s *ConnState) evictionRank(now float64) int {
	const (
		silent = iota
		idle
		starting // it has just been opened, or its first message has begun
		establishedCalls
		furtherMessage // a message after the first has begun
	)
	switch {
	case !s.ReceivedMessage && !s.PartialMessage && now-s.OpenedAt > firstByteTimeout:
		return silent
	case s.ReceivedMessage && !s.PartialMessage && s.EstablishedCalls == 0:
		return idle
	case !s.ReceivedMessage:
		return starting
	case !s.PartialMessage:
		return establishedCalls
	}
	return furtherMessage
}

// ChooseEviction gives the index of the connection to close when too many are open: of those of the lowest rank the one
// that was unused for longest. Connections with a pending response are never chosen; -1: there is no other, and the
// newcomer is to be closed. A client that keeps used connections does not shut out one that has just come.
func ChooseEviction(now float64, conns []ConnState) int {
	chosen := -1
	for i := range conns {
		conn := &conns[i]
		if conn.hasPendingResponse() {
			continue
		}
		if chosen < 0 || conn.evictedBefore(&conns[chosen], now) {
			chosen = i
		}
	}
	return chosen
}

func (s *ConnState) evictedBefore(other *ConnState, now float64) bool {
	rank, otherRank := s.evictionRank(now), other.evictionRank(now)
	return rank < otherRank || rank == otherRank && s.LastUsedAt < other.LastUsedAt
}

// MaxConnsPerEndpoint is how many connections a gateway keeps to each endpoint at most: no more than those on which an
// endpoint reports its load, and to all of them no more than a quarter of the descriptors.
func MaxConnsPerEndpoint(descriptors, endpoints, reporting int) int {
	return max(1, min(reporting, descriptors/4/max(1, endpoints)))
}

// MaxClientConns is how many connections of clients are kept at most: they need a third of the descriptors, and the
// rest of this number is for those that are about to be closed.
func MaxClientConns(descriptors int) int { return descriptors * 9 / 20 }
