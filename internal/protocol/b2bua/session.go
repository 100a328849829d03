package b2bua

import "cobaltpier/internal/protocol/callcontrol"

// session is the common part of calls and enquiries: the call control session and the number analysis.
type session struct {
	*callcontrol.Session
	responder
	agent     *Agent
	sessionID string
	number    numberAnalysis
}

// responder sends final answers that the policy does not decide.
type responder interface {
	// respond sends a final answer with a SIP status code and reason.
	respond(code int, reason string)
}

// finishWithCode records the final answer's code and releases the number table. It returns false, and does nothing, if
// there was a final answer before.
func (s *session) finishWithCode(code int) bool {
	if !s.Finish(code >= 300) {
		return false
	}
	s.releaseTable()
	if a := s.agent; a.OnCallEnd != nil {
		a.OnCallEnd(
			CallRecord{
				SessionID:  s.sessionID,
				Class:      s.Class.Name,
				Answer:     code,
				Attempts:   s.Attempts,
				DurationMs: a.Now - s.ArrivedAt,
				Table:      s.number.tableVersion,
				Route:      s.number.routeName,
			},
		)
	}
	return true
}

// SendFailure implements callcontrol.SignalingLeg.
func (s *session) SendFailure() { s.respond(500, "Server Internal Error") }

// Prepare looks up the call's number before the policy gets the call.
func (s *session) Prepare() { s.startLookup() }
