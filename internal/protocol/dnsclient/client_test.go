package dnsclient

import (
	"fmt"
	"testing"

	"cobaltpier/internal/decision/enum"
	"cobaltpier/internal/emulator/dnsserver"
)

// Concurrent look-ups share a query, and answers, negative ones too, are cached for their TTL.
func TestAnswersSharedAndCached(t *testing.T) {
	host := newTestHost(t, 2, nil)
	number := host.portedNumber()
	first, second := host.lookUp(number, 500), host.lookUp(number, 500)
	host.run(100)
	if first.count != 1 || second.count != 1 || first.Status != Found || len(first.Rules) != 2 ||
		host.sent[0]+host.sent[1] != 1 || host.client.Counts.Shared != 1 {
		t.Fatalf("want both look-ups answered by one query, got %+v, %+v, sent %v", first, second, host.sent)
	}
	res, err := enum.Apply("+"+number, first.Rules, "pstn:tel")
	_, ported, err2 := enum.Tel(res.URI)
	if err != nil || err2 != nil || ported.Routing != host.servers[0].Zone.RoutingNumber(number) {
		t.Errorf("%v, %v, %+v: want %s", res, err, ported, host.servers[0].Zone.RoutingNumber(number))
	}
	if c := host.lookUp(number, 500); c.count != 1 || !c.Cached || c.at != 100 {
		t.Errorf("want one cached answer at once, got %+v", c)
	}
	host.run(61000)
	host.lookUp(number, 500)
	host.run(62000)
	if host.sent[0]+host.sent[1] != 2 {
		t.Errorf("after the TTL: want 2 queries sent, got %v", host.sent)
	}
	none := host.findNumber(func(z *dnsserver.Zone, n string) bool {
		_, ok := (&dnsserver.Server{Zone: z}), z.RoutingNumber(n) == ""
		answer := host.lookUp(n, 500)
		host.run(host.now + 500)
		return ok && answer.Status == None
	})
	before := host.sent[0] + host.sent[1]
	if result := host.lookUp(none, 500); result.count != 1 || result.Status != None || !result.Cached {
		t.Errorf("want one cached negative answer, got %+v", result)
	}
	host.run(host.now + 29000)
	if result := host.lookUp(none, 500); result.count != 1 || host.sent[0]+host.sent[1] != before {
		t.Errorf("29 s later: want the cached negative answer and no query, got %+v", result)
	}
	host.run(host.now + 2000)
	if result := host.lookUp(none, 500); result.count != 0 {
		t.Errorf("after the TTL of the negative answer: want no answer yet, got %+v", result)
	}
}

// Whatever fault one of two servers has, answers arrive before the deadline and are correct.
func TestServerFaults(t *testing.T) {
	for name, faults := range map[string]dnsserver.Faults{
		"silent":    {Silent: true},
		"slow":      {Delay: 900},
		"lossy":     {Delay: 10, Loss: 0.7},
		"wrong id":  {Delay: 10, WrongID: 1},
		"spoofed":   {Delay: 10, Spoof: 1, Guesses: 50},
		"truncated": {Delay: 10, Truncated: 1},
		"no TCP":    {Delay: 10, Truncated: 1, NoStream: true},
		"lame":      {Delay: 10, Lame: true},
		"referral":  {Delay: 10, Refer: true},
		"servfail":  {Delay: 10, ServFail: true},
		"no edns":   {Delay: 10, NoEDNS: true},
		"lowercase": {Delay: 10, Lowercase: true},
		"poison":    {Delay: 10, Poison: true},
		"no faults": {Delay: 10},
		"all at once": {Delay: 20, Jitter: 100, Loss: 0.3, Spoof: 0.5, Guesses: 4, Truncated: 0.3, WrongID: 0.2, NoEDNS: true,
			Poison: true},
	} {
		t.Run(name, func(t *testing.T) {
			host := newTestHost(t, 2, nil)
			host.servers[0].Faults = faults
			var results []*lookupResult
			var numbers []string
			for i := range 2000 {
				n := fmt.Sprint(14180000000 + i)
				numbers = append(numbers, n)
				results = append(results, host.lookUp(n, 1500))
				host.run(host.now + 5)
			}
			host.run(host.now + 3000)
			late, failed := 0, 0
			for i, result := range results {
				if result.count != 1 {
					t.Fatalf("%s: %d answers, want 1", numbers[i], result.count)
				}
				if result.at > float64(i)*5+1500 {
					late++
				}
				if result.Status == Failed {
					failed++
				}
				if result.Status == None && host.servers[0].Zone.Exists(numbers[i]) {
					t.Fatalf("%s exists, but was answered as missing", numbers[i])
				}
				if result.Status != Found {
					continue
				}
				res, err := enum.Apply("+"+numbers[i], result.Rules, "pstn:tel")
				_, ported, err2 := enum.Tel(res.URI)
				if err != nil || err2 != nil || ported.Routing != host.servers[0].Zone.RoutingNumber(numbers[i]) {
					t.Fatalf("%s: wrong answer: %v %v %v", numbers[i], res, err, err2)
				}
			}
			if (name == "spoofed" || name == "truncated") && host.streams < 100 {
				t.Errorf("%d TCP queries, want 100 at least", host.streams)
			}
			if late > 0 || failed > 4 {
				t.Errorf("of 2000 look-ups, %d late, %d failed; want 0 and 4 at most", late, failed)
			}
			if lookups, cached := host.client.OpenCounts(); lookups != 0 || cached == 0 ||
				len(host.client.outstanding) != 0 || len(host.client.streams) != 0 {
				t.Errorf("left over: %d look-ups, %d UDP queries, %d TCP queries; want none, and cached answers",
					lookups, len(host.client.outstanding), len(host.client.streams))
			}
			t.Logf("%v UDP queries, %d TCP queries, %+v", host.sent, host.streams, host.client.Counts)
		})
	}
}

