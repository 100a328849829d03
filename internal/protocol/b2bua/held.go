package b2bua

import "cobaltpier/internal/protocol/callcontrol"

// session is a call as the edge holds it: what the call control has, and what became of its number.
type session struct {
	*callcontrol.Session
	responder
	agent     *Agent
	sessionID string
	number    numberAnalysis
}

// responder is a party that takes answers which are none of the module's.
type responder interface {
	// respond sends a final answer: code and reason as of SIP.
	respond(code int, why string)
}

// finish notes a final answer, by its code, and lets go of the number's table; false: it has one already.
func (k *session) finish(code int) bool {
	if !k.Finish(code >= 300) {
		return false
	}
	k.releaseTable()
	if e := k.agent; e.OnCallEnd != nil {
		e.OnCallEnd(
			CallRecord{
				SessionID:  k.sessionID,
				Class:      k.Class.Name,
				Answer:     code,
				Attempts:   k.Attempts,
				DurationMs: e.Now - k.ArrivedAt,
				Table:      k.number.tableVersion,
				Route:      k.number.routeName,
			},
		)
	}
	return true
}

// SendFailure implements control.Party.
func (k *session) SendFailure() { k.respond(500, "Server Internal Error") }

// Prepare looks a call's number up before the module gets it.
func (k *session) Prepare() { k.startLookup() }
