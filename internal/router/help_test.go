package router

import (
	"math"

	"cobaltpier/internal/routing"
)

// wake is a call back that the module asked for.
type wake struct {
	at float64
	c  *routing.Contact
}

// bench is a host that writes down what it is asked, and a slow plain model of the rules beside it.
type bench struct {
	now                 float64
	b                   *Brain
	skill               *routing.Skill
	number              string
	left                float64
	all                 []*routing.Contact
	rings, cancelled    []*routing.Ring
	deferred, abandoned []*routing.Contact
	probed              int
	told                [][]byte
	wakes               []wake
	rule                func(rule int, what string) // hears of a broken rule
	answered            map[*routing.Contact]bool
	out                 map[*routing.Contact]int
	notTill             map[*routing.Contact]float64
	stopped             map[*routing.Pool]bool
	start               map[*routing.Pool]float64
	sent                map[*routing.Pool][]float64
}

func (h *bench) broke(rule int, what string) {
	if h.rule != nil {
		h.rule(rule, what)
	}
}

// Ring checks rules 1, 2, 3 and 5 by the plain model, and notes the send for rule 4.
func (h *bench) Ring(c *routing.Contact, p *routing.Pool, _ float64) {
	if h.answered[c] || h.now > c.Until {
		h.broke(1, "sent after the answer or the patience")
	}
	if h.out[c]++; h.out[c] > 1 {
		h.broke(2, "two rings out")
	}
	if h.stopped[p] {
		h.broke(3, "sent to a pool that drains or is gone")
	}
	if h.now < h.notTill[c] {
		h.broke(5, "sent before the clear wait was over")
	}
	h.sent[p] = append(h.sent[p], h.now)
	c.Out = &routing.Ring{Contact: c, Pool: p, Sent: h.now}
	h.rings = append(h.rings, c.Out)
}

func (h *bench) answer(c *routing.Contact) {
	if h.answered[c] || h.out[c] > 0 {
		h.broke(1, "answered twice or with a ring out")
	}
	if h.now > c.Until+h.b.set.Slack {
		h.broke(1, "answered too late")
	}
	h.answered[c], c.Over = true, true
}

func (h *bench) Defer(c *routing.Contact, _ float64) { h.answer(c); h.deferred = append(h.deferred, c) }
func (h *bench) Abandon(c *routing.Contact)          { h.answer(c); h.abandoned = append(h.abandoned, c) }
func (h *bench) Cancel(r *routing.Ring)              { h.cancelled = append(h.cancelled, r) }
func (h *bench) Probe(*routing.Pool)                 { h.probed++ }
func (h *bench) Tell(to int, data []byte)            { h.told = append(h.told, data) }
func (h *bench) Wake(at float64, c *routing.Contact) { h.wakes = append(h.wakes, wake{at, c}) }

func newPool(i int) *routing.Pool {
	n := math.NaN()
	return &routing.Pool{Number: i, State: routing.Ready, Report: routing.Report{Agents: n, Free: n, Util: n,
		Queue: n, Wait: n, Rate: n, Holdback: n}}
}

func setup(pools int) (*bench, []*routing.Pool) {
	h := &bench{now: 1e6, left: 3000, answered: map[*routing.Contact]bool{}, out: map[*routing.Contact]int{},
		notTill: map[*routing.Contact]float64{}, stopped: map[*routing.Pool]bool{},
		start: map[*routing.Pool]float64{}, sent: map[*routing.Pool][]float64{}}
	h.skill = &routing.Skill{Target: 2000, Patience: 9000, Value: 1, LateValue: 0.1, Hold: 10000, Repeat: true}
	h.b = New(&routing.Settings{Gateways: 1, Seed: 7, Tick: 5, MaxRings: 5, ClearWait: 500, ColdShare: 0.3,
		WarmWithin: 14000, TipMultiple: 2.5, TipTime: 1000, MayCancel: true, Slack: 20,
		Skills: []*routing.Skill{h.skill}}, h)
	var ps []*routing.Pool
	for i := 0; i < pools; i++ {
		ps = append(ps, newPool(i))
	}
	h.b.Listed(h.now, ps)
	return h, ps
}

// pass lets time go by, in ticks, with the call backs that fall due.
func (h *bench) pass(ms float64) {
	for end := h.now + ms; h.now < end; {
		h.now = math.Min(end, h.now+h.b.set.Tick)
		due := h.wakes
		h.wakes = nil
		for _, w := range due {
			if w.at <= h.now {
				h.b.Woken(h.now, w.c)
			} else {
				h.wakes = append(h.wakes, w)
			}
		}
	}
}

func (h *bench) offer(home *routing.Pool) *routing.Contact {
	c := &routing.Contact{Skill: h.skill, Home: home, Came: h.now, Until: h.now + h.left, Number: h.number}
	h.all = append(h.all, c)
	h.b.Offered(h.now, c)
	return c
}

// stand lets the contact's ring stand after cost.
func (h *bench) stand(c *routing.Contact, cost float64) *routing.Ring {
	r := c.Out
	r.Cost, c.Stands = cost, true
	h.answered[c] = true
	h.b.Stood(h.now, r)
	return r
}

// end lets the contact's ring end.
func (h *bench) end(c *routing.Contact, end routing.End) {
	r := c.Out
	r.End, r.Cost, c.Out = end, h.now-r.Sent, nil
	h.out[c]--
	if end == routing.TimedOut || end == routing.Reset || end == routing.Cancelled {
		h.notTill[c] = h.now + h.b.set.ClearWait
	}
	c.Over = c.Over || c.Stands
	h.b.Ended(h.now, r, c.Stands)
}