// A dead server gets few queries, and is used again soon after it has recovered.
func TestDeadServerRecovers(t *testing.T) {
	host := newTestHost(t, 2, nil)
	host.servers[0].Faults.Silent = true
	load := func(duration float64) {
		for end := host.now + duration; host.now < end; {
			host.lookUp(fmt.Sprint(15140000000+int(host.now*100)), 500)
			host.run(host.now + 2)
		}
	}
	load(2000)
	host.sent[0] = 0
	load(20000)
	if host.sent[0] > 12 {
		t.Errorf("dead server got %d queries in 20 s, want 12 at most", host.sent[0])
	}
	host.servers[0].Faults.Silent = false
	load(12000)
	host.sent = make([]int, 2)
	load(5000)
	if host.sent[0] < 500 || host.sent[1] < 500 {
		t.Errorf("queries in 5 s after the server is back: %v, want 500 at least for each", host.sent)
	}
}

// While all servers are dead for 30 s, stale answers are served and other look-ups fail immediately, except the few
// that test whether a server has recovered. 1.5 s after recovery, look-ups succeed again.
func TestAllServersDead(t *testing.T) {
	host := newTestHost(t, 2, nil)
	host.servers[0].Zone.TTL = 1
	warm := host.portedNumber()
	if host.lookUp(warm, 500); host.now != 0 {
		t.Fatal()
	}
	host.run(2000)
	for _, s := range host.servers {
		s.Faults.Silent = true
	}
	failed, stale, delayed, lookups := 0, 0, 0, 0
	host.sent = make([]int, 2)
	for end := host.now + 30000; host.now < end; {
		started := host.now
		warmResult, coldResult := host.lookUp(warm, 1000), host.lookUp(fmt.Sprint(15140000000+int(host.now)), 1000)
		host.run(host.now + 10)
		if warmResult.count == 1 && warmResult.Stale && warmResult.Status == Found {
			stale++
		}
		if coldResult.count == 1 && coldResult.Status == Failed {
			failed++
		}
		if started > 5000 && (warmResult.count != 1 || coldResult.count != 1) {
			delayed++
		}
		lookups++
	}
	if stale < lookups*9/10 || failed < lookups*8/10 || delayed > lookups/20 || host.sent[0]+host.sent[1] > 130 {
		t.Errorf("of %d: %d stale, %d failed immediately, %d not answered immediately; sent %v",
			lookups, stale, failed, delayed, host.sent)
	}
	for _, s := range host.servers {
		s.Faults.Silent = false
	}
	host.run(host.now + 1500)
	host.lookUp(fmt.Sprint(15150000000), 500) // tests whether a server has recovered
	host.run(host.now + 500)
	if result := host.lookUp(fmt.Sprint(15150000001), 500); result.count != 0 {
		t.Errorf("after the servers are back: %+v immediately", result)
	} else if host.run(host.now + 500); result.Status == Failed {
		t.Errorf("after the servers are back: %+v", result)
	}
}

