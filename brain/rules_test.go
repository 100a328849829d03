package brain

import (
	"fmt"
	"math/rand"
	"testing"
	"testing/quick"

	"cobaltpier/contact"
)

// TestRulesByModel runs the module on generated streams of events beside the plain model in the test host,
// which looks at every send and every answer: contacts, redials, lost, late, cut and refused set-ups, drains,
// cold starts, lying reports and gateways that start with an old list.
func TestRulesByModel(t *testing.T) {
	stream := func(seed int64) (ok bool) {
		ok = true
		rnd := rand.New(rand.NewSource(seed))
		h, ps := setup(1 + rnd.Intn(4))
		h.rule = func(rule int, what string) {
			ok = false
			t.Logf("seed %d: rule %d at %v: %s", seed, rule, h.now, what)
		}
		for _, p := range ps {
			p.Report.Agents, p.Report.Free = 200, 100
		}
		open := map[*contact.Ring]float64{} // when each ring out will end or stand
		for i := 0; i < 2500; i++ {
			h.pass(5 * float64(1+rnd.Intn(4)))
			p := ps[rnd.Intn(len(ps))]
			switch rnd.Intn(60) {
			case 0:
				p.State = contact.State(rnd.Intn(3))
				if h.stopped[p] && p.State == contact.Ready {
					p.Since, h.start[p], h.sent[p] = h.now, h.now, nil // it comes back cold
				}
				h.stopped[p] = p.State != contact.Ready
				h.b.Listed(h.now, []*contact.Pool{p})
			case 1:
				p.Report.Util, p.Report.Wait = 2*rnd.Float64(), rnd.ExpFloat64()*1000
				p.Report.Free = float64(rnd.Intn(100))
				h.b.Reported(h.now, p, true, true)
			case 2:
				if c := pick(rnd, h.all); c != nil && !c.Over && !c.Stands && h.out[c] == 0 {
					c.Over, h.answered[c] = true, true // the caller leaves early
					h.b.Left(h.now, c)
				}
			default:
				h.left = 200 + rnd.Float64()*3000
				h.number = fmt.Sprint(rnd.Intn(400))
				h.offer(p)
			}
			for _, r := range h.rings[max(0, len(h.rings)-400):] {
				if _, known := open[r]; !known && r.Contact.Out == r {
					open[r] = h.now + rnd.ExpFloat64()*[]float64{50, 50, 400, 9000}[rnd.Intn(4)]
				}
			}
			for _, r := range h.cancelled {
				if r.Contact.Out == r && !r.Contact.Stands {
					h.finish(open, r, contact.Cancelled)
				}
			}
			h.cancelled = nil
			for _, r := range h.rings {
				at, known := open[r]
				switch c := r.Contact; {
				case !known:
				case !c.Stands && h.now >= c.Until:
					h.finish(open, r, contact.TimedOut)
				case h.now < at:
				case c.Stands:
					h.finish(open, r, []contact.End{contact.Done, contact.Reset}[rnd.Intn(2)])
				case rnd.Intn(3) == 0:
					h.finish(open, r, contact.End(1+rnd.Intn(7)))
				default:
					h.stand(c, h.now-r.Sent)
					open[r] = h.now + rnd.ExpFloat64()*5000
				}
			}
		}
		h.pass(4000)
		for _, c := range h.all {
			if c.Out == nil && !h.answered[c] {
				h.broke(1, "never answered")
			}
		}
		rate := float64(len(h.all)) / (h.now - 1e6) * 1000 / float64(len(ps)) // what a warm pool is sent a second
		for p, at := range h.start {                                          // rule 4: any window, with one set-up for chance
			for i, from := range h.sent[p] {
				part := 0.3 + 0.7*(from+1000-at)/14000
				if n := within(h.sent[p][i:], from+1000); part < 1 && float64(n) > 1+2.5*part*rate {
					h.broke(4, fmt.Sprintf("%d set-ups in a second to a cold pool", n))
				}
			}
		}
		return ok
	}
	if err := quick.Check(stream, &quick.Config{MaxCount: 40, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

// finish ends a ring and forgets it.
func (h *bench) finish(open map[*contact.Ring]float64, r *contact.Ring, end contact.End) {
	delete(open, r)
	h.end(r.Contact, end)
}

func pick(rnd *rand.Rand, of []*contact.Contact) *contact.Contact {
	if len(of) == 0 {
		return nil
	}
	return of[rnd.Intn(len(of))]
}

func within(times []float64, end float64) (n int) {
	for _, at := range times {
		if at < end {
			n++
		}
	}
	return n
}
