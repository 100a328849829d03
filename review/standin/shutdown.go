package main

import (
	"sync"
	"syscall"
	"time"
)

func init() { cases["shutdown"] = plannedRestart }

const (
	processorWait = 3600 * time.Millisecond // of a set-up: the processor hasn't turned it away yet
	redialPause   = 600 * time.Millisecond  // of a caller that was refused
)

// plannedRestart: a gateway gets SIGTERM while set-ups of a class that must not run twice wait at the core switches'
// processors. A refusal promises that trying again is harmless, so it may be given to no call whose set-up has been
// forwarded and may run.
func plannedRestart(l *lab) (bool, error) {
	// each core switch has an address for each gateway
	switches, err := l.newSwitches(4)
	if err != nil {
		return false, err
	}
	for i, sw := range switches {
		sw.number = i % 2
		sw.id = []string{"s-00000001", "s-00000002"}[i%2]
	}
	var mu sync.Mutex
	ran := map[string]int{}      // how often each called number's set-up was worked on
	reached := map[uint64]bool{} // set-ups that reached a core switch
	for _, sw := range switches {
		sw.report = "free:1000;size:1200;can_take:60"
		sw.finishGivenUp = true
		sw.holdFor = func(int) time.Duration { return 8500 * time.Millisecond }
		sw.answerAfter = func(int) time.Duration { return processorWait }
		sw.onSetupReceived = func(call *switchCall) bool {
			mu.Lock()
			defer mu.Unlock()
			reached[call.id] = true
			return false
		}
		sw.onRun = func(call *switchCall) {
			mu.Lock()
			defer mu.Unlock()
			ran[call.number]++
		}
	}
	g, _, err := l.start(switches[:2], gatewayOptions{name: "n0", settings: absenceLine("side_effect")})
	if err != nil {
		return false, err
	}
	other, _, err := l.start(switches[2:], gatewayOptions{name: "n1", settings: absenceLine("side_effect")})
	if err != nil {
		return false, err
	}
	a, b := newClient(l.rec, "a"), newClient(l.rec, "b")
	if err := a.connect(g.listen); err != nil {
		return false, err
	}
	l.atEnd(a.close)
	b.addr = other.listen
	l.atEnd(b.close)
	a.onRefused = func(call *clientCall) {
		if harmless(call.cause) { // the caller tries again by itself, at the gateway that the front has left
			time.AfterFunc(redialPause, func() { b.setup(call.number, 9*time.Second, 1) })
		}
	}
	number := 0
	call := func(during time.Duration, clients ...*client) {
		for begin := time.Now(); time.Since(begin) < during; {
			for _, c := range clients {
				c.setup(numberOf(number), 9*time.Second, number/2%2)
				number++
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	call(16*time.Second, a, b)
	if err := g.check(); err != nil {
		return false, err
	}
	if l.trouble {
		g.signal(syscall.SIGTERM)
	}
	call(400*time.Millisecond, a, b) // a front sends so long
	if l.trouble {
		select {
		case <-g.ended: // SIGKILL at the earliest: the longest deadline, counted as 3 s, and 0.7 s more
		case <-time.After(3300 * time.Millisecond):
			g.signal(syscall.SIGKILL)
		}
	} else {
		time.Sleep(3300 * time.Millisecond)
	}
	time.Sleep(redialPause + 9*time.Second)
	if err := other.check(); err != nil {
		return false, err
	}
	return l.judgeRefusals(a, reached, ran, &mu)
}

func (l *lab) judgeRefusals(c *client, reached map[uint64]bool, ran map[string]int, mu *sync.Mutex) (bool, error) {
	mu.Lock()
	defer mu.Unlock()
	stood, refused, failed, open, broken, twice, forwarded := 0, 0, 0, 0, 0, 0, 0
	for _, call := range c.all() {
		if call.answeredAt.IsZero() && reached[call.id] {
			forwarded++
		}
		switch {
		case !call.answeredAt.IsZero():
			stood++
			continue
		case call.refusedAt.IsZero():
			open++
			continue
		case !harmless(call.cause):
			failed++
			continue
		}
		refused++
		if !reached[call.id] {
			continue
		}
		broken++
		l.rec.printf("REFUSED AFTER IT WAS FORWARDED: %016x, cause %d, number %s, whose set-ups were worked on %d times",
			call.id, call.cause, call.number, ran[call.number])
		if ran[call.number] > 1 {
			twice++
		}
	}
	l.rec.report("%d calls stood, %d failed, %d had no answer, %d were refused", stood, failed, open, refused)
	l.rec.report("%d were refused although their set-up was at a core switch and had not ended; %d of these ran twice",
		broken, twice)
	if stood == 0 {
		return false, errNothingJudged
	}
	if l.trouble && forwarded == 0 {
		return false, errNoDisruption
	}
	return broken > 0, nil
}
