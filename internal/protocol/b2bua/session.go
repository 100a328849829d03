package b2bua

import "cobaltpier/internal/protocol/callcontrol"

// session is what calls and enquiries have in common: the call control's session and the analysis of the number.
type session struct {
	*callcontrol.Session
	responder
	agent     *Agent
	sessionID string
	number    numberAnalysis
}

// responder sends final answers that the policy does not decide about.
type responder interface {
	// respond sends a final answer with a SIP status code and reason.
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
