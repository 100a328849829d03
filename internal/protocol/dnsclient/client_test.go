package dnsclient

import (
	"fmt"
	"testing"

	"cobaltpier/internal/decision/enum"
	"cobaltpier/internal/emulator/dnsserver"
)

// Concurrent look-ups share a query, and answers, negative ones too, are cached for their TTL.
func TestAnswersSharedAndCached(t *testing.T) {
	r := newTestHost(t, 2, nil)
	n := r.ported()
	a, b := r.ask(n, 500), r.ask(n, 500)
	r.run(100)
	if a.n != 1 || b.n != 1 || a.Status != Found || len(a.Rules) != 2 || r.sent[0]+r.sent[1] != 1 ||
		r.c.Counts.Shared != 1 {
		t.Fatalf("%+v %+v, sent %v", a, b, r.sent)
	}
	res, err := enum.Apply("+"+n, a.Rules, "pstn:tel")
	_, p, err2 := enum.Tel(res.URI)
	if err != nil || err2 != nil || p.Routing != r.servers[0].Zone.Routing(n) {
		t.Errorf("%v, %v, %+v: want %s", res, err, p, r.servers[0].Zone.Routing(n))
	}
	if c := r.ask(n, 500); c.n != 1 || !c.Cached || c.at != 100 {
		t.Errorf("kept: %+v", c)
	}
	r.run(61000)
	r.ask(n, 500)
	r.run(62000)
	if r.sent[0]+r.sent[1] != 2 {
		t.Errorf("after its time: sent %v", r.sent)
	}
	none := r.find(func(z *dnsserver.Zone, n string) bool {
		_, ok := (&dnsserver.Server{Zone: z}), z.Routing(n) == ""
		a := r.ask(n, 500)
		r.run(r.now + 500)
		return ok && a.Status == None
	})
	before := r.sent[0] + r.sent[1]
	if g := r.ask(none, 500); g.n != 1 || g.Status != None || !g.Cached {
		t.Errorf("none: %+v", g)
	}
	r.run(r.now + 29000)
	if g := r.ask(none, 500); g.n != 1 || r.sent[0]+r.sent[1] != before {
		t.Errorf("none, 29 s later: %+v", g)
	}
	r.run(r.now + 2000)
	if g := r.ask(none, 500); g.n != 0 {
		t.Errorf("none, after its time: %+v", g)
	}
}

// Whatever fault one of two servers has, answers arrive before the deadline and are correct.
func TestServerFaults(t *testing.T) {
	for name, f := range map[string]dnsserver.Faults{
		"silent":     {Silent: true},
		"slow":       {Delay: 900},
		"lossy":      {Delay: 10, Loss: 0.7},
		"wrong id":   {Delay: 10, WrongID: 1},
		"spoofed":    {Delay: 10, Spoof: 1, Guesses: 50},
		"truncated":  {Delay: 10, Truncated: 1},
		"no stream":  {Delay: 10, Truncated: 1, NoStream: true},
		"lame":       {Delay: 10, Lame: true},
		"refers":     {Delay: 10, Refer: true},
		"servfail":   {Delay: 10, ServFail: true},
		"no edns":    {Delay: 10, NoEDNS: true},
		"flat":       {Delay: 10, Flat: true},
		"poison":     {Delay: 10, Poison: true},
		"no trouble": {Delay: 10},
		"all at once": {Delay: 20, Jitter: 100, Loss: 0.3, Spoof: 0.5, Guesses: 4, Truncated: 0.3, WrongID: 0.2, NoEDNS: true,
			Poison: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestHost(t, 2, nil)
			r.servers[0].Faults = f
			var all []*got
			var nums []string
			for i := range 2000 {
				n := fmt.Sprint(14180000000 + i)
				nums = append(nums, n)
				all = append(all, r.ask(n, 1500))
				r.run(r.now + 5)
			}
			r.run(r.now + 3000)
			late, failed := 0, 0
			for i, g := range all {
				if g.n != 1 {
					t.Fatalf("%s: %d answers", nums[i], g.n)
				}
				if g.at > float64(i)*5+1500 {
					late++
				}
				if g.Status == Failed {
					failed++
				}
				if g.Status == None && r.servers[0].Zone.Exists(nums[i]) {
					t.Fatalf("%s exists, and was said not to", nums[i])
				}
				if g.Status != Found {
					continue
				}
				res, err := enum.Apply("+"+nums[i], g.Rules, "pstn:tel")
				_, p, err2 := enum.Tel(res.URI)
				if err != nil || err2 != nil || p.Routing != r.servers[0].Zone.Routing(nums[i]) {
					t.Fatalf("%s: a false answer: %v %v %v", nums[i], res, err, err2)
				}
			}
			if (name == "spoofed" || name == "truncated") && r.streams < 100 {
				t.Errorf("%d streams only", r.streams)
			}
			if late > 0 || failed > 4 {
				t.Errorf("of 2000 %d late, %d failed", late, failed)
			}
			if f, k := r.c.OpenCounts(); f != 0 || k == 0 || len(r.c.outstanding) != 0 || len(r.c.streams) != 0 {
				t.Errorf("left over: %d names, %d queries, %d streams", f, len(r.c.outstanding), len(r.c.streams))
			}
			t.Logf("%v datagrams, %d streams, %+v", r.sent, r.streams, r.c.Counts)
		})
	}
}

