package main

import (
	"syscall"
	"time"
)

func init() { cases["restart"] = killedGateway }

// killedGateway: a gateway is killed and restarts from nothing. Its clients come again and name the calls that stand
// (`at`). What ends while it is away is to be released towards its client when it is back.
func killedGateway(l *lab) (bool, error) {
	switches, err := l.newSwitches(2)
	if err != nil {
		return false, err
	}
	for _, sw := range switches {
		sw.answerAfter = func(n int) time.Duration { return time.Duration(30+(n*37)%40) * time.Millisecond }
		sw.holdFor = func(n int) time.Duration { return time.Duration(7200+(n*631)%3800) * time.Millisecond }
	}
	g, _, err := l.start(switches, gatewayOptions{name: "n0", settings: settings("pure")})
	if err != nil {
		return false, err
	}
	var clients []*client
	for _, name := range []string{"a", "b", "c", "d"} {
		c := newClient(l.rec, name)
		if err := c.connect(g.listen); err != nil {
			return false, err
		}
		l.atEnd(c.close)
		clients = append(clients, c)
	}
	for begin, number := time.Now(), 0; time.Since(begin) < trafficTime; number++ {
		clients[number%len(clients)].setup(numberOf(number), 9*time.Second, number%2)
		// the next call is due at a steady rate, also after a pause of this process
		time.Sleep(time.Until(begin.Add(time.Duration(number+1) * time.Second / callRate)))
	}
	l.rec.report("%d and %d calls stand at the core switches; %d and %d releases are to be sent again on the next connection",
		switches[0].standing(), switches[1].standing(), switches[0].toSendAgain(), switches[1].toSendAgain())
	if err := g.check(); err != nil {
		return false, err
	}
	if l.trouble {
		g.signal(syscall.SIGKILL)
		<-g.ended
		time.Sleep(awayTime)
		if err := g.start(); err != nil {
			return false, err
		}
		if err := g.waitReady(); err != nil {
			return false, err
		}
		for _, c := range clients {
			if err := c.connect(g.listen); err != nil {
				return false, err
			}
			c.resumeAll()
		}
	}
	time.Sleep(22 * time.Second) // the longest call, and the limit of the page
	if err := g.check(); err != nil {
		return false, err
	}
	return l.judgeAll(clients, switches)
}

const (
	callRate    = 100 // calls a second
	trafficTime = 58 * time.Second
	awayTime    = 1500 * time.Millisecond // of the gateway, until it is started again
)

// resumeAll names all calls that the client takes to stand.
func (c *client) resumeAll() {
	c.mu.Lock()
	var standing []*clientCall
	for _, call := range c.calls {
		if !call.answeredAt.IsZero() && call.releasedAt.IsZero() {
			call.resumed = true
			standing = append(standing, call)
		}
	}
	c.mu.Unlock()
	for _, call := range standing {
		c.resume(call, call.answer[len("answer of "):])
	}
}

// judgeAll judges every call whose client has an answer: its release is due by now.
func (l *lab) judgeAll(clients []*client, switches []*coreSwitch) (bool, error) {
	ended := map[uint64]*switchCall{}
	for _, sw := range switches {
		sw.mu.Lock()
		for _, call := range sw.history {
			if !call.endedAt.IsZero() {
				ended[call.id] = call
			}
		}
		sw.mu.Unlock()
	}
	now := time.Now()
	stood, resumed, resumedNever, otherNever := 0, 0, 0, 0
	for _, c := range clients {
		for _, call := range c.all() {
			if call.answeredAt.IsZero() {
				continue
			}
			stood++
			if call.resumed {
				resumed++
			}
			end := ended[call.id]
			if end == nil || !call.releasedAt.IsZero() || now.Sub(end.endedAt) <= releaseLimit {
				continue
			}
			if call.resumed {
				resumedNever++
			} else {
				otherNever++
			}
			l.rec.printf("NEVER RELEASED: %016x, its switch ended it %.1f s ago, named as standing: %v", call.id,
				now.Sub(end.endedAt).Seconds(), call.resumed)
		}
	}
	l.rec.report("%d calls stood, %d of them were named as standing to the gateway that came back", stood, resumed)
	l.rec.report("never released: %d of those that were named, %d of the others", resumedNever, otherNever)
	if stood == 0 {
		return false, errNothingJudged
	}
	if l.trouble && resumed == 0 {
		return false, errNoDisruption
	}
	return resumedNever+otherNever > 0, nil
}
