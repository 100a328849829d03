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
	name     string
	out      *bufio.Writer
	now      float64
	mod      routing.Policy
	fields   []string
	pools    *endpointset.Set[int64]
	contacts map[string]*attempts.Tracker
	timers   map[int64]*routing.Call
	timer    int64
	skills   map[string]*routing.Class
	payers   map[string]*routing.Tenant
}

func (in *instance) act(kind string, parts ...string) {
	in.out.WriteString(kind + "\t" + in.name)
	for _, p := range parts {
		in.out.WriteString("\t" + p)
	}
	in.out.WriteByte('\n')
}

func ms(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }

func num(v int64) string { return strconv.FormatInt(v, 10) }

// StartAttempt implements routing.Host.
func (in *instance) StartAttempt(c *routing.Call, p *routing.Endpoint, limit float64) {
	k := c.HostData.(*attempts.Tracker)
	k.Begin(p, in.now)
	in.act("try", k.ID, num(in.pools.IDOf(p)), ms(limit))
}

// Reject implements routing.Host.
func (in *instance) Reject(c *routing.Call, wait float64) {
	c.Finished = true
	in.act("decline", c.HostData.(*attempts.Tracker).ID, ms(wait))
	in.drop(c.HostData.(*attempts.Tracker))
}

// Fail implements routing.Host.
func (in *instance) Fail(c *routing.Call) {
	c.Finished = true
	in.act("abort", c.HostData.(*attempts.Tracker).ID)
	in.drop(c.HostData.(*attempts.Tracker))
}

// CancelAttempt implements routing.Host.
func (in *instance) CancelAttempt(r *routing.Attempt) {
	in.act("call_off", r.Call.HostData.(*attempts.Tracker).ID, num(int64(r.HostData.(int))))
}

// ProbeHealth implements routing.Host.
func (in *instance) ProbeHealth(p *routing.Endpoint) { in.act("ask_load", num(in.pools.IDOf(p))) }

// SendGossip implements routing.Host.
func (in *instance) SendGossip(to int, data []byte) {
	in.act("memo_to", num(int64(to)), hex.EncodeToString(data))
}

// ScheduleWakeup implements routing.Host.
func (in *instance) ScheduleWakeup(at float64, c *routing.Call) {
	in.timer++
	in.timers[in.timer] = c
	in.act("schedule", ms(at), num(in.timer))
}

// drop forgets a call that has its answer and no attempt out.
func (in *instance) drop(k *attempts.Tracker) {
	if k.Done() {
		delete(in.contacts, k.ID)
	}
}

// process is the process: its instances and its numbered lists.
type process struct {
	out   *bufio.Writer
	mk    routing.PolicyFactory
	insts map[string]*instance
	banks map[int64][][]string
	now   float64
}

