package main

import (
	"net"
	"slices"
	"sync"
	"time"
)

// coreSwitch is a stand-in for a core switch, at an address that is set aside for one gateway.
type coreSwitch struct {
	rec    *recorder
	id     string
	number int // of the pool
	addr   string
	report string // of its load

	mu       sync.Mutex
	listener net.Listener
	conns    []*switchConn
	calls    map[uint64]*switchCall
	again    []*switchCall // released since the latest connection was opened: sent again on the next one
	setups   int
	history  []*switchCall // all that stood

	// answerAfter and holdFor give the time of a set-up at the processor and that of a call that stands.
	answerAfter func(n int) time.Duration
	holdFor     func(n int) time.Duration
	// finishGivenUp: a set-up that was given up is still worked on.
	finishGivenUp bool
	// spoil, if set, returns the bytes to send in place of an answer, or nil for the answer itself.
	spoil func(c *switchConn, call *switchCall, answer []byte) []byte
	// onSetupReceived is called with each set-up; true: it has dealt with it.
	onSetupReceived func(call *switchCall) bool
	// onRun is called when a set-up has been worked on.
	onRun func(call *switchCall)
}

// switchCall is a set-up at a switch, or a call that stands there.
type switchCall struct {
	id         uint64
	n          int // counted from 1 over all set-ups of the switch
	number     string
	conn       *switchConn
	receivedAt time.Time
	standsAt   time.Time // zero: not set up
	endedAt    time.Time // zero: it has not ended
	givenUpAt  time.Time
	endedBy    string // "switch" or "gateway"
	answer     string // the description of the answer
}

type switchConn struct {
	sw   *coreSwitch
	n    int
	conn net.Conn
	mu   sync.Mutex // held while writing
	open bool
}

const rosterReport = "free:1000;size:1200;busy:0.3;q:1"

func newSwitch(rec *recorder, id string, number int) (*coreSwitch, error) {
	s := &coreSwitch{rec: rec, id: id, number: number, report: rosterReport, calls: map[uint64]*switchCall{}}
	s.answerAfter = func(int) time.Duration { return 50 * time.Millisecond }
	s.holdFor = func(int) time.Duration { return 5 * time.Second }
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = listener.Addr().String()
	s.listener = listener
	return s, nil
}

// serve accepts connections. The fields that a case sets are set before.
func (s *coreSwitch) serve() {
	listener := s.listener
	go func() {
		for n := 1; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			c := &switchConn{sw: s, n: n, conn: conn, open: true}
			go c.run()
		}
	}()
}

func (s *coreSwitch) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.Close()
	for _, c := range s.conns {
		c.conn.Close()
	}
}

// run serves one connection: the state of the group first, then releases that are sent again.
func (c *switchConn) run() {
	s := c.sw
	c.send(encode(typeState, 0, text(parReport, s.report)))
	s.mu.Lock()
	again := s.again
	s.again = nil
	s.conns = append(s.conns, c)
	s.mu.Unlock()
	s.rec.printf("%s conn %d opened, %d releases are sent again", s.id, c.n, len(again))
	for _, call := range again {
		c.send(encode(typeRelease, call.id, cause(causeOK)))
	}
	defer func() {
		c.conn.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		c.open = false
		s.conns = slices.DeleteFunc(s.conns, func(other *switchConn) bool { return other == c })
		for id, call := range s.calls { // set-ups open on a connection that closes are given up
			if call.conn == c && call.standsAt.IsZero() {
				call.givenUpAt = time.Now()
				if !s.finishGivenUp {
					delete(s.calls, id)
				}
			}
		}
	}()
	for {
		m, err := read(c.conn)
		if err != nil {
			s.rec.printf("%s conn %d ended: %v", s.id, c.n, err)
			return
		}
		switch m.kind {
		case typeSetup:
			s.onSetup(c, m)
		case typeRelease:
			s.onRelease(c, m)
		case typeTest:
			c.send(encode(typeResult, m.call, cause(1)))
		}
	}
}

