package main

import (
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["spoilt"] = spoiltAnswer }

// Bounds of the pages: what has stood and is over is released towards its client within 1 s of the release by the core
// switch and, if no release could be sent, within 8 s of its end; on sockets each limit is 50 ms longer. The judgement
// uses the longer one only.
const (
	releaseLimit = 8050 * time.Millisecond
	// spoiltLength is the length that one answer gives: more than the answer has, and no more than a message may have.
	spoiltLength = 16000
)

// spoiltAnswer: one answer of a core switch has a length that doesn't fit. What has stood by then, and on the same
// connection, is to be released towards its client all the same.
func spoiltAnswer(l *lab) (bool, error) {
	switches, err := l.newSwitches(2)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var spoiltConn *switchConn
	random := rand.New(rand.NewPCG(35, 1))
	for _, sw := range switches {
		sw.answerAfter = func(n int) time.Duration { return time.Duration(60+(n*37)%80) * time.Millisecond }
		sw.holdFor = func(n int) time.Duration { return time.Duration(7200+(n*631)%3800) * time.Millisecond }
	}
	begin := time.Now()
	first := switches[0]
	first.spoil = func(c *switchConn, call *switchCall, answer []byte) []byte {
		mu.Lock()
		defer mu.Unlock()
		if !l.trouble || spoiltConn != nil || time.Since(begin) < 14*time.Second {
			return nil
		}
		spoiltConn = c
		spoilt := append([]byte(nil), answer...)
		binary.BigEndian.PutUint16(spoilt, spoiltLength)
		l.rec.report("%s conn %d: the answer to %016x has %d bytes and says that %d follow", first.id, c.n, call.id,
			len(answer), spoiltLength)
		return spoilt
	}
	g, _, err := l.start(switches, gatewayOptions{name: "n0", settings: settings("pure")})
	if err != nil {
		return false, err
	}
	c := newClient(l.rec, "a")
	if err := c.connect(g.listen); err != nil {
		return false, err
	}
	l.atEnd(c.close)
	mu.Lock()
	begin = time.Now()
	mu.Unlock()
	for number := 0; time.Since(begin) < 40*time.Second; number++ {
		c.setup(numberOf(number), 9*time.Second, number%2)
		time.Sleep(time.Duration(20+random.IntN(40)) * time.Millisecond)
	}
	if err := g.check(); err != nil {
		return false, err
	}
	mu.Lock()
	conn := spoiltConn
	mu.Unlock()
	if l.trouble && conn == nil {
		return false, errNoDisruption
	}
	return l.judgeReleases(c, switches, conn)
}

// judgeReleases judges the calls that stood and that their switch ended more than releaseLimit ago. It counts those of
// one connection of a switch apart.
func (l *lab) judgeReleases(c *client, switches []*coreSwitch, conn *switchConn) (bool, error) {
	ended := map[uint64]*switchCall{}
	for _, sw := range switches {
		sw.mu.Lock()
		for _, call := range sw.history {
			if call.endedBy == "switch" {
				ended[call.id] = call
			}
		}
		sw.mu.Unlock()
	}
	now := time.Now()
	stood, judged, late, never, ofConn := 0, 0, 0, 0, 0
	for _, call := range c.all() {
		if call.answeredAt.IsZero() {
			continue
		}
		stood++
		end := ended[call.id]
		if end == nil || now.Sub(end.endedAt) <= releaseLimit {
			continue
		}
		judged++
		switch {
		case call.releasedAt.IsZero():
			never++
			l.rec.printf("NEVER RELEASED: %016x stood since %.1f s, ended at its switch %.1f s ago", call.id,
				now.Sub(call.answeredAt).Seconds(), now.Sub(end.endedAt).Seconds())
		case call.releasedAt.Sub(end.endedAt) > releaseLimit:
			late++
			l.rec.printf("RELEASED LATE: %016x, %.1f s after its end", call.id, call.releasedAt.Sub(end.endedAt).Seconds())
		default:
			continue
		}
		if end.conn == conn {
			ofConn++
		}
	}
	l.rec.report("%d calls stood; of %d that their switch ended more than 8.05 s ago, %d were never released and %d later "+
		"than 8.05 s", stood, judged, never, late)
	if conn != nil {
		l.rec.report("%d of these were set up on the connection in question", ofConn)
	}
	if judged == 0 {
		return false, errNothingJudged
	}
	return never+late > 0, nil
}