// A canceled look-up is not answered, and one whose deadline has passed is answered once.
func TestCanceledAndTimedOutLookups(t *testing.T) {
	host := newTestHost(t, 1, nil)
	host.servers[0].Faults.Delay = 200
	domain, _ := enum.Domain("14185551234", "e164.test.")
	called := 0
	stop := host.client.Query(0, domain, 500, func(float64, Answer) { called++ })
	result := host.lookUp("14185551234", 100)
	stop()
	host.run(100)
	if called != 0 || result.count != 1 || result.Status != Failed || result.at != 100 {
		t.Errorf("want no answer to the canceled look-up and one failure at 100 ms, got %d answers, %+v",
			called, result)
	}
	host.run(1000)
	if again := host.lookUp("14185551234", 100); again.count != 1 || !again.Cached { // the late response is cached
		t.Errorf("after the late response: want one cached answer, got %+v", again)
	}
	if called != 0 || result.count != 1 {
		t.Errorf("answered again: %d answers, %+v", called, result)
	}
}

// No more than MaxLookups look-ups are open at once; further ones fail immediately.
func TestMaxLookups(t *testing.T) {
	host := newTestHost(t, 1, func(c *Config) { c.MaxLookups, c.Cache.MaxEntries = 100, 50 })
	for i := range 1000 {
		host.lookUp(fmt.Sprint(14180000000+i), 500)
	}
	if lookups, _ := host.client.OpenCounts(); lookups != 100 || host.client.Counts.Full != 900 || host.sent[0] != 100 {
		t.Errorf("want 100 look-ups, 900 refused and 100 queries, got %d, %d and %d",
			lookups, host.client.Counts.Full, host.sent[0])
	}
	host.run(1000)
	if lookups, cached := host.client.OpenCounts(); lookups != 0 || cached != 50 {
		t.Errorf("afterwards: want no look-up and 50 names cached, got %d and %d", lookups, cached)
	}
}

// Truncated responses open no more than maxStreams TCP queries at once; all look-ups fail before their deadline.
func TestStreamsBounded(t *testing.T) {
	host := newTestHost(t, 1, nil)
	host.servers[0].Faults = dnsserver.Faults{Delay: 5, Truncated: 1, NoStream: true}
	var results []*lookupResult
	for i := range 500 {
		results = append(results, host.lookUp(fmt.Sprint(14180000000+i), 3000))
	}
	most := 0
	for host.now < 12000 {
		host.run(host.now + 1)
		most = max(most, len(host.client.streams))
	}
	if most != maxStreams {
		t.Errorf("%d TCP queries at once, want maxStreams", most)
	}
	for i, result := range results {
		if result.count != 1 || result.Status != Failed || result.at > 3000 {
			t.Fatalf("name %d: want one failure within 3 s, got %+v", i, result)
		}
	}
}

// A response that arrives after the last query has timed out is still accepted.
func TestAnswerAfterLastTimeout(t *testing.T) {
	host := newTestHost(t, 1, func(c *Config) { c.MaxQueries = 1 })
	host.servers[0].Faults.Delay = 600
	result := host.lookUp(host.portedNumber(), 2000)
	if host.run(2000); result.count != 1 || result.Status != Found || result.at < 600 {
		t.Errorf("want one answer after 600 ms or later, got %+v", result)
	}
}

// A server without EDNS support is queried without EDNS from then on.
func TestNoEDNS(t *testing.T) {
	host := newTestHost(t, 1, nil)
	host.servers[0].Faults.NoEDNS = true
	for i := range 20 {
		result := host.lookUp(fmt.Sprint(14180000000+i), 500)
		if host.run(host.now + 500); result.count != 1 || result.Status == Failed {
			t.Fatalf("want one answer, got %+v", result)
		}
	}
	if host.sent[0] != 21 {
		t.Errorf("%d UDP queries for 20 names, want 21", host.sent[0])
	}
}
