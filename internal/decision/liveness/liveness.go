// Package liveness decides when an endpoint that has calls but sends no messages is considered dead, and when one
// connection to an endpoint is no longer usable. It guards against machines that disappear without closing their
// connections, and against streams that have lost their message boundaries: nothing would ever report the end of
// their calls.
package liveness

//tally:decisions

// Liveness is the assessed state of an endpoint.
type Liveness int

// The states of an endpoint, as assessed.
const (
	Alive   Liveness = iota
	Suspect          // must be tested with a new connection, on which a working process sends a message at once
	Dead             // it does not answer new connections either
)

const (
	suspectAfter      = 1500.0 // ms without a message
	deadAfter         = 4000.0 // ms without a message, together with deadAfterDials
	deadAfterDials    = 2      // unanswered attempts to connect since then
	disconnectedLimit = 6500.0 // ms without a connection: the release of a call must reach its caller within 8 s
	// incompleteLimit is the time, in ms, after which an incomplete message makes its connection unusable. A release
	// behind it must reach its caller within 1 s, on another connection.
	incompleteLimit = 500.0
)

// Assess assesses an endpoint with calls that sent no message for silentFor ms, to which no connection has been up
// for disconnectedFor ms, and to which unansweredDials attempts to connect were neither accepted nor refused. An
// endpoint that refuses connections is alive and may just accept no new ones: its calls go on while a connection is
// up on which they can be released.
func Assess(silentFor, disconnectedFor float64, unansweredDials int) Liveness {
	switch {
	case silentFor > deadAfter && unansweredDials >= deadAfterDials, disconnectedFor > disconnectedLimit:
		return Dead
	case silentFor > suspectAfter:
		return Suspect
	}
	return Alive
}

// IsStreamBroken reports whether a connection to an endpoint must be closed because a message on it has been incomplete
// for this many ms. An endpoint writes a message at once, so its length field is wrong, and everything that follows is
// taken for a part of it. Further bytes do not restart the time: they may be other messages.
func IsStreamBroken(incompleteFor float64) bool { return incompleteFor > incompleteLimit }
