package benchwire

import (
	"bufio"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"runtime/debug"
	"sort"
	"strconv"
	"strings"

	"cobaltpier/contact"
)

// Module is the decision module as the host sees it.
type Module interface {
	// Listed says that pools were added or changed their state; those told are in the order of the list.
	Listed(now float64, changed []*contact.Pool)
	// Offered hands a new contact over.
	Offered(now float64, c *contact.Contact)
	// Stood says that a ring's contact stands.
	Stood(now float64, r *contact.Ring)
	// Ended says how a ring ended; closed: its contact needs no answer any more.
	Ended(now float64, r *contact.Ring, closed bool)
	// Left says that the caller is gone.
	Left(now float64, c *contact.Contact)
	// Reported says that a report came by itself or for a probe; ok: the pool answered, full: with figures.
	Reported(now float64, p *contact.Pool, ok, full bool)
	// Told brings another gateway's message.
	Told(now float64, from int, data []byte)
	// Woken calls back as asked for.
	Woken(now float64, c *contact.Contact)
}

// Maker makes the module of one instance.
type Maker func(*contact.Settings, contact.Host) Module

// instance is one gateway: its module and the ids at its door.
type instance struct {
	name     string
	out      *bufio.Writer
	now      float64
	mod      Module
	fields   []string
	pools    map[int64]*contact.Pool
	ids      map[*contact.Pool]int64
	home     map[int]*contact.Pool
	contacts map[string]*call
	timers   map[int64]*contact.Contact
	timer    int64
	skills   map[string]*contact.Skill
	payers   map[string]*contact.Customer
}

