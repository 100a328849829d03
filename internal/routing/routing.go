// Package routing has the types that the decision module (package router) and its hosts share. A host takes calls by
// some protocol, reports events to a Policy and carries out what the Policy asks through Host.
//
// All times are milliseconds, with fractions, on the host's clock. A figure that is not known is NaN.
package routing

// Host is what a policy may ask of the program that it runs in.
type Host interface {
	// StartAttempt sends a call's setup to an endpoint and gives up after timeout ms. The attempt is call.InFlight
	// until it ends.
	StartAttempt(call *Call, endpoint *Endpoint, timeout float64)
	// Reject sends the final answer "rejected"; a retryAfter above 0 asks the caller to stay away for so many ms.
	Reject(call *Call, retryAfter float64)
	// Fail sends the final answer "failed".
	Fail(call *Call)
	// CancelAttempt gives up an attempt. Its end is reported as any other.
	CancelAttempt(attempt *Attempt)
	// ProbeHealth asks an endpoint for a load report.
	ProbeHealth(endpoint *Endpoint)
	// SendGossip sends a short message to another gateway, by its index from 0. It may be lost.
	SendGossip(gateway int, message []byte)
	// ScheduleWakeup calls Policy.OnWakeup at or after a time; call may be nil.
	ScheduleWakeup(at float64, call *Call)
}

// Policy decides what becomes of calls: the router, or a baseline to measure it against. Its host calls it from one
// goroutine, with times that never go back.
type Policy interface {
	// OnEndpoints reports endpoints that were added or changed, in the order of the endpoint list.
	OnEndpoints(now float64, changed []*Endpoint)
	// OnCall reports a new call.
	OnCall(now float64, call *Call)
	// OnAnswer reports that an attempt's call is established.
	OnAnswer(now float64, attempt *Attempt)
	// OnAttemptEnd reports the end of an attempt; finished: its call needs no answer any more.
	OnAttemptEnd(now float64, attempt *Attempt, finished bool)
	// OnHangup reports that a caller is gone.
	OnHangup(now float64, call *Call)
	// OnLoadReport reports that a load report came unasked or for a probe; ok: the endpoint answered, complete: with
	// figures of its processor.
	OnLoadReport(now float64, endpoint *Endpoint, ok, complete bool)
	// OnGossip reports another gateway's message.
	OnGossip(now float64, gateway int, message []byte)
	// OnWakeup is the call back that ScheduleWakeup asked for.
	OnWakeup(now float64, call *Call)
}

// PolicyFactory makes the policy of one gateway.
type PolicyFactory func(*Settings, Host) Policy

// Rule is one of the five rules that every gateway keeps; docs/architecture.md shows where.
type Rule int

// The rules, by their numbers.
const (
	RuleOneAnswer  Rule = iota + 1 // one final answer for each call, before its deadline
	RuleOneAttempt                 // never two attempts in flight
	RuleDraining                   // no attempts at endpoints that drain or are gone
	RuleSlowStart                  // an endpoint in slow start is not overloaded by all gateways together
	RuleHoldOff                    // no retry before the hold-off after a time-out, reset or cancel is over
)

// Settings are a deployment's settings for one gateway. Times are milliseconds.
type Settings struct {
	Gateways     int // in the whole fleet
	GatewayIndex int // this one's, from 0
	Seed         uint64
	Classes      []*Class
	Tenants      []*Tenant
	TickInterval float64 // the least time between two batches of events

	MaxAttempts        int // of a call; 0 or less: no limit
	ProbeEnabled       bool
	GossipEnabled      bool
	CancelEnabled      bool
	RetryAfterEnabled  bool    // rejected callers are told when to come back
	MaxRetryAfter      float64 // callers heed no more
	LoadReportsByProbe bool    // load reports come only with probes
	RetransmitInterval float64 // a setup without an answer is sent again after this; 0: never

	AnswerGrace       float64 // rule 1: by how much the final answer may be late
	SlowStartFraction float64 // rule 4: an endpoint starts with this share of its capacity
	SlowStartDuration float64 // rule 4: until it has its full capacity
	OverloadFactor    float64 // rule 4: it fails when it is sent more than this multiple of its capacity
	OverloadWindow    float64 // rule 4: for this long
	RetryHoldOff      float64 // rule 5: between the end of an attempt and the next
}
