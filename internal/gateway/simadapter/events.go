package simadapter

import (
	"fmt"
	"math"
	"runtime/debug"
	"strconv"
	"strings"

	"cobaltpier/internal/deployment"
	"cobaltpier/internal/protocol/attempts"
	"cobaltpier/internal/protocol/endpointset"
	"cobaltpier/internal/routing"
)

// Events that are handled before their instance is looked up.
const (
	eventCreate = "create"
	eventHalt   = "halt"
)

// handlers are the handlers of events for an instance.
var handlers = map[string]func(*process, *instance, *inputLine) error{
	eventHalt:     (*process).onHalt,
	"peers_known": (*process).onEndpoints,
	"knock":       (*process).onCall,
	"under_way":   (*process).onAnswer,
	"outcome":     (*process).onAttemptEnd,
	"lapsed":      (*process).onHangup,
	"timer":       (*process).onWakeup,
	"ping_result": (*process).onProbeResult,
	"memo":        (*process).onGossip,
}

// Limits of the numbers in events.
const (
	maxEndpointID   = 1<<32 - 1
	maxAttemptIndex = 1 << 20
	maxGateway      = 1 << 31
)

// Scopes of an endpoint list.
const (
	scopeChanges = 1
	scopeNothing = 3
)

// The note of an attempt's end is the reason plus noteReasons times the ms for which the endpoint asks for no
// attempts.
const (
	noteReasons    = 16
	noteAtCapacity = 1
	noteNumberBusy = 4
)

// handleEvent hands an event to its instance. If the policy panics, it reports a crash and removes the instance.
func (p *process) handleEvent(line *inputLine, text string) (err error) {
	name := line.text("gatewayId")
	if !strings.HasPrefix(name, gatewayPrefix) && line.err == nil {
		line.fail("gatewayId", "gateway- and a number", name)
	}
	if line.err != nil {
		return line.err
	}
	defer func() {
		if cause := recover(); cause != nil {
			p.reportCrash(name, cause)
		}
	}()
	if line.kind == eventCreate {
		return p.onCreate(line, name, text)
	}
	handle, known := handlers[line.kind]
	if !known {
		return fmt.Errorf("line %d: want an event of the wire, got %q", line.lineNumber, line.kind)
	}
	in := p.instances[name]
	if in == nil { // it was halted or crashed: events still in transit are ignored
		if line.kind == eventHalt {
			return line.finish()
		}
		return nil
	}
	in.now = p.now
	return handle(p, in, line)
}

// reportCrash sends the cause and the stack of a panic, and removes the instance.
func (p *process) reportCrash(name string, cause any) {
	stack := strings.Join(strings.Fields(string(debug.Stack())), " ")
	stack = stack[:min(len(stack), maxStackLength)]
	(&instance{name: name, out: p.out}).send(actionCrash, fmt.Sprintf("%v at %s", cause, stack))
	delete(p.instances, name)
}

func (p *process) onCreate(line *inputLine, name, text string) error {
	seed, err := strconv.ParseUint(line.text("rngSeed"), 10, 64)
	if err != nil {
		line.fail("rngSeed", "a whole number", fmt.Sprint(err))
		return line.err
	}
	parts := strings.SplitN(text, separator, 4)
	if len(parts) < 4 {
		line.fail("params", "a JSON object", "end of line")
		return line.err
	}
	settings, fields, err := deployment.Decode([]byte(parts[3]), seed)
	if err != nil {
		return fmt.Errorf("line %d: create: params: %w", line.lineNumber, err)
	}
	in := &instance{
		name:      name,
		out:       p.out,
		fields:    fields,
		endpoints: endpointset.New[int64](),
		calls:     map[string]*attempts.Tracker{},
		timers:    map[int64]*routing.Call{},
		classes:   map[string]*routing.Class{},
		tenants:   map[string]*routing.Tenant{},
	}
	for _, class := range settings.Classes {
		in.classes[class.Name] = class
	}
	for _, tenant := range settings.Tenants {
		in.tenants[tenant.Name] = tenant
	}
	in.policy = p.newPolicy(settings, in)
	p.instances[name] = in
	return nil
}

func (p *process) onHalt(in *instance, line *inputLine) error {
	delete(p.instances, in.name)
	return line.finish()
}

func (p *process) onEndpoints(in *instance, line *inputLine) error {
	line.text("epoch")
	number := line.float("bank", 0)
	scope := line.integer("scope", 0, scopeNothing)
	if err := line.finish(); err != nil || scope == scopeNothing {
		return err
	}
	roster, ok := p.rosters[int64(number)]
	if !ok {
		return fmt.Errorf("line %d: peers_known: want the number of a roster sent before, got %v", line.lineNumber, number)
	}
	entries := make([]endpointset.Entry[int64], 0, len(roster))
	for _, parts := range roster {
		entry, err := parseEntry(&inputLine{lineNumber: line.lineNumber, kind: "entry", parts: parts})
		if err != nil {
			return err
		}
		entries = append(entries, entry)
	}
	in.policy.OnEndpoints(p.now, in.endpoints.Apply(entries, scope != scopeChanges))
	return nil
}

