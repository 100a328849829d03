package simadapter

import (
	"bufio"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"runtime/debug"
	"strconv"
	"strings"

	"cobaltpier/internal/deployment"
	"cobaltpier/internal/protocol/attempts"
	"cobaltpier/internal/protocol/endpointset"
	"cobaltpier/internal/routing"
)

// instance is one gateway: its module and the ids at its door.
type instance struct {
	name      string
	out       *bufio.Writer
	now       float64
	policy    routing.Policy
	fields    []string
	endpoints *endpointset.Set[int64]
	calls     map[string]*attempts.Tracker
	timers    map[int64]*routing.Call
	lastTimer int64
	classes   map[string]*routing.Class
	tenants   map[string]*routing.Tenant
}

func (in *instance) send(kind string, parts ...string) {
	in.out.WriteString(kind + "\t" + in.name)
	for _, p := range parts {
		in.out.WriteString("\t" + p)
	}
	in.out.WriteByte('\n')
}

func formatMillis(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }

func formatInt(v int64) string { return strconv.FormatInt(v, 10) }

// StartAttempt implements routing.Host.
func (in *instance) StartAttempt(c *routing.Call, p *routing.Endpoint, limit float64) {
	k := c.HostData.(*attempts.Tracker)
	k.Begin(p, in.now)
	in.send("try", k.ID, formatInt(in.endpoints.IDOf(p)), formatMillis(limit))
}

// Reject implements routing.Host.
func (in *instance) Reject(c *routing.Call, wait float64) {
	c.Finished = true
	in.send("decline", c.HostData.(*attempts.Tracker).ID, formatMillis(wait))
	in.forget(c.HostData.(*attempts.Tracker))
}

// Fail implements routing.Host.
func (in *instance) Fail(c *routing.Call) {
	c.Finished = true
	in.send("abort", c.HostData.(*attempts.Tracker).ID)
	in.forget(c.HostData.(*attempts.Tracker))
}

// CancelAttempt implements routing.Host.
func (in *instance) CancelAttempt(r *routing.Attempt) {
	in.send("call_off", r.Call.HostData.(*attempts.Tracker).ID, formatInt(int64(r.HostData.(int))))
}

// ProbeHealth implements routing.Host.
func (in *instance) ProbeHealth(p *routing.Endpoint) {
	in.send("ask_load", formatInt(in.endpoints.IDOf(p)))
}

// SendGossip implements routing.Host.
func (in *instance) SendGossip(to int, data []byte) {
	in.send("memo_to", formatInt(int64(to)), hex.EncodeToString(data))
}

// ScheduleWakeup implements routing.Host.
func (in *instance) ScheduleWakeup(at float64, c *routing.Call) {
	in.lastTimer++
	in.timers[in.lastTimer] = c
	in.send("schedule", formatMillis(at), formatInt(in.lastTimer))
}

// forget forgets a call that has its answer and no attempt out.
func (in *instance) forget(k *attempts.Tracker) {
	if k.Done() {
		delete(in.calls, k.ID)
	}
}

// process is the process: its instances and its numbered lists.
type process struct {
	out       *bufio.Writer
	newPolicy routing.PolicyFactory
	instances map[string]*instance
	rosters   map[int64][][]string
	now       float64
}

// Serve answers batches until the input ends. An error names the line and what was expected there.
func Serve(in io.Reader, out io.Writer, mk routing.PolicyFactory) error {
	h := &process{out: bufio.NewWriterSize(out, 1<<16), newPolicy: mk, instances: map[string]*instance{},
		rosters: map[int64][][]string{}}
	rd := bufio.NewReaderSize(in, 1<<20)
	n, inside := 0, false
	var entries, bank int64 // list lines still to come, and their list
	var list [][]string
	for {
		text, err := rd.ReadString('\n')
		if errors.Is(err, io.EOF) {
			if text != "" || inside {
				return fmt.Errorf("line %d: input ends inside a batch: want \"eob\"", n+1)
			}
			return nil
		} else if err != nil {
			return fmt.Errorf("line %d: %w", n+1, err)
		}
		n++
		text = strings.TrimSuffix(strings.TrimSuffix(text, "\n"), "\r")
		if text == "" && !inside {
			continue // examples part batches by empty lines
		}
		parts := strings.Split(text, "\t")
		l := &inputLine{number: n, kind: parts[0], parts: parts[1:]}
		switch {
		case entries > 0:
			if l.kind != "entry" || len(l.parts) < 7 {
				return fmt.Errorf("line %d: want an \"entry\" with 7 values, got %q", n, text)
			}
			list = append(list, l.parts)
			if entries--; entries == 0 {
				h.rosters[bank] = list
			}
		case l.kind == "round" && !inside:
			inside, h.now = true, l.float("time", math.NaN())
			if math.IsNaN(h.now) {
				l.fault("time", "a number", "-")
			}
			err = l.finish()
		case !inside:
			return fmt.Errorf("line %d: want \"round\", got %q", n, text)
		case l.kind == "eob":
			inside = false
			h.out.WriteString("ready\n")
			if err := h.out.Flush(); err != nil {
				return fmt.Errorf("reply: %w", err)
			}
		case l.kind == "roster":
			bank, entries, list = l.integer("bank", 0, 15), l.integer("entries", 0, 1<<24), nil
			if err = l.finish(); entries == 0 {
				h.rosters[bank] = nil
			}
		default:
			err = h.event(l, text)
		}
		if err != nil {
			return err
		}
	}
}

