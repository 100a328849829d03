// Package connlimit decides which client connections a gateway closes, and how many connections it keeps. It
// protects descriptors and memory against clients that connect and send nothing, for whatever reason. It uses no
// sockets and no clock: the time is passed in, in milliseconds.
package connlimit

//tally:decisions

const (
	firstByteTimeout     = 250.0   // ms: a client that connects to set up a call sends within this time
	firstMessageTimeout  = 2000.0  // ms without any data, or for which a message is incomplete
	firstMessageLimit    = 2800.0  // ms without a complete message, even if parts of one arrived
	stalledReaderTimeout = 10000.0 // ms in which the client reads none of the data to be sent
	idleTimeout          = 12000.0 // ms without a message while no call is pending
)

// ConnState is the state of a client connection.
type ConnState struct {
	OpenedAt         float64
	LastUsedAt       float64 // when its latest complete message arrived
	ReceivedMessage  bool    // a complete message has arrived
	PartialMessage   bool    // the beginning of a message has arrived, not all of it
	PartialSince     float64 // when that message began
	PendingCalls     int     // setups without an answer
	EstablishedCalls int     // calls whose release will be sent on it
	HasUnsentData    bool    // data for it is waiting to be sent
	BlockedFor       float64 // ms since any of that data was sent
}

// hasPendingResponse reports whether closing the connection would lose a response.
func (s *ConnState) hasPendingResponse() bool {
	return s.PendingCalls > 0 || s.HasUnsentData && s.BlockedFor < stalledReaderTimeout
}

// ShouldClose reports whether a connection must be closed even if the limit is not reached: the client never sent
// anything, stopped in the middle of a message, or has been idle for long. A connection with a pending response is
// never closed. A message that has just begun gets its own timeout, however long the connection was idle before.
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

// evictionRank returns the cost of closing a connection as a rank; the lowest rank is closed first.
func (s *ConnState) evictionRank(now float64) int {
	const (
		silent = iota
		idle
		starting // just opened, or its first message has begun
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

// ChooseEviction returns the index of the connection to close when too many are open: the least recently used one
// of the lowest rank. Connections with a pending response are never chosen; -1: all have one, and the new
// connection must be closed. A client that keeps idle connections after use therefore does not exclude new ones.
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

// MaxConnsPerEndpoint returns the limit of a gateway's connections to each endpoint: the number of connections on
// which an endpoint reports its load, but no more than a quarter of the descriptors for all endpoints together.
func MaxConnsPerEndpoint(descriptors, endpoints, reporting int) int {
	return max(1, min(reporting, descriptors/4/max(1, endpoints)))
}

// MaxClientConns returns the limit of client connections. Clients need a third of the descriptors; the rest of this
// number is for connections that are about to be closed.
func MaxClientConns(descriptors int) int { return descriptors * 9 / 20 }