// A dead server gets few queries, and is used again soon after it has recovered.
func TestDeadServerRecovers(t *testing.T) {
	r := newTestHost(t, 2, nil)
	r.servers[0].Faults.Silent = true
	load := func(span float64) {
		for end := r.now + span; r.now < end; {
			r.ask(fmt.Sprint(15140000000+int(r.now*100)), 500)
			r.run(r.now + 2)
		}
	}
	load(2000)
	r.sent[0] = 0
	load(20000)
	if r.sent[0] > 12 {
		t.Errorf("a dead server got %d queries in 20 s", r.sent[0])
	}
	r.servers[0].Faults.Silent = false
	load(12000)
	r.sent = make([]int, 2)
	load(5000)
	if r.sent[0] < 500 || r.sent[1] < 500 {
		t.Errorf("after it is back: %v", r.sent)
	}
}

// While all servers are dead for 30 s, stale answers are served and other look-ups fail immediately, except the few
// that test whether a server has recovered. 1.5 s after recovery, look-ups succeed again.
func TestAllServersDead(t *testing.T) {
	r := newTestHost(t, 2, nil)
	r.servers[0].Zone.TTL = 1
	warm := r.ported()
	if r.ask(warm, 500); r.now != 0 {
		t.Fatal()
	}
	r.run(2000)
	for _, s := range r.servers {
		s.Faults.Silent = true
	}
	cold, stale, slow, tries := 0, 0, 0, 0
	r.sent = make([]int, 2)
	for end := r.now + 30000; r.now < end; {
		at := r.now
		w, c := r.ask(warm, 1000), r.ask(fmt.Sprint(15140000000+int(r.now)), 1000)
		r.run(r.now + 10)
		if w.n == 1 && w.Stale && w.Status == Found {
			stale++
		}
		if c.n == 1 && c.Status == Failed {
			cold++
		}
		if at > 5000 && (w.n != 1 || c.n != 1) {
			slow++
		}
		tries++
	}
	if stale < tries*9/10 || cold < tries*8/10 || slow > tries/20 || r.sent[0]+r.sent[1] > 130 {
		t.Errorf("of %d: %d stale, %d failed at once, %d not at once; sent %v", tries, stale, cold, slow, r.sent)
	}
	for _, s := range r.servers {
		s.Faults.Silent = false
	}
	r.run(r.now + 1500)
	r.ask(fmt.Sprint(15150000000), 500) // tests whether a server has recovered
	r.run(r.now + 500)
	if g := r.ask(fmt.Sprint(15150000001), 500); g.n != 0 {
		t.Errorf("after they are back: %+v at once", g)
	} else if r.run(r.now + 500); g.Status == Failed {
		t.Errorf("after they are back: %+v", g)
	}
}

