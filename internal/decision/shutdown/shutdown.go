// Package shutdown decides how far the graceful shutdown of a gateway has come. It has no clock: times are handed in,
// in milliseconds.
package shutdown

import "math"

//tally:decisions

// Stage is a stage of a graceful shutdown.
type Stage int

// The stages, in their order. A gateway never goes back to an earlier one.
const (
	Serving     Stage = iota // no shutdown was requested
	Accepting                // calls still arrive and are taken
	Rejecting                // new calls are rejected at once; pending and established ones go on
	Flushing                 // no connection is accepted; every call has its final answer, which must be sent
	HalfClosing              // the sending side of client connections is closed, so that no answer is lost to a reset
	Stopped                  // the process may exit
)

// Status is the state of a gateway during a shutdown.
type Status struct {
	SinceSignal      float64 // ms since the shutdown was requested
	InStage          float64 // ms since the stage began
	MaxTimeout       float64 // the longest timeout of any class, ms
	PendingCalls     int     // without a final answer
	EstablishedCalls int
	Listening        bool // connections are still accepted
	UnsentConns      int  // client connections with data that was not sent
	OpenConns        int  // client connections
}

// What the platform grants at a planned restart, and how the time is used, ms.
const (
	acceptWindow  = 700.0  // calls may arrive so long after the signal
	minLinger     = 1100.0 // no exit before, for calls on their way
	maxTimeout    = 3000.0 // the platform waits for no longer timeout than this before it kills
	answerReserve = 300.0  // before that: pending calls are answered, to leave time for the two below
	flushTimeout  = 120.0  // for answers to be sent
	closeTimeout  = 60.0   // for clients to close
)

// Next is the stage after s, or s itself. What is owed is settled before the process exits: calls are answered before
// connections are refused, answers are sent before connections are closed, and connections are closed before the exit,
// each within a limit.
func (s Stage) Next(status Status) Stage {
	killAt := acceptWindow + math.Min(maxTimeout, status.MaxTimeout)
	lastAnswer := killAt - answerReserve
	switch s {
	case Accepting:
		if status.SinceSignal > math.Min(acceptWindow, lastAnswer) {
			return Rejecting
		}
	case Rejecting:
		idle := status.PendingCalls == 0 && status.EstablishedCalls == 0
		if status.SinceSignal > minLinger && idle || status.SinceSignal > lastAnswer {
			return Flushing
		}
	case Flushing:
		flushed := !status.Listening && status.UnsentConns == 0 && status.PendingCalls == 0
		if flushed || status.InStage > flushTimeout {
			return HalfClosing
		}
	case HalfClosing:
		if status.OpenConns == 0 || status.InStage > closeTimeout {
			return Stopped
		}
	}
	return s
}
