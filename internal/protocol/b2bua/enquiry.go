package b2bua

import (
	"net/netip"

	"cobaltpier/internal/routing"
)

// EnquiryResult is the answer to an enquiry: the endpoint to call, or the reason why there is none.
type EnquiryResult struct {
	Code       int // 200: an endpoint is named; otherwise a SIP status code
	Reason     string
	RetryAfter float64 // ms to wait before the next enquiry; 0 if not given
	Addr       netip.AddrPort
	Group      string
	Number     string // the number to call there
	Params     string // portability parameters of the number (RFC 4694)
	// Valid reports whether the endpoint may still be called: it is neither draining nor gone. It is nil unless Code
	// is 200.
	Valid func() bool
}

// enquiry is a request for the endpoint of a call that the client then sets up itself.
type enquiry struct {
	*session
	attempt *routing.Attempt
	done    func(now float64, result EnquiryResult)
}

// StartEnquiry asks which endpoint a call to this number, as dialled, and of this class would be sent to now. done is
// called once, within timeout ms. The policy's decision counts as an attempt for drains and slow-start budgets. stop
// cancels the enquiry.
func (a *Agent) StartEnquiry(
	now float64,
	number, className string,
	timeout float64,
	done func(now float64, result EnquiryResult),
) (stop func()) {
	a.Now, a.sip.Now = now, now
	class := a.Classes[className]
	if class == nil {
		done(now, EnquiryResult{Code: 404, Reason: "no such skill"})
		return func() {}
	}
	routingCall := &routing.Call{Class: class, CalledNumber: number, ArrivedAt: now, DestinationID: -1}
	q := &enquiry{session: &session{Session: a.NewSession(routingCall, timeout), agent: a, sessionID: a.newSessionID()},
		done: done}
	q.SignalingLeg, q.responder = q, q
	q.SetDeadline()
	if a.table != nil && !q.startAnalysis(number, "") {
		return func() {}
	}
	routingCall.Destination = a.Endpoints.ByDestination(routingCall.DestinationID)
	a.Enqueue(q.Session)
	return q.stop
}

// stop cancels the enquiry.
func (q *enquiry) stop() {
	switch {
	case q.Finished:
	case !q.Accepted:
		q.Finished = true
		q.releaseTable()
	default:
		q.finishWithCode(487)
		if q.WithRouter {
			q.agent.Router.OnHangup(q.agent.Now, q.Call)
		}
	}
}

// SendShed implements callcontrol.SignalingLeg.
func (q *enquiry) SendShed(wait float64) {
	q.releaseTable()
	q.done(q.agent.Now, EnquiryResult{Code: 503, Reason: "busy", RetryAfter: wait})
}

// OnAccepted implements callcontrol.SignalingLeg.
func (q *enquiry) OnAccepted() bool { return q.number.lookupNumber == "" }

// respond implements responder.
func (q *enquiry) respond(code int, reason string) {
	if !q.Accepted {
		q.Finished = true
	} else if !q.finishWithCode(code) {
		return
	}
	q.done(q.agent.Now, EnquiryResult{Code: code, Reason: reason})
}

// SendRejection implements callcontrol.SignalingLeg.
func (q *enquiry) SendRejection(wait float64) {
	if !q.finishWithCode(503) {
		return
	}
	if !q.agent.config.Settings.RetryAfterEnabled {
		wait = 0
	}
	q.done(q.agent.Now, EnquiryResult{Code: 503, Reason: "deferred", RetryAfter: wait})
}

// HasAttempt implements callcontrol.SignalingLeg.
func (q *enquiry) HasAttempt() bool { return q.attempt != nil }

// SetupSent implements callcontrol.SignalingLeg: the gateway sends no setup, the client does.
func (q *enquiry) SetupSent() bool { return false }

// SendSetup implements callcontrol.SignalingLeg: it returns the endpoint to the client, which sets the call up itself.
// The attempt ends here; for the policy it was sent and completed.
func (q *enquiry) SendSetup(attempt *routing.Attempt, _ float64) bool {
	a := q.agent
	g := a.groupsByDestination[attempt.Endpoint.DestinationID]
	if g == nil || g.inUse >= g.Circuits || !q.finishWithCode(200) {
		return false
	}
	q.Finished, q.attempt = true, attempt
	a.Counts.EnquiriesAnswered++
	endpoint := attempt.Endpoint
	a.Timers.Schedule(a.Now, func() {
		q.attempt = nil
		q.EndAttempt(attempt, routing.Completed, true)
	})
	q.done(
		a.Now,
		EnquiryResult{Code: 200, Addr: a.addresses[endpoint], Group: g.Name, Number: q.CalledNumber, Params: q.number.params,
			Valid: func() bool { return endpoint.State == routing.Ready }},
	)
	return true
}

// SendCancel implements callcontrol.SignalingLeg: a result that was returned can't be withdrawn.
func (*enquiry) SendCancel(*routing.Attempt) {}

// SendTrying implements callcontrol.SignalingLeg.
func (*enquiry) SendTrying() {}
