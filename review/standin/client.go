package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"
)

// client is a stand-in for a client of a gateway with one connection at a time.
type client struct {
	rec  *recorder
	name string

	mu    sync.Mutex
	addr  string // of the gateway
	conn  net.Conn
	open  bool
	calls map[uint64]*clientCall
	// onRefused is called, without a lock, with each call that was refused.
	onRefused func(call *clientCall)
}

// clientCall is a call as its client sees it.
type clientCall struct {
	id         uint64
	number     string
	sentAt     time.Time
	timeout    time.Duration
	answeredAt time.Time // zero: no answer
	answer     string
	refusedAt  time.Time // refused or failed
	cause      byte
	releasedAt time.Time // the gateway has released a call that stood
	endCause   byte
	hungUpAt   time.Time
	resumed    bool // it was named to a gateway as one that stands
	finals     int
}

func newClient(rec *recorder, name string) *client {
	return &client{rec: rec, name: name, calls: map[uint64]*clientCall{}}
}

// connect opens the client's connection.
func (c *client) connect(addr string) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.addr, c.conn, c.open = addr, conn, true
	c.mu.Unlock()
	go c.receive(conn)
	return nil
}

func (c *client) receive(conn net.Conn) {
	for {
		m, err := read(conn)
		if err != nil {
			c.rec.printf("client %s: connection ended: %v", c.name, err)
			conn.Close()
			c.mu.Lock()
			if c.conn == conn {
				c.open = false
			}
			c.mu.Unlock()
			return
		}
		c.onMessage(m)
	}
}

func (c *client) onMessage(m *message) {
	c.mu.Lock()
	call := c.calls[m.call]
	refused := false
	switch {
	case call == nil:
		c.rec.printf("client %s got type %d for unknown %016x", c.name, m.kind, m.call)
	case m.kind == typeAnswer:
		call.finals++
		call.answeredAt, call.answer = time.Now(), string(m.params[parText])
		c.rec.printf("client %s: %016x stands: %s", c.name, m.call, call.answer)
	case m.kind == typeRelease && !call.answeredAt.IsZero():
		if call.releasedAt.IsZero() {
			call.releasedAt, call.endCause = time.Now(), m.cause()
		}
		c.rec.printf("client %s: %016x is over, cause %d", c.name, m.call, m.cause())
	case m.kind == typeRelease:
		call.finals++
		call.refusedAt, call.cause = time.Now(), m.cause()
		refused = true
		c.rec.printf("client %s: %016x gets cause %d (%s)", c.name, m.call, m.cause(), meaning(m.cause()))
	}
	c.mu.Unlock()
	if refused && c.onRefused != nil {
		c.onRefused(call)
	}
}

func harmless(cause byte) bool { return cause == 34 || cause == 42 || cause == 102 }

func meaning(cause byte) string {
	if harmless(cause) {
		return "refused: trying again is harmless"
	}
	return "failed"
}

// send writes on the client's connection, on a new one if the last has ended.
func (c *client) send(data []byte) bool {
	c.mu.Lock()
	conn, open := c.conn, c.open
	c.mu.Unlock()
	if !open {
		if c.connect(c.addr) != nil {
			return false
		}
		c.mu.Lock()
		conn = c.conn
		c.mu.Unlock()
	}
	_ = conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err := conn.Write(data)
	return err == nil
}

// setup sends the set-up of a new call.
func (c *client) setup(number string, timeout time.Duration, dest int) *clientCall {
	call := &clientCall{id: rand.Uint64() | 1, number: number, sentAt: time.Now(), timeout: timeout}
	c.mu.Lock()
	c.calls[call.id] = call
	c.mu.Unlock()
	c.rec.printf("client %s: set-up %016x number %s", c.name, call.id, number)
	c.send(encode(typeSetup, call.id, text(parClass, "shift-lookup"),
		text(parTimeout, strconv.FormatInt(timeout.Milliseconds(), 10)), text(parNumber, number),
		text(parFigures, fmt.Sprintf("dest:%d;width:1;via:-1", dest)), text(parText, "offer")))
	return call
}

// resume names a call that stands at a switch already.
func (c *client) resume(call *clientCall, switchID string) {
	c.rec.printf("client %s: set-up %016x at %s", c.name, call.id, switchID)
	c.send(encode(typeSetup, call.id, text(parClass, "shift-lookup"), text(parTimeout, "9000"),
		text(parNumber, call.number), text(parFigures, "dest:0;width:1;via:-1;at:"+switchID), text(parText, "offer")))
}

// hangUp ends a call that stands.
func (c *client) hangUp(call *clientCall) {
	c.mu.Lock()
	call.hungUpAt = time.Now()
	c.mu.Unlock()
	c.rec.printf("client %s: release of %016x", c.name, call.id)
	c.send(encode(typeRelease, call.id, cause(causeOK)))
}

// all returns copies of the client's calls.
func (c *client) all() (calls []clientCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.calls {
		calls = append(calls, *call)
	}
	return calls
}

func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
	}
}
