package b2bua

import "cobaltpier/internal/protocol/callcontrol"

// session is a call as the agent holds it: what the call control has, and what became of its number.
type session struct {
	*callcontrol.Session
	responder
	agent     *Agent
	sessionID string
	number    numberAnalysis
}

// responder is a party that takes answers which are none of the policy's.
type responder interface {
	// respond sends a final answer: code and reason as of SIP.
	respond(code int, why string)
}

// finishWithCode notes a final answer, by its code, and lets go of the number's table; false: it has one already.
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

// Prepare looks a call's number up before the policy gets it.
func (s *session) Prepare() { s.startLookup() }