// call is a contact with its id and rings, kept until all of them have ended.
type call struct {
	*contact.Contact
	id    string
	rings []*contact.Ring
	open  int
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

// Ring implements contact.Host.
func (in *instance) Ring(c *contact.Contact, p *contact.Pool, limit float64) {
	k := c.ID.(*call)
	r := &contact.Ring{Contact: c, Pool: p, Sent: in.now, ID: len(k.rings)}
	k.rings = append(k.rings, r)
	k.open++
	c.Out = r
	in.act("try", k.id, num(in.ids[p]), ms(limit))
}

// Defer implements contact.Host.
func (in *instance) Defer(c *contact.Contact, wait float64) {
	c.Over = true
	in.act("decline", c.ID.(*call).id, ms(wait))
	in.drop(c.ID.(*call))
}

// Abandon implements contact.Host.
func (in *instance) Abandon(c *contact.Contact) {
	c.Over = true
	in.act("abort", c.ID.(*call).id)
	in.drop(c.ID.(*call))
}

// Cancel implements contact.Host.
func (in *instance) Cancel(r *contact.Ring) {
	in.act("call_off", r.Contact.ID.(*call).id, num(int64(r.ID.(int))))
}

// Probe implements contact.Host.
func (in *instance) Probe(p *contact.Pool) { in.act("ask_load", num(in.ids[p])) }

// Tell implements contact.Host.
func (in *instance) Tell(to int, data []byte) {
	in.act("memo_to", num(int64(to)), hex.EncodeToString(data))
}

// Wake implements contact.Host.
func (in *instance) Wake(at float64, c *contact.Contact) {
	in.timer++
	in.timers[in.timer] = c
	in.act("schedule", ms(at), num(in.timer))
}

// drop forgets a call that has its answer and no ring out.
func (in *instance) drop(k *call) {
	if k.Over && k.open == 0 {
		delete(in.contacts, k.id)
	}
}

// host is the process: its instances and its numbered lists.
type host struct {
	out   *bufio.Writer
	mk    Maker
	insts map[string]*instance
	banks map[int64][][]string
	now   float64
}

// Serve answers batches until the input ends. An error names the line and what was expected there.
func Serve(in io.Reader, out io.Writer, mk Maker) error {
	h := &host{out: bufio.NewWriterSize(out, 1<<16), mk: mk, insts: map[string]*instance{},
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
func (h *host) event(l *line, text string) (err error) {
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

func (h *host) create(l *line, name, text string) error {
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
	set, fields, err := settings(parts[3], seed)
	if err != nil {
		return fmt.Errorf("line %d: create: %w", l.n, err)
	}
	in := &instance{name: name, out: h.out, fields: fields, pools: map[int64]*contact.Pool{},
		ids: map[*contact.Pool]int64{}, home: map[int]*contact.Pool{}, contacts: map[string]*call{},
		timers: map[int64]*contact.Contact{}, skills: map[string]*contact.Skill{},
		payers: map[string]*contact.Customer{}}
	for _, k := range set.Skills {
		in.skills[k.Name] = k
	}
	for _, c := range set.Customers {
		in.payers[c.Name] = c
	}
	in.mod = h.mk(set, in)
	h.insts[name] = in
	return nil
}

var handlers = map[string]func(*host, *instance, *line) error{
	"halt": func(h *host, in *instance, l *line) error {
		delete(h.insts, in.name)
		return l.done()
	},
	"peers_known": (*host).listed,
	"knock":       (*host).knock,
	"under_way":   (*host).stood,
	"outcome":     (*host).ended,
	"lapsed": func(h *host, in *instance, l *line) error {
		k := in.contacts[l.text("corr")]
		if err := l.done(); err != nil || k == nil || k.Over {
			return err
		}
		k.Over = true
		in.mod.Left(h.now, k.Contact)
		in.drop(k)
		return nil
	},
	"timer": func(h *host, in *instance, l *line) error {
		id := l.whole("ctx", 0, math.MaxInt64)
		c, ok := in.timers[id]
		delete(in.timers, id)
		if err := l.done(); err != nil || !ok {
			return err
		}
		in.mod.Woken(h.now, c)
		return nil
	},
	"ping_result": func(h *host, in *instance, l *line) error {
		p := in.pools[l.whole("switch", 0, 1<<32-1)]
		end := l.choice("disposition", ends)
		l.num("costTime", 0)
		if p == nil {
			return l.err
		}
		full := l.report(in.fields, &p.Report)
		if err := l.done(); err != nil {
			return err
		}
		in.mod.Reported(h.now, p, end == contact.Done, full)
		return nil
	},
	"memo": func(h *host, in *instance, l *line) error {
		from, data := l.whole("who", 0, 1<<31), l.bytes("contents")
		if err := l.done(); err != nil {
			return err
		}
		in.mod.Told(h.now, int(from), data)
		return nil
	},
}

func (h *host) listed(in *instance, l *line) error {
	l.text("epoch")
	bank, kind := l.num("bank", 0), l.whole("scope", 0, 3)
	if err := l.done(); err != nil || kind == 3 {
		return err
	}
	list, ok := h.banks[int64(bank)]
	if !ok {
		return fmt.Errorf("line %d: peers_known: want the number of a roster sent before, got %v", l.n, bank)
	}
	var changed []*contact.Pool
	named := map[*contact.Pool]bool{}
	for _, e := range list {
		v := &line{n: l.n, kind: "entry", parts: e}
		id := v.whole("switch", 0, 1<<32-1)
		p := in.pools[id]
		if p == nil {
			p = &contact.Pool{Report: blank()}
			in.pools[id], in.ids[p] = p, id
		}
		v.text("locality")
		v.text("kind")
		p.Number = int(v.whole("nodeNo", -1, 1<<32))
		p.State = contact.State(v.whole("lifecycle", 0, 2))
		v.num("capacityHint", 1)
		p.Since = v.num("onlineSince", 0)
		if err := v.done(); err != nil {
			return err
		}
		named[p] = true
		if old := in.home[p.Number]; old == nil || p.State == contact.Ready || old.State == contact.Gone {
			in.home[p.Number] = p // of several machines with one number the latest that runs
		}
		changed = append(changed, p)
	}
	if kind != 1 { // what a whole list leaves out is gone
		gone := make([]*contact.Pool, 0)
		for _, p := range in.pools {
			if !named[p] && p.State != contact.Gone {
				p.State = contact.Gone
				gone = append(gone, p)
			}
		}
		sort.Slice(gone, func(i, j int) bool { return in.ids[gone[i]] < in.ids[gone[j]] })
		changed = append(changed, gone...)
	}
	in.mod.Listed(h.now, changed)
	return nil
}

func (h *host) knock(in *instance, l *line) error {
	c := &contact.Contact{Came: h.now}
	k := &call{Contact: c, id: l.text("corr")}
	c.ID = k
	l.num("cost", 0)
	left := l.num("left", math.NaN())
	skill := l.text("tierClass")
	c.Skill = in.skills[skill]
	if c.Skill == nil {
		l.fault("tierClass", "a class of the settings", skill)
	}
	if math.IsNaN(left) && c.Skill != nil {
		left = c.Skill.Patience
	}
	c.Until = h.now + left
	c.Number = l.text("routeKey")
	l.flag("mutates")
	l.num("units", 1)
	c.Again = l.flag("returned")
	l.flag("isRetry")
	l.num("hop", -1)
	l.flag("passing")
	if who := l.text("realm"); who != "" && who != "0" {
		c.Customer = in.payers[who]
	}
	c.HomeNumber = int(l.num("farEnd", -1))
	c.Home = in.home[c.HomeNumber]
	if err := l.done(); err != nil {
		return err
	}
	in.contacts[k.id] = k
	in.mod.Offered(h.now, c)
	return nil
}

// ring finds the ring that an event speaks of; nil where it ended before.
func (in *instance) ring(l *line, id string, n int64) (*call, *contact.Ring) {
	k := in.contacts[id]
	if k == nil || n >= int64(len(k.rings)) {
		return k, nil
	}
	return k, k.rings[n]
}

func (h *host) stood(in *instance, l *line) error {
	id, n := l.text("corr"), l.whole("sendNo", 0, 1<<20)
	l.whole("switch", 0, 1<<32-1)
	cost := l.num("costTime", 0)
	k, r := in.ring(l, id, n)
	if err := l.done(); err != nil || r == nil {
		return err
	}
	r.Cost, k.Stands = cost, true
	in.mod.Stood(h.now, r)
	return nil
}

func (h *host) ended(in *instance, l *line) error {
	id := l.text("corr")
	l.whole("switch", 0, 1<<32-1)
	n, cost, note := l.whole("sendNo", 0, 1<<20), l.num("costTime", 0), int64(l.num("note", 0))
	end, closed := l.choice("disposition", ends), l.flag("finished")
	k, r := in.ring(l, id, n)
	into := blank()
	if r != nil {
		into = r.Pool.Report
	}
	full := l.report(in.fields, &into)
	if err := l.done(); err != nil || r == nil {
		return err
	}
	k.rings[n] = nil
	k.open--
	r.Pool.Report, r.Cost, r.End, r.Reported = into, cost, end, full
	r.NoAgent, r.Wait = end == contact.Full && note%16 == 1, float64(note/16)
	r.Engaged = end == contact.Failed && note%16 == 4
	if k.Out == r {
		k.Out = nil
	}
	k.Over = k.Over || closed
	in.mod.Ended(h.now, r, closed)
	in.drop(k)
	return nil
}
