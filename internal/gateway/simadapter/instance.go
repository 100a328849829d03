package simadapter

import (
	"bufio"
	"encoding/hex"
	"strconv"
	"strings"

	"cobaltpier/internal/protocol/attempts"
	"cobaltpier/internal/protocol/endpointset"
	"cobaltpier/internal/routing"
)

// Actions that a gateway sends to the simulator.
const (
	actionAttempt = "try"
	actionReject  = "decline"
	actionFail    = "abort"
	actionCancel  = "call_off"
	actionProbe   = "ask_load"
	actionGossip  = "memo_to"
	actionWakeup  = "schedule"
	actionCrash   = "give_in"
)

// instance is one gateway: its policy, and the objects that the simulator refers to by ID or name.
type instance struct {
	name      string
	out       *bufio.Writer
	now       float64
	policy    routing.Policy
	fields    []string // names of the values of a load report
	endpoints *endpointset.Set[int64]
	calls     map[string]*attempts.Tracker
	timers    map[int64]*routing.Call // call of each wake-up
	lastTimer int64
	classes   map[string]*routing.Class
	tenants   map[string]*routing.Tenant
}

// send writes an action. The flush at the end of the round returns errors.
func (in *instance) send(action string, parts ...string) {
	line := append([]string{action, in.name}, parts...)
	_, _ = in.out.WriteString(strings.Join(line, separator) + "\n")
}

func formatMillis(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }

func formatInt(v int64) string { return strconv.FormatInt(v, 10) }

// StartAttempt implements routing.Host.
func (in *instance) StartAttempt(call *routing.Call, endpoint *routing.Endpoint, timeout float64) {
	tracker := call.HostData.(*attempts.Tracker)
	tracker.Begin(endpoint, in.now)
	in.send(actionAttempt, tracker.ID, formatInt(in.endpoints.IDOf(endpoint)), formatMillis(timeout))
}

// Reject implements routing.Host.
func (in *instance) Reject(call *routing.Call, retryAfter float64) {
	tracker := call.HostData.(*attempts.Tracker)
	call.Finished = true
	in.send(actionReject, tracker.ID, formatMillis(retryAfter))
	in.forget(tracker)
}

// Fail implements routing.Host.
func (in *instance) Fail(call *routing.Call) {
	tracker := call.HostData.(*attempts.Tracker)
	call.Finished = true
	in.send(actionFail, tracker.ID)
	in.forget(tracker)
}

// CancelAttempt implements routing.Host.
func (in *instance) CancelAttempt(attempt *routing.Attempt) {
	tracker := attempt.Call.HostData.(*attempts.Tracker)
	in.send(actionCancel, tracker.ID, formatInt(int64(attempt.HostData.(int))))
}

// ProbeHealth implements routing.Host.
func (in *instance) ProbeHealth(endpoint *routing.Endpoint) {
	in.send(actionProbe, formatInt(in.endpoints.IDOf(endpoint)))
}

// SendGossip implements routing.Host.
func (in *instance) SendGossip(gateway int, message []byte) {
	in.send(actionGossip, formatInt(int64(gateway)), hex.EncodeToString(message))
}

// ScheduleWakeup implements routing.Host.
func (in *instance) ScheduleWakeup(at float64, call *routing.Call) {
	in.lastTimer++
	in.timers[in.lastTimer] = call
	in.send(actionWakeup, formatMillis(at), formatInt(in.lastTimer))
}

// forget removes a call that has its final answer and no attempt in flight.
func (in *instance) forget(tracker *attempts.Tracker) {
	if tracker.Done() {
		delete(in.calls, tracker.ID)
	}
}

// attempt finds an attempt by its call and its index. The attempt is nil if it has ended or is unknown.
func (in *instance) attempt(callID string, index int64) (*attempts.Tracker, *routing.Attempt) {
	tracker := in.calls[callID]
	if tracker == nil || index >= int64(len(tracker.Log)) {
		return tracker, nil
	}
	return tracker, tracker.Log[index]
}