func (c *switchConn) send(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, _ = c.conn.Write(data) // the reader finds out that a connection has ended
}

func (s *coreSwitch) onSetup(c *switchConn, m *message) {
	s.mu.Lock()
	s.setups++
	call := &switchCall{id: m.call, n: s.setups, number: string(m.params[parNumber]), conn: c, receivedAt: time.Now()}
	s.calls[call.id] = call
	s.mu.Unlock()
	s.rec.printf("%s conn %d set-up %016x number %s time %s", s.id, c.n, call.id, call.number, m.params[parTimeout])
	if s.onSetupReceived != nil && s.onSetupReceived(call) {
		return
	}
	time.AfterFunc(s.answerAfter(call.n), func() { s.answerCall(call) })
}

// answerCall ends the work on a set-up: the call stands.
func (s *coreSwitch) answerCall(call *switchCall) {
	s.mu.Lock()
	if s.calls[call.id] != call {
		s.mu.Unlock()
		return
	}
	call.standsAt = time.Now()
	call.answer = "answer of " + s.id
	s.history = append(s.history, call)
	givenUp := !call.givenUpAt.IsZero()
	if givenUp { // worked on, and cut at once
		call.endedAt, call.endedBy = call.standsAt, "gateway"
		delete(s.calls, call.id)
	}
	onRun := s.onRun
	s.mu.Unlock()
	if onRun != nil {
		onRun(call)
	}
	s.rec.printf("%s conn %d has worked on %016x number %s, given up before: %v",
		s.id, call.conn.n, call.id, call.number, givenUp)
	if givenUp {
		return
	}
	answer := encode(typeAnswer, call.id, text(parText, call.answer), text(parReport, s.report))
	if s.spoil != nil {
		if spoilt := s.spoil(call.conn, call, answer); spoilt != nil {
			answer = spoilt
		}
	}
	call.conn.send(answer)
	time.AfterFunc(s.holdFor(call.n), func() { s.endCall(call) })
}

// endCall releases a call that has come to its end: on the connection of its set-up, otherwise on any open one, and
// also on the next connection that is opened.
func (s *coreSwitch) endCall(call *switchCall) {
	s.mu.Lock()
	if s.calls[call.id] != call {
		s.mu.Unlock()
		return
	}
	delete(s.calls, call.id)
	call.endedAt, call.endedBy = time.Now(), "switch"
	s.again = append(s.again, call)
	conn := call.conn
	if !conn.open {
		conn = nil
		if len(s.conns) > 0 {
			conn = s.conns[0]
		}
	}
	s.mu.Unlock()
	if conn == nil {
		s.rec.printf("%s ended %016x, no connection is open", s.id, call.id)
		return
	}
	s.rec.printf("%s conn %d release %016x", s.id, conn.n, call.id)
	conn.send(encode(typeRelease, call.id, cause(causeOK), text(parReport, s.report)))
}

// onRelease gives up a set-up or cuts a call that stands.
func (s *coreSwitch) onRelease(c *switchConn, m *message) {
	s.mu.Lock()
	call := s.calls[m.call]
	state := "unknown"
	switch {
	case call == nil:
	case call.standsAt.IsZero():
		state = "given up"
		call.givenUpAt = time.Now()
		if !s.finishGivenUp {
			delete(s.calls, m.call)
		}
	default:
		state = "cut"
		call.endedAt, call.endedBy = time.Now(), "gateway"
		delete(s.calls, m.call)
	}
	s.mu.Unlock()
	s.rec.printf("%s conn %d got a release of %016x, cause %d: %s", s.id, c.n, m.call, m.cause(), state)
}

// standing returns how many calls stand.
func (s *coreSwitch) standing() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, call := range s.calls {
		if !call.standsAt.IsZero() {
			n++
		}
	}
	return n
}

// toSendAgain returns how many releases wait for the next connection.
func (s *coreSwitch) toSendAgain() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.again)
}
