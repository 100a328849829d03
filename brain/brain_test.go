package brain

import (
	"math"
	"testing"

	"cobaltpier/contact"
)

// bench is a host that writes down what it is asked.
type bench struct {
	now                  float64
	b                    *Brain
	rings                []*contact.Ring
	deferred, abandoned  []*contact.Contact
	told, probed, wakeup int
}

func (h *bench) Ring(c *contact.Contact, p *contact.Pool, _ float64) {
	c.Out = &contact.Ring{Contact: c, Pool: p, Sent: h.now}
	h.rings = append(h.rings, c.Out)
}
func (h *bench) Defer(c *contact.Contact, _ float64) {
	c.Over = true
	h.deferred = append(h.deferred, c)
}
func (h *bench) Abandon(c *contact.Contact)     { c.Over = true; h.abandoned = append(h.abandoned, c) }
func (h *bench) Cancel(*contact.Ring)           {}
func (h *bench) Probe(*contact.Pool)            { h.probed++ }
func (h *bench) Tell([]byte)                    { h.told++ }
func (h *bench) Wake(float64, *contact.Contact) { h.wakeup++ }

func newPool(i int) *contact.Pool {
	n := math.NaN()
	return &contact.Pool{Number: i, State: contact.Ready, Report: contact.Report{Agents: n, Free: n, Util: n,
		Queue: n, Inflight: n, Wait: n, Rate: n, Holdback: n}}
}

func setup(pools int) (*bench, []*contact.Pool) {
	h := &bench{now: 1e6}
	h.b = New(&contact.Settings{Gateways: 1, Seed: 7, Tick: 5, MaxRings: 5, ClearWait: 500, ColdShare: 0.3,
		WarmWithin: 14000, TipMultiple: 2.5, TipTime: 1000}, h)
	var ps []*contact.Pool
	for i := 0; i < pools; i++ {
		ps = append(ps, newPool(i))
	}
	h.b.Listed(h.now, ps)
	return h, ps
}

func offer(h *bench, home *contact.Pool) *contact.Contact {
	c := &contact.Contact{Skill: &contact.Skill{Target: 2000, Patience: 9000, Value: 1, Repeat: true}, Home: home, Came: h.now,
		Until: h.now + 3000}
	h.b.Offered(h.now, c)
	return c
}

// The lottery draws pools by total capacity times the square of the free share, within 2 points in 100.
func TestLotteryShares(t *testing.T) {
	h, ps := setup(3)
	want := []float64{20 * 0.5 * 0.5, 10 * 0.8 * 0.8, 30 * 0.2 * 0.2}
	for i, r := range []contact.Report{{Rate: 20, Util: 0.5}, {Rate: 10, Util: 0.2}, {Rate: 30, Util: 0.8}} {
		ps[i].Report.Rate, ps[i].Report.Util = r.Rate, r.Util
		ps[i].Report.Agents = r.Rate
		h.b.Reported(h.now, ps[i], true, true)
	}
	got := map[*contact.Pool]float64{}
	for i := 0; i < 20000; i++ {
		h.now += 1000
		offer(h, nil)
		got[h.rings[i].Pool]++
		h.rings[i].Cost = 20
		h.b.Stood(h.now, h.rings[i])
	}
	all := want[0] + want[1] + want[2]
	for i, p := range ps {
		if d := got[p]/20000 - want[i]/all; math.Abs(d) > 0.02 {
			t.Errorf("pool %d: share %.3f, want %.3f", i, got[p]/20000, want[i]/all)
		}
	}
}