// Serve answers batches until the input ends. An error names the line and what was expected there.
func Serve(in io.Reader, out io.Writer, mk routing.PolicyFactory) error {
	h := &process{out: bufio.NewWriterSize(out, 1<<16), mk: mk, insts: map[string]*instance{},
		banks: map[int64][][]string{}}
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
		l := &line{n: n, kind: parts[0], parts: parts[1:]}
		switch {
		case entries > 0:
			if l.kind != "entry" || len(l.parts) < 7 {
				return fmt.Errorf("line %d: want an \"entry\" with 7 values, got %q", n, text)
			}
			list = append(list, l.parts)
			if entries--; entries == 0 {
				h.banks[bank] = list
			}
		case l.kind == "round" && !inside:
			inside, h.now = true, l.num("time", math.NaN())
			if math.IsNaN(h.now) {
				l.fault("time", "a number", "-")
			}
			err = l.done()
		case !inside:
			return fmt.Errorf("line %d: want \"round\", got %q", n, text)
		case l.kind == "eob":
			inside = false
			h.out.WriteString("ready\n")
			if err := h.out.Flush(); err != nil {
				return fmt.Errorf("reply: %w", err)
			}
		case l.kind == "roster":
			bank, entries, list = l.whole("bank", 0, 15), l.whole("entries", 0, 1<<24), nil
			if err = l.done(); entries == 0 {
				h.banks[bank] = nil
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
func (h *process) event(l *line, text string) (err error) {
	name := l.text("gatewayId")
	if !strings.HasPrefix(name, "gateway-") && l.err == nil {
		l.fault("gatewayId", "gateway- and a number", name)
	}
	in := h.insts[name]
	if l.err != nil {
		return l.err
	}
	defer func() {
		if p := recover(); p != nil {
			top := strings.Join(strings.Fields(string(debug.Stack())), " ")
			(&instance{name: name, out: h.out}).act("give_in", fmt.Sprintf("%v at %.2000s", p, top))
			delete(h.insts, name)
		}
	}()
	if l.kind == "create" {
		return h.create(l, name, text)
	}
	do, known := handlers[l.kind]
	if !known {
		return fmt.Errorf("line %d: want an event of the wire, got %q", l.n, l.kind)
	}
	if in == nil {
		if l.kind == "halt" {
			return l.done()
		}
		return nil // of an instance that is gone: legal, and nobody is left to hear it
	}
	in.now = h.now
	return do(h, in, l)
}

func (h *process) create(l *line, name, text string) error {
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
		return fmt.Errorf("line %d: create: params: %w", l.n, err)
	}
	in := &instance{name: name, out: h.out, fields: fields, pools: endpointset.New[int64](),
		contacts: map[string]*attempts.Tracker{},
		timers:   map[int64]*routing.Call{}, skills: map[string]*routing.Class{},
		payers: map[string]*routing.Tenant{}}
	for _, k := range set.Classes {
		in.skills[k.Name] = k
	}
	for _, c := range set.Tenants {
		in.payers[c.Name] = c
	}
	in.mod = h.mk(set, in)
	h.insts[name] = in
	return nil
}

var handlers = map[string]func(*process, *instance, *line) error{
	"halt": func(h *process, in *instance, l *line) error {
		delete(h.insts, in.name)
		return l.done()
	},
	"peers_known": (*process).listed,
	"knock":       (*process).knock,
	"under_way":   (*process).stood,
	"outcome":     (*process).ended,
	"lapsed": func(h *process, in *instance, l *line) error {
		k := in.contacts[l.text("corr")]
		if err := l.done(); err != nil || k == nil || k.Finished {
			return err
		}
		k.Finished = true
		in.mod.OnHangup(h.now, k.Call)
		in.drop(k)
		return nil
	},
	"timer": func(h *process, in *instance, l *line) error {
		id := l.whole("ctx", 0, math.MaxInt64)
		c, ok := in.timers[id]
		delete(in.timers, id)
		if err := l.done(); err != nil || !ok {
			return err
		}
		in.mod.OnWakeup(h.now, c)
		return nil
	},
	"ping_result": func(h *process, in *instance, l *line) error {
		p := in.pools.ByID(l.whole("switch", 0, 1<<32-1))
		end := l.choice("disposition", ends)
		l.num("costTime", 0)
		if p == nil {
			return l.err
		}
		full := l.report(in.fields, &p.LoadReport)
		if err := l.done(); err != nil {
			return err
		}
		in.mod.OnLoadReport(h.now, p, end == routing.Completed, full)
		return nil
	},
	"memo": func(h *process, in *instance, l *line) error {
		from, data := l.whole("who", 0, 1<<31), l.bytes("contents")
		if err := l.done(); err != nil {
			return err
		}
		in.mod.OnGossip(h.now, int(from), data)
		return nil
	},
}

func (h *process) listed(in *instance, l *line) error {
	l.text("epoch")
	bank, kind := l.num("bank", 0), l.whole("scope", 0, 3)
	if err := l.done(); err != nil || kind == 3 {
		return err
	}
	list, ok := h.banks[int64(bank)]
	if !ok {
		return fmt.Errorf("line %d: peers_known: want the number of a roster sent before, got %v", l.n, bank)
	}
	entries := make([]endpointset.Entry[int64], 0, len(list))
	for _, e := range list {
		v := &line{n: l.n, kind: "entry", parts: e}
		id := v.whole("switch", 0, 1<<32-1)
		v.text("locality")
		v.text("kind")
		number := int(v.whole("nodeNo", -1, 1<<32))
		state := routing.State(v.whole("lifecycle", 0, 2))
		v.num("capacityHint", 1)
		entries = append(entries, endpointset.Entry[int64]{ID: id, DestinationID: number, State: state, StartedAt: v.num("onlineSince", 0)})
		if err := v.done(); err != nil {
			return err
		}
	}
	in.mod.OnEndpoints(h.now, in.pools.Apply(entries, kind != 1))
	return nil
}

func (h *process) knock(in *instance, l *line) error {
	c := &routing.Call{ArrivedAt: h.now}
	k := &attempts.Tracker{Call: c, ID: l.text("corr")}
	c.HostData = k
	l.num("cost", 0)
	left := l.num("left", math.NaN())
	skill := l.text("tierClass")
	c.Class = in.skills[skill]
	if c.Class == nil {
		l.fault("tierClass", "a class of the settings", skill)
	}
	if math.IsNaN(left) && c.Class != nil {
		left = c.Class.Timeout
	}
	c.Deadline = h.now + left
	c.CalledNumber = l.text("routeKey")
	l.flag("mutates")
	l.num("units", 1)
	c.Resumed = l.flag("returned")
	l.flag("isRetry")
	l.num("hop", -1)
	l.flag("passing")
	if who := l.text("realm"); who != "" && who != "0" {
		c.Tenant = in.payers[who]
	}
	c.DestinationID = int(l.num("farEnd", -1))
	c.Destination = in.pools.ByDestination(c.DestinationID)
	if err := l.done(); err != nil {
		return err
	}
	in.contacts[k.ID] = k
	in.mod.OnCall(h.now, c)
	return nil
}

// attempt finds the attempt that an event speaks of; nil where it ended before.
func (in *instance) ring(l *line, id string, n int64) (*attempts.Tracker, *routing.Attempt) {
	k := in.contacts[id]
	if k == nil || n >= int64(len(k.Log)) {
		return k, nil
	}
	return k, k.Log[n]
}

func (h *process) stood(in *instance, l *line) error {
	id, n := l.text("corr"), l.whole("sendNo", 0, 1<<20)
	l.whole("switch", 0, 1<<32-1)
	cost := l.num("costTime", 0)
	k, r := in.ring(l, id, n)
	if err := l.done(); err != nil || r == nil {
		return err
	}
	r.Latency, k.Established = cost, true
	in.mod.OnAnswer(h.now, r)
	return nil
}

func (h *process) ended(in *instance, l *line) error {
	id := l.text("corr")
	l.whole("switch", 0, 1<<32-1)
	n, cost, note := l.whole("sendNo", 0, 1<<20), l.num("costTime", 0), int64(l.num("note", 0))
	end, closed := l.choice("disposition", ends), l.flag("finished")
	k, r := in.ring(l, id, n)
	into := routing.UnknownLoad()
	if r != nil {
		into = r.Endpoint.LoadReport
	}
	full := l.report(in.fields, &into)
	if err := l.done(); err != nil || r == nil {
		return err
	}
	r.Endpoint.LoadReport, r.HasLoadReport = into, full
	r.AtCapacity, r.RetryAfter = end == routing.Overloaded && note%16 == 1, float64(note/16)
	r.NumberBusy = end == routing.Failed && note%16 == 4
	k.RecordOutcome(r, end, cost, closed)
	in.mod.OnAttemptEnd(h.now, r, closed)
	in.drop(k)
	return nil
}
