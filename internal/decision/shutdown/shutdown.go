// Package shutdown decides when the graceful shutdown of a gateway moves on to its next stage. It has no clock: times
// are passed in, in milliseconds.
package shutdown

import "math"

//tally:decisions

// Stage is a stage of a graceful shutdown.
type Stage int

// The stages, in their order. A gateway never goes back to an earlier one.
const (
	Serving        Stage = iota // no shutdown was requested
	AdmittingCalls              // calls still arrive and are admitted
	Rejecting                   // new calls are rejected at once; pending and established ones go on
	Flushing                    // no connection is accepted; remaining final answers are sent
	HalfClosing                 // the sending side of client connections is closed, so that no answer is lost by a reset
	Stopped                     // the process may exit
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

// The time that the platform allows for a planned restart, and how it is used, ms.
const (
	acceptWindow  = 700.0  // calls may arrive until this long after the signal
	minLinger     = 1100.0 // earliest exit after the signal, for calls still in transit
	maxTimeout    = 3000.0 // longest class timeout that the platform waits for before it kills the process
	answerReserve = 300.0  // pending calls are answered this long before the kill, for the two timeouts below
	flushTimeout  = 120.0  // for sending answers
	closeTimeout  = 60.0   // for clients to close their connections
)

// Next returns the stage after s if s is complete or its time is up, and otherwise s. Calls are answered before
// connections are refused, answers are sent before connections are closed, and connections are closed before the
// process exits, each within a time limit.
func (s Stage) Next(status Status) Stage {
	killAt := acceptWindow + math.Min(maxTimeout, status.MaxTimeout)
	lastAnswer := killAt - answerReserve
	switch s {
	case AdmittingCalls:
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