// A canceled look-up is not answered, and one whose deadline has passed is answered once.
func TestCanceledAndTimedOutLookups(t *testing.T) {
	r := newTestHost(t, 1, nil)
	r.servers[0].Faults.Delay = 200
	d, _ := enum.Domain("14185551234", "e164.test.")
	called := 0
	stop := r.c.Query(0, d, 500, func(float64, Answer) { called++ })
	g := r.ask("14185551234", 100)
	stop()
	r.run(100)
	if called != 0 || g.n != 1 || g.Status != Failed || g.at != 100 {
		t.Errorf("stopped: %d, %+v", called, g)
	}
	r.run(1000)
	if h := r.ask("14185551234", 100); h.n != 1 || !h.Cached { // the late response is cached
		t.Errorf("%+v", h)
	}
	if called != 0 || g.n != 1 {
		t.Errorf("answered again: %d, %+v", called, g)
	}
}

// No more than MaxLookups look-ups are open at once; further ones fail immediately.
func TestMaxLookups(t *testing.T) {
	r := newTestHost(t, 1, func(c *Config) { c.MaxLookups, c.Cache.MaxEntries = 100, 50 })
	for i := range 1000 {
		r.ask(fmt.Sprint(14180000000+i), 500)
	}
	if f, _ := r.c.OpenCounts(); f != 100 || r.c.Counts.Full != 900 || r.sent[0] != 100 {
		t.Errorf("%d names, %d refused, %d sent", f, r.c.Counts.Full, r.sent[0])
	}
	r.run(1000)
	if f, k := r.c.OpenCounts(); f != 0 || k != 50 {
		t.Errorf("after: %d names, %d kept", f, k)
	}
}

// Truncated responses open no more than maxStreams streams at once; all look-ups fail before their deadline.
func TestStreamsBounded(t *testing.T) {
	r := newTestHost(t, 1, nil)
	r.servers[0].Faults = dnsserver.Faults{Delay: 5, Truncated: 1, NoStream: true}
	var all []*got
	for i := range 500 {
		all = append(all, r.ask(fmt.Sprint(14180000000+i), 3000))
	}
	most := 0
	for r.now < 12000 {
		r.run(r.now + 1)
		most = max(most, len(r.c.streams))
	}
	if most != maxStreams {
		t.Errorf("%d streams at once", most)
	}
	for i, g := range all {
		if g.n != 1 || g.Status != Failed || g.at > 3000 {
			t.Fatalf("name %d: %+v", i, g)
		}
	}
}

// A response that arrives after the last query has timed out is still accepted.
func TestAnswerAfterLastTimeout(t *testing.T) {
	r := newTestHost(t, 1, func(c *Config) { c.Tries = 1 })
	r.servers[0].Faults.Delay = 600
	g := r.ask(r.ported(), 2000)
	if r.run(2000); g.n != 1 || g.Status != Found || g.at < 600 {
		t.Errorf("%+v", g)
	}
}

// A server without EDNS support is queried without EDNS from then on.
func TestNoEDNS(t *testing.T) {
	r := newTestHost(t, 1, nil)
	r.servers[0].Faults.NoEDNS = true
	for i := range 20 {
		g := r.ask(fmt.Sprint(14180000000+i), 500)
		if r.run(r.now + 500); g.n != 1 || g.Status == Failed {
			t.Fatalf("%+v", g)
		}
	}
	if r.sent[0] != 21 {
		t.Errorf("%d datagrams for 20 names, want one more", r.sent[0])
	}
}
