package b2bua

import "cobaltpier/internal/protocol/callcontrol"

// held is a call as the edge holds it: what the call control has, and what became of its number.
type held struct {
	*callcontrol.Session
	refuser
	edge    *Edge
	session string
	route   numberAnalysis
}

// refuser is a party that takes answers which are none of the module's.
type refuser interface {
	// refuse sends a final answer: code and reason as of SIP.
	refuse(code int, why string)
}

// settle notes a final answer, by its code, and lets go of the number's table; false: it has one already.
func (k *held) settle(code int) bool {
	if !k.Finish(code >= 300) {
		return false
	}
	k.letGo()
	if e := k.edge; e.OnFate != nil {
		e.OnFate(Fate{Session: k.session, Skill: k.Class.Name, Answer: code, Rings: k.Call.Attempts, Took: e.Now - k.ArrivedAt,
			Table: k.route.version, Route: k.route.name})
	}
	return true
}

// SendFailure implements control.Party.
func (k *held) SendFailure() { k.refuse(500, "Server Internal Error") }

// Prepare looks a call's number up before the module gets it.
func (k *held) Prepare() { k.lookUp() }
