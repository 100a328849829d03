// Package liveness decides when an endpoint that carries calls and has gone silent is taken for dead. It guards
// against machines that vanish: their connections stay open, and nothing ever says that their calls are over.
package liveness

//tally:decisions

// Liveness is what is concluded from an endpoint's silence.
type Liveness int

// The conclusions.
const (
	Alive   Liveness = iota
	Suspect          // to be tested by a new connection: a process that works sends a message on it at once
	Dead             // it answers no new connection either
)

const (
	suspectAfter      = 1500.0 // ms without a message
	deadAfter         = 4000.0 // ms without a message, and
	deadAfterDials    = 2      // attempts to connect without an answer since
	disconnectedLimit = 6500.0 // ms without a connection: the release of a call must reach its caller within 8 s
)

// Assess judges an endpoint with calls that sent no message for silentFor ms, to which no connection has been up for
// disconnectedFor ms, and where so many attempts to connect were not even refused. An endpoint that refuses is there,
// and may only accept no new connections: its calls go on while one is up on which they can be released.
func Assess(silentFor, disconnectedFor float64, unansweredDials int) Liveness {
	switch {
	case silentFor > deadAfter && unansweredDials >= deadAfterDials, disconnectedFor > disconnectedLimit:
		return Dead
	case silentFor > suspectAfter:
		return Suspect
	}
	return Alive
}