// event hands one event to its instance. A panic in the module goes out as a fault.
func (h *process) event(l *inputLine, text string) (err error) {
	name := l.text("gatewayId")
	if !strings.HasPrefix(name, "gateway-") && l.err == nil {
		l.fault("gatewayId", "gateway- and a number", name)
	}
	in := h.instances[name]
	if l.err != nil {
		return l.err
	}
	defer func() {
		if p := recover(); p != nil {
			top := strings.Join(strings.Fields(string(debug.Stack())), " ")
			(&instance{name: name, out: h.out}).send("give_in", fmt.Sprintf("%v at %.2000s", p, top))
			delete(h.instances, name)
		}
	}()
	if l.kind == "create" {
		return h.create(l, name, text)
	}
	do, known := handlers[l.kind]
	if !known {
		return fmt.Errorf("line %d: want an event of the wire, got %q", l.number, l.kind)
	}
	if in == nil {
		if l.kind == "halt" {
			return l.finish()
		}
		return nil // of an instance that is gone: legal, and nobody is left to hear it
	}
	in.now = h.now
	return do(h, in, l)
}

func (h *process) create(l *inputLine, name, text string) error {
	seed, err := strconv.ParseUint(l.text("rngSeed"), 10, 64)
	if err != nil {
		l.fault("rngSeed", "a whole number", fmt.Sprint(err))
		return l.err
	}
	parts := strings.SplitN(text, "\t", 4)
	if len(parts) < 4 {
		l.fault("params", "a JSON object", "end of line")
		return l.err
	}
	set, fields, err := deployment.Decode([]byte(parts[3]), seed)
	if err != nil {
		return fmt.Errorf("line %d: create: params: %w", l.number, err)
	}
	in := &instance{name: name, out: h.out, fields: fields, endpoints: endpointset.New[int64](),
		calls:  map[string]*attempts.Tracker{},
		timers: map[int64]*routing.Call{}, classes: map[string]*routing.Class{},
		tenants: map[string]*routing.Tenant{}}
	for _, k := range set.Classes {
		in.classes[k.Name] = k
	}
	for _, c := range set.Tenants {
		in.tenants[c.Name] = c
	}
	in.policy = h.newPolicy(set, in)
	h.instances[name] = in
	return nil
}

var handlers = map[string]func(*process, *instance, *inputLine) error{
	"halt": func(h *process, in *instance, l *inputLine) error {
		delete(h.instances, in.name)
		return l.finish()
	},
	"peers_known": (*process).onEndpoints,
	"knock":       (*process).onCall,
	"under_way":   (*process).onAnswer,
	"outcome":     (*process).onAttemptEnd,
	"lapsed": func(h *process, in *instance, l *inputLine) error {
		k := in.calls[l.text("corr")]
		if err := l.finish(); err != nil || k == nil || k.Finished {
			return err
		}
		k.Finished = true
		in.policy.OnHangup(h.now, k.Call)
		in.forget(k)
		return nil
	},
	"timer": func(h *process, in *instance, l *inputLine) error {
		id := l.integer("ctx", 0, math.MaxInt64)
		c, ok := in.timers[id]
		delete(in.timers, id)
		if err := l.finish(); err != nil || !ok {
			return err
		}
		in.policy.OnWakeup(h.now, c)
		return nil
	},
	"ping_result": func(h *process, in *instance, l *inputLine) error {
		p := in.endpoints.ByID(l.integer("switch", 0, 1<<32-1))
		end := l.outcome("disposition", outcomes)
		l.float("costTime", 0)
		if p == nil {
			return l.err
		}
		full := l.loadReport(in.fields, &p.LoadReport)
		if err := l.finish(); err != nil {
			return err
		}
		in.policy.OnLoadReport(h.now, p, end == routing.Completed, full)
		return nil
	},
	"memo": func(h *process, in *instance, l *inputLine) error {
		from, data := l.integer("who", 0, 1<<31), l.bytes("contents")
		if err := l.finish(); err != nil {
			return err
		}
		in.policy.OnGossip(h.now, int(from), data)
		return nil
	},
}

