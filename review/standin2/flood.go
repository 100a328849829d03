package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"sync/atomic"
	"time"
)

func init() { cases["unknown-ids"] = unknownIDs }

const (
	badClients  = 100
	badRequests = 500 // of one bad client, at once and only once
	// patience is how long the usual caller waits: PROTOCOL's example of parameter 4.
	patience = 1500 * time.Millisecond
	// lateLimit is the half second after which a late answer counts as lost, and the 50 ms of limits on sockets.
	lateLimit = 550 * time.Millisecond
	// crossing: a set-up that crosses the close of its connection within this time is sent once more.
	crossing = 50 * time.Millisecond
)

// request is one of the usual caller.
type request struct {
	id   uint64
	at   time.Time // its last byte was written
	conn *clientConn
}

// unknownIDs: bad clients name calls that no core switch knows, hundreds at once, while a usual caller calls.
func unknownIDs(p *play) (verdict, error) {
	d, err := p.begin(3)
	if err != nil {
		return nil, err
	}
	switches, g := d[0].switches, d[0].gateway
	for _, s := range switches {
		s.holdFor = patience
	}
	caller := newClient(p.rec, "caller", "127.0.0.1", g.listen)
	conn, err := caller.connect()
	if err != nil {
		return nil, err
	}
	at := switches[0].id
	if os.Getenv("CONTROL") == "1" {
		at = "s-unknown" // a probe of the stand-ins: the same set-ups, refused at once
	}
	stop := make(chan struct{})
	defer close(stop)
	var named atomic.Int64
	var sent []request
	begin := time.Now()
	for i := uint64(0); time.Since(begin) < 25*time.Second; i++ {
		if p.trouble && i == 30 {
			p.rec.printf("%d bad clients begin: each names %d calls that no switch knows, once", badClients, badRequests)
			for k := range badClients {
				go p.badClient(k, g.listen, at, &named, stop)
			}
		}
		id := 0x8000 + i
		figures := fmt.Sprintf("dest:%d;width:1;via:-1", i%3)
		if conn.isClosed() || conn.setup(id, patience, figures) != nil {
			// the gateway has closed a connection: the caller opens another one, and sends the set-up there
			if conn, err = caller.connect(); err != nil {
				return nil, err
			}
			if err := conn.setup(id, patience, figures); err != nil {
				return nil, err
			}
		}
		sent = append(sent, request{id, time.Now(), conn})
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(patience + lateLimit)
	p.rec.printf("bad clients have named %d calls", named.Load())
	if p.trouble && named.Load() == 0 {
		return nil, fmt.Errorf("no bad client could send")
	}
	lost, worst := 0, time.Duration(0)
	for _, r := range sent {
		final, ok := caller.final(r.id)
		if !ok && r.conn.closedWithin(r.at, crossing) {
			continue // it would have been sent once more
		}
		if !ok {
			final = time.Now()
		}
		took := final.Sub(r.at)
		worst = max(worst, took)
		if took > patience+lateLimit {
			lost++
			p.rec.printf("%x: no final answer within %v (an answer at all: %v, after %v)", r.id, patience+lateLimit, ok, took)
		}
	}
	p.rec.printf("%d requests of the usual caller, %d lost, the slowest took %v", len(sent), lost, worst)
	if lost > 0 {
		return verdict{fmt.Sprintf("%d of %d requests of the usual caller had no final answer 0.55 s after their time, "+
			"the slowest after %.1f s", lost, len(sent), worst.Seconds())}, nil
	}
	return nil, nil
}

// badClient names unknown calls, hundreds at once, and then only reads what it is sent.
func (p *play) badClient(k int, gateway, at string, named *atomic.Int64, stop chan struct{}) {
	rnd := rand.New(rand.NewSource(int64(k) + 1))
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(11+k))}, Timeout: 2 * time.Second}
	c, err := dialer.Dial("tcp", gateway)
	if err != nil {
		p.rec.printf("bad client %d: %v", k, err)
		return
	}
	defer c.Close()
	go func() { _, _ = io.Copy(io.Discard, c) }()
	var burst []byte
	for range badRequests {
		burst = append(burst, encode(typeSetup, rnd.Uint64()|1<<63, text(paramClass, className),
			text(paramTimeout, "1000"), text(paramNumber, "1"), text(paramFigures, "dest:0;width:1;via:-1;at:"+at))...)
	}
	if _, err := c.Write(burst); err == nil {
		named.Add(badRequests)
	}
	<-stop
}
