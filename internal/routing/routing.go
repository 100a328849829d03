// Package routing defines the types shared by the decision module (package router) and its hosts. A host accepts
// calls over some protocol, reports events to a Policy and executes the requests that the Policy makes through
// Host.
//
// All times are milliseconds, with fractions, on the host's clock. An unknown value is NaN.
package routing

// Host is the interface through which a policy makes requests to the program that runs it.
type Host interface {
	// StartAttempt sends a call's setup to an endpoint; the attempt times out after timeout ms. It is call.InFlight
	// until it ends.
	StartAttempt(call *Call, endpoint *Endpoint, timeout float64)
	// Reject sends the final answer "rejected"; a retryAfter above 0 asks the caller to wait that many ms before a
	// retry.
	Reject(call *Call, retryAfter float64)
	// Fail sends the final answer "failed".
	Fail(call *Call)
	// CancelAttempt cancels an attempt. Its end is reported like any other.
	CancelAttempt(attempt *Attempt)
	// ProbeHealth asks an endpoint for a load report.
	ProbeHealth(endpoint *Endpoint)
	// SendGossip sends a short message to another gateway, by its index from 0. It may be lost.
	SendGossip(gateway int, message []byte)
	// ScheduleWakeup schedules a call to Policy.OnWakeup at or after a time; call may be nil.
	ScheduleWakeup(at float64, call *Call)
}

// Policy decides how calls are routed. It is the router, or a baseline to compare it with. The host calls it from one
// goroutine, with times that never decrease.
type Policy interface {
	// OnEndpoints reports endpoints that were added or changed, in the order of the endpoint list.
	OnEndpoints(now float64, changed []*Endpoint)
	// OnCall reports a new call.
	OnCall(now float64, call *Call)
	// OnAnswer reports that an attempt's call is established.
	OnAnswer(now float64, attempt *Attempt)
	// OnAttemptEnd reports the end of an attempt; finished: its call needs no further answer.
	OnAttemptEnd(now float64, attempt *Attempt, finished bool)
	// OnHangup reports that a caller hung up.
	OnHangup(now float64, call *Call)
	// OnLoadReport reports a load report that was unsolicited or answers a probe; ok: the endpoint answered; complete:
	// the report includes values for its processor.
	OnLoadReport(now float64, endpoint *Endpoint, ok, complete bool)
	// OnGossip reports a gossip message from another gateway.
	OnGossip(now float64, gateway int, message []byte)
	// OnWakeup is the wakeup scheduled by ScheduleWakeup.
	OnWakeup(now float64, call *Call)
	// RetryAfter returns the ms after which the caller of a call that was refused, and not passed to the policy, should
	// call again; 0: not known.
	RetryAfter(now float64, call *Call) float64
}

// PolicyFactory creates the policy of one gateway.
type PolicyFactory func(*Settings, Host) Policy

// Rule is one of the five rules that every gateway obeys; docs/architecture.md shows where each is enforced.
type Rule int

// The rules, by their numbers.
const (
	RuleOneAnswer  Rule = iota + 1 // one final answer for each call, before its deadline
	RuleOneAttempt                 // never two attempts in flight
	RuleDraining                   // no attempts at endpoints that drain or are gone, after the grace period
	RuleSlowStart                  // all gateways together do not overload an endpoint in slow start
	RuleHoldOff                    // no retry before the hold-off after a time-out, reset or cancel is over
)

// Settings are a deployment's settings for one gateway. Times are milliseconds.
type Settings struct {
	Gateways     int // in the whole fleet
	GatewayIndex int // this one's, from 0
	Seed         uint64
	Classes      []*Class
	Tenants      []*Tenant
	TickInterval float64 // minimum time between two batches of events

	MaxAttempts        int // of a call; 0 or less: no limit
	ProbeEnabled       bool
	GossipEnabled      bool
	CancelEnabled      bool
	RetryAfterEnabled  bool    // rejected callers are told when to come back
	MaxRetryAfter      float64 // callers wait no longer than this
	LoadReportsByProbe bool    // load reports are sent only in response to probes
	RetransmitInterval float64 // an unanswered setup is retransmitted after this; 0: never

	AnswerGrace       float64 // rule 1: how long after the deadline the final answer may be sent
	SlowStartFraction float64 // rule 4: an endpoint starts with this share of its capacity
	SlowStartDuration float64 // rule 4: until it has its full capacity
	OverloadFactor    float64 // rule 4: an endpoint is overloaded by more than this multiple of its capacity
	OverloadWindow    float64 // rule 4: for this long
	RetryHoldOff      float64 // rule 5: between the end of an attempt and the next
}
