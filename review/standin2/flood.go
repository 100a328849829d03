package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"sync"
	"time"
)

func init() { cases["unknown-ids"] = unknownIDs }

const (
	badClients     = 4
	badRequests    = 500 // at once, by one bad client
	badPause       = 100 * time.Millisecond
	badConnections = 10              // that a bad client keeps open
	patience       = 3 * time.Second // of a try of the usual caller
	lateLimit      = 550 * time.Millisecond
)

// unknownIDs: bad clients name calls that no core switch knows, hundreds at once, while a usual caller calls.
func unknownIDs(p *play) (verdict, error) {
	switches, _, g, err := p.begin(3)
	if err != nil {
		return nil, err
	}
	caller := newClient(p.rec, "caller", "127.0.0.1", g.listen)
	conn, err := caller.connect()
	if err != nil {
		return nil, err
	}
	at := switches[0].id
	if os.Getenv("CONTROL") == "1" {
		at = "s-unknown" // a probe of the stand-ins: the same flood, refused at once
	}
	stop := make(chan struct{})
	var bad sync.WaitGroup
	sent := map[uint64]time.Time{}
	begin := time.Now()
	started := false
	for i := uint64(0); time.Since(begin) < 25*time.Second; i++ {
		if p.trouble && !started && time.Since(begin) > 3*time.Second {
			started = true
			for k := range badClients {
				bad.Add(1)
				go func() {
					defer bad.Done()
					p.badClient(k, g.listen, at, stop)
				}()
			}
		}
		id := 0x8000 + i
		sent[id] = time.Now()
		if err := conn.setup(id, patience, fmt.Sprintf("dest:%d;width:1;via:-1", i%3)); err != nil {
			return verdict{fmt.Sprintf("the usual caller's connection was closed: %v", err)}, nil
		}
		time.AfterFunc(patience, func() {
			for _, s := range switches {
				if s.stands(id) {
					s.end(id, 16)
				}
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(patience + lateLimit)
	lost, worst := 0, time.Duration(0)
	for id, at := range sent {
		answer, answered := caller.first(id, typeAnswer, time.Time{})
		refusal, refused := caller.first(id, typeRelease, time.Time{})
		final := time.Now()
		switch {
		case answered:
			final = answer.at
		case refused:
			final = refusal.at
		}
		took := final.Sub(at)
		worst = max(worst, took)
		if took > patience+lateLimit {
			lost++
			p.rec.printf("%x: no final answer in %v (took %v)", id, patience+lateLimit, took)
		}
	}
	close(stop)
	bad.Wait()
	p.rec.printf("%d requests of the usual caller, %d lost, the slowest answer or the end of the wait after %v",
		len(sent), lost, worst)
	if lost > 0 {
		return verdict{fmt.Sprintf("%d of %d requests of the usual caller had no final answer 0.5 s after their time, "+
			"the slowest after %.1f s", lost, len(sent), worst.Seconds())}, nil
	}
	return nil, nil
}

// badClient names unknown calls, hundreds at once, again and again. It reads what it is sent.
func (p *play) badClient(k int, gateway, at string, stop chan struct{}) {
	rnd := rand.New(rand.NewSource(int64(k) + 1))
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(11+k))}, Timeout: time.Second}
	var open []net.Conn
	requests := 0
	defer func() {
		for _, c := range open {
			c.Close()
		}
		p.rec.printf("bad client %d sent %d set-ups that name unknown calls", k, requests)
	}()
	for {
		select {
		case <-stop:
			return
		case <-time.After(badPause):
		}
		c, err := dialer.Dial("tcp", gateway)
		if err != nil {
			continue
		}
		go func() { _, _ = io.Copy(io.Discard, c) }()
		_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
		var burst []byte
		for range badRequests {
			burst = append(burst, encode(typeSetup, rnd.Uint64()|1<<63, text(paramClass, className),
				text(paramTimeout, "1000"), text(paramNumber, "1"), text(paramFigures, "dest:0;width:1;via:-1;at:"+at))...)
		}
		if _, err := c.Write(burst); err == nil {
			requests += badRequests
		}
		if open = append(open, c); len(open) > badConnections {
			open[0].Close()
			open = open[1:]
		}
	}
}