func (h *process) onEndpoints(in *instance, l *inputLine) error {
	l.text("epoch")
	bank, kind := l.float("bank", 0), l.integer("scope", 0, 3)
	if err := l.finish(); err != nil || kind == 3 {
		return err
	}
	list, ok := h.rosters[int64(bank)]
	if !ok {
		return fmt.Errorf("line %d: peers_known: want the number of a roster sent before, got %v", l.number, bank)
	}
	entries := make([]endpointset.Entry[int64], 0, len(list))
	for _, e := range list {
		v := &inputLine{number: l.number, kind: "entry", parts: e}
		id := v.integer("switch", 0, 1<<32-1)
		v.text("locality")
		v.text("kind")
		number := int(v.integer("nodeNo", -1, 1<<32))
		state := routing.State(v.integer("lifecycle", 0, 2))
		v.float("capacityHint", 1)
		entries = append(
			entries,
			endpointset.Entry[int64]{ID: id, DestinationID: number, State: state, StartedAt: v.float("onlineSince", 0)},
		)
		if err := v.finish(); err != nil {
			return err
		}
	}
	in.policy.OnEndpoints(h.now, in.endpoints.Apply(entries, kind != 1))
	return nil
}

func (h *process) onCall(in *instance, l *inputLine) error {
	c := &routing.Call{ArrivedAt: h.now}
	k := &attempts.Tracker{Call: c, ID: l.text("corr")}
	c.HostData = k
	l.float("cost", 0)
	left := l.float("left", math.NaN())
	skill := l.text("tierClass")
	c.Class = in.classes[skill]
	if c.Class == nil {
		l.fault("tierClass", "a class of the settings", skill)
	}
	if math.IsNaN(left) && c.Class != nil {
		left = c.Class.Timeout
	}
	c.Deadline = h.now + left
	c.CalledNumber = l.text("routeKey")
	l.flag("mutates")
	l.float("units", 1)
	c.Resumed = l.flag("returned")
	l.flag("isRetry")
	l.float("hop", -1)
	l.flag("passing")
	if who := l.text("realm"); who != "" && who != "0" {
		c.Tenant = in.tenants[who]
	}
	c.DestinationID = int(l.float("farEnd", -1))
	c.Destination = in.endpoints.ByDestination(c.DestinationID)
	if err := l.finish(); err != nil {
		return err
	}
	in.calls[k.ID] = k
	in.policy.OnCall(h.now, c)
	return nil
}

// attempt finds the attempt that an event speaks of; nil where it ended before.
func (in *instance) attemptOf(l *inputLine, id string, n int64) (*attempts.Tracker, *routing.Attempt) {
	k := in.calls[id]
	if k == nil || n >= int64(len(k.Log)) {
		return k, nil
	}
	return k, k.Log[n]
}

func (h *process) onAnswer(in *instance, l *inputLine) error {
	id, n := l.text("corr"), l.integer("sendNo", 0, 1<<20)
	l.integer("switch", 0, 1<<32-1)
	cost := l.float("costTime", 0)
	k, r := in.attemptOf(l, id, n)
	if err := l.finish(); err != nil || r == nil {
		return err
	}
	r.Latency, k.Established = cost, true
	in.policy.OnAnswer(h.now, r)
	return nil
}

func (h *process) onAttemptEnd(in *instance, l *inputLine) error {
	id := l.text("corr")
	l.integer("switch", 0, 1<<32-1)
	n, cost, note := l.integer("sendNo", 0, 1<<20), l.float("costTime", 0), int64(l.float("note", 0))
	end, closed := l.outcome("disposition", outcomes), l.flag("finished")
	k, r := in.attemptOf(l, id, n)
	into := routing.UnknownLoad()
	if r != nil {
		into = r.Endpoint.LoadReport
	}
	full := l.loadReport(in.fields, &into)
	if err := l.finish(); err != nil || r == nil {
		return err
	}
	r.Endpoint.LoadReport, r.HasLoadReport = into, full
	r.AtCapacity, r.RetryAfter = end == routing.Overloaded && note%16 == 1, float64(note/16)
	r.NumberBusy = end == routing.Failed && note%16 == 4
	k.RecordOutcome(r, end, cost, closed)
	in.policy.OnAttemptEnd(h.now, r, closed)
	in.forget(k)
	return nil
}