func parseEntry(line *inputLine) (endpointset.Entry[int64], error) {
	var entry endpointset.Entry[int64]
	entry.ID = line.integer("switch", 0, maxEndpointID)
	line.text("locality")
	line.text("kind")
	entry.DestinationID = int(line.integer("nodeNo", -1, maxEndpointID+1))
	entry.State = routing.State(line.integer("lifecycle", 0, 2))
	line.float("capacityHint", 1)
	entry.StartedAt = line.float("onlineSince", 0)
	return entry, line.finish()
}

func (p *process) onCall(in *instance, line *inputLine) error {
	call := &routing.Call{ArrivedAt: p.now}
	tracker := &attempts.Tracker{Call: call, ID: line.text("corr")}
	call.HostData = tracker
	line.float("cost", 0)
	remaining := line.float("left", math.NaN())
	className := line.text("tierClass")
	call.Class = in.classes[className]
	if call.Class == nil {
		line.fail("tierClass", "a class of the settings", className)
	}
	if math.IsNaN(remaining) && call.Class != nil {
		remaining = call.Class.Timeout
	}
	call.Deadline = p.now + remaining
	call.CalledNumber = line.text("routeKey")
	line.flag("mutates")
	line.float("units", 1)
	call.Resumed = line.flag("returned")
	line.flag("isRetry")
	line.float("hop", -1)
	line.flag("passing")
	if tenant := line.text("realm"); tenant != "" && tenant != "0" {
		call.Tenant = in.tenants[tenant]
	}
	call.DestinationID = int(line.float("farEnd", -1))
	call.Destination = in.endpoints.ByDestination(call.DestinationID)
	if err := line.finish(); err != nil {
		return err
	}
	in.calls[tracker.ID] = tracker
	in.policy.OnCall(p.now, call)
	return nil
}

func (p *process) onHangup(in *instance, line *inputLine) error {
	tracker := in.calls[line.text("corr")]
	if err := line.finish(); err != nil || tracker == nil || tracker.Finished {
		return err
	}
	tracker.Finished = true
	in.policy.OnHangup(p.now, tracker.Call)
	in.forget(tracker)
	return nil
}

func (p *process) onWakeup(in *instance, line *inputLine) error {
	id := line.integer("ctx", 0, math.MaxInt64)
	call, ok := in.timers[id]
	delete(in.timers, id)
	if err := line.finish(); err != nil || !ok {
		return err
	}
	in.policy.OnWakeup(p.now, call)
	return nil
}

func (p *process) onProbeResult(in *instance, line *inputLine) error {
	endpoint := in.endpoints.ByID(line.integer("switch", 0, maxEndpointID))
	outcome := line.outcome("disposition", outcomes)
	line.float("costTime", 0)
	if endpoint == nil {
		return line.err
	}
	complete := line.loadReport(in.fields, &endpoint.LoadReport)
	if err := line.finish(); err != nil {
		return err
	}
	in.policy.OnLoadReport(p.now, endpoint, outcome == routing.Completed, complete)
	return nil
}

func (p *process) onGossip(in *instance, line *inputLine) error {
	gateway := line.integer("who", 0, maxGateway)
	message := line.bytes("contents")
	if err := line.finish(); err != nil {
		return err
	}
	in.policy.OnGossip(p.now, int(gateway), message)
	return nil
}

func (p *process) onAnswer(in *instance, line *inputLine) error {
	callID, index := line.text("corr"), line.integer("sendNo", 0, maxAttemptIndex)
	line.integer("switch", 0, maxEndpointID)
	latency := line.float("costTime", 0)
	tracker, attempt := in.attempt(callID, index)
	if err := line.finish(); err != nil || attempt == nil {
		return err
	}
	attempt.Latency = latency
	tracker.Established = true
	in.policy.OnAnswer(p.now, attempt)
	return nil
}

func (p *process) onAttemptEnd(in *instance, line *inputLine) error {
	callID := line.text("corr")
	line.integer("switch", 0, maxEndpointID)
	index := line.integer("sendNo", 0, maxAttemptIndex)
	latency := line.float("costTime", 0)
	note := int64(line.float("note", 0))
	outcome := line.outcome("disposition", outcomes)
	finished := line.flag("finished")
	tracker, attempt := in.attempt(callID, index)
	report := routing.UnknownLoad()
	if attempt != nil {
		report = attempt.Endpoint.LoadReport
	}
	complete := line.loadReport(in.fields, &report)
	if err := line.finish(); err != nil || attempt == nil {
		return err
	}
	attempt.Endpoint.LoadReport, attempt.HasLoadReport = report, complete
	attempt.AtCapacity = outcome == routing.Overloaded && note%noteReasons == noteAtCapacity
	attempt.RetryAfter = float64(note / noteReasons)
	attempt.NumberBusy = outcome == routing.Failed && note%noteReasons == noteNumberBusy
	tracker.RecordOutcome(attempt, outcome, latency, finished)
	in.policy.OnAttemptEnd(p.now, attempt, finished)
	in.forget(tracker)
	return nil
}
