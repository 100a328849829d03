package main

import (
	"net"
	"strconv"
	"sync"
	"time"
)

// client is a stand-in for a caller. It may open and close connections; what it is sent is kept by call.
type client struct {
	rec  *record
	name string
	ip   string
	to   string

	mu  sync.Mutex
	got map[uint64][]received
}

type received struct {
	at   time.Time
	kind byte
	why  int
}

type clientConn struct {
	owner  *client
	conn   net.Conn
	mu     sync.Mutex
	closed chan struct{}
	endAt  time.Time // set before closed is closed
}

func newClient(rec *record, name, ip, gateway string) *client {
	return &client{rec: rec, name: name, ip: ip, to: gateway, got: map[uint64][]received{}}
}

func (c *client) connect() (*clientConn, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(c.ip)}, Timeout: time.Second}
	conn, err := dialer.Dial("tcp", c.to)
	if err != nil {
		return nil, err
	}
	cc := &clientConn{owner: c, conn: conn, closed: make(chan struct{})}
	c.rec.printf("%s connects from %s", c.name, conn.LocalAddr())
	go cc.read()
	return cc, nil
}

func (cc *clientConn) read() {
	defer close(cc.closed)
	c := cc.owner
	for {
		m, err := readMessage(cc.conn)
		if err != nil {
			c.rec.printf("%s: the connection from %s ended", c.name, cc.conn.LocalAddr())
			cc.conn.Close()
			cc.endAt = time.Now()
			return
		}
		c.mu.Lock()
		c.got[m.call] = append(c.got[m.call], received{time.Now(), m.kind, m.cause()})
		c.mu.Unlock()
		if m.kind != typeTested {
			c.rec.printf("%s got type %d, call %x, cause %d", c.name, m.kind, m.call, m.cause())
		}
	}
}

func (cc *clientConn) close() {
	cc.owner.rec.printf("%s closes its connection from %s", cc.owner.name, cc.conn.LocalAddr())
	cc.conn.Close()
	<-cc.closed
}

func (cc *clientConn) send(data []byte) error {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	_, err := cc.conn.Write(data)
	return err
}

// setup sends a set-up; figures is the text of parameter 16.
func (cc *clientConn) setup(call uint64, timeout time.Duration, figures string) error {
	cc.owner.rec.printf("%s sends the set-up of %x (%s), waits %v", cc.owner.name, call, figures, timeout)
	return cc.send(encode(typeSetup, call, text(paramClass, className),
		text(paramTimeout, strconv.FormatInt(timeout.Milliseconds(), 10)),
		text(paramNumber, "7f3a9c21e0b4d655"), text(paramFigures, figures), text(paramDescription, "caller")))
}

// first returns the first message of a type for a call that came after a time.
func (c *client) first(call uint64, kind byte, after time.Time) (received, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.got[call] {
		if r.kind == kind && !r.at.Before(after) {
			return r, true
		}
	}
	return received{}, false
}

// final returns when the first answer or release of a call came.
func (c *client) final(call uint64) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.got[call] {
		if r.kind == typeAnswer || r.kind == typeRelease {
			return r.at, true
		}
	}
	return time.Time{}, false
}

func (cc *clientConn) isClosed() bool {
	select {
	case <-cc.closed:
		return true
	default:
		return false
	}
}

// closedWithin reports whether the connection ended at most so long after a time.
func (cc *clientConn) closedWithin(at time.Time, limit time.Duration) bool {
	return cc.isClosed() && cc.endAt.Sub(at) <= limit
}

// wait waits for a message of a type for a call.
func (c *client) wait(call uint64, kind byte, limit time.Duration) (received, bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if r, ok := c.first(call, kind, time.Time{}); ok {
			return r, true
		}
	}
	return received{}, false
}
