package main

import (
	"net"
	"strings"
	"sync"
	"time"
)

const report = "free:300;size:400;busy:0.3;q:1"

// coreSwitch is a stand-in for a core switch as PROTOCOL.md describes one.
type coreSwitch struct {
	rec   *record
	id    string
	group int
	addr  string

	mu       sync.Mutex
	listener net.Listener
	conns    []*switchConn
	standing map[uint64]*switchConn // calls that stand, with the connection of their set-up
	repeats  []repeat               // releases that are sent also on the next connection opened
	setups   []setupSeen
	released map[uint64]time.Time // releases that the gateway sent
	ended    map[uint64]time.Time // releases that the switch sent
	bootMS   int64

	answerAfter time.Duration
	holdFor     time.Duration // how long a call stands; 0: until end is called
}

type repeat struct {
	call  uint64
	cause byte
}

type setupSeen struct {
	call uint64
	at   time.Time
}

type switchConn struct {
	owner *coreSwitch
	conn  net.Conn
	mu    sync.Mutex
}

func newSwitch(rec *record, id string, group int) (*coreSwitch, error) {
	s := &coreSwitch{rec: rec, id: id, group: group, answerAfter: 30 * time.Millisecond,
		standing: map[uint64]*switchConn{}, released: map[uint64]time.Time{}, ended: map[uint64]time.Time{}}
	s.addr = caseIP() + ":0"
	return s, s.start()
}

// start starts the switch's process at its address.
func (s *coreSwitch) start() error {
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", s.addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.addr, s.listener = listener.Addr().String(), listener
	s.mu.Unlock()
	s.rec.printf("switch %s listens at %s", s.id, s.addr)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(&switchConn{owner: s, conn: conn})
		}
	}()
	return nil
}

// die ends the process: its connections are reset and its calls are cut.
func (s *coreSwitch) die() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.Close()
	for _, c := range s.conns {
		c.reset()
	}
	s.rec.printf("switch %s died: %d connections reset, %d calls cut", s.id, len(s.conns), len(s.standing))
	s.conns, s.standing, s.repeats = nil, map[uint64]*switchConn{}, nil
}

// refuse resets the connections, which rest, and takes no new ones until start. The process and its calls go on.
func (s *coreSwitch) refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener.Close()
	for _, c := range s.conns {
		c.reset()
	}
	s.rec.printf("switch %s resets its %d resting connections and refuses new ones", s.id, len(s.conns))
	s.conns = nil
}

func (c *switchConn) reset() {
	_ = c.conn.(*net.TCPConn).SetLinger(0)
	c.conn.Close()
}

func (c *switchConn) send(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.conn.Write(data)
}

func (s *coreSwitch) serve(c *switchConn) {
	s.mu.Lock()
	s.conns = append(s.conns, c)
	c.send(encode(typeState, 0, text(paramReport, report)))
	for _, r := range s.repeats {
		s.rec.printf("switch %s repeats the release of %x on a new connection", s.id, r.call)
		c.send(encode(typeRelease, r.call, cause(r.cause)))
	}
	s.repeats = nil
	s.mu.Unlock()
	for {
		m, err := readMessage(c.conn)
		if err != nil {
			break
		}
		s.onMessage(c, m)
	}
	c.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.conns {
		if other == c {
			s.conns = append(s.conns[:i:i], s.conns[i+1:]...)
			break
		}
	}
}

func (s *coreSwitch) onMessage(c *switchConn, m *message) {
	switch m.kind {
	case typeSetup:
		s.rec.printf("switch %s got the set-up of %x", s.id, m.call)
		s.mu.Lock()
		s.setups = append(s.setups, setupSeen{m.call, time.Now()})
		s.mu.Unlock()
		if strings.HasPrefix(string(m.params[paramNumber]), badNumber) {
			time.AfterFunc(s.answerAfter, func() {
				c.send(encode(typeRelease, m.call, cause(47), text(paramReport, report)))
			})
			return
		}
		time.AfterFunc(s.answerAfter, func() { s.answer(c, m.call) })
		if s.holdFor > 0 {
			time.AfterFunc(s.answerAfter+s.holdFor, func() { s.end(m.call, 16) })
		}
	case typeRelease:
		s.mu.Lock()
		_, stands := s.standing[m.call]
		delete(s.standing, m.call)
		s.released[m.call] = time.Now()
		s.mu.Unlock()
		s.rec.printf("switch %s got a release of %x, cause %d, the call stood: %v", s.id, m.call, m.cause(), stands)
	case typeTest:
		c.send(encode(typeTested, m.call, cause(1)))
	}
}

// answer lets a call stand.
func (s *coreSwitch) answer(c *switchConn, call uint64) {
	s.mu.Lock()
	open := false
	for _, other := range s.conns {
		open = open || other == c
	}
	if !open {
		s.mu.Unlock()
		return
	}
	s.standing[call] = c
	s.mu.Unlock()
	s.rec.printf("switch %s answers %x: it stands", s.id, call)
	c.send(encode(typeAnswer, call, text(paramDescription, "by "+s.id), text(paramReport, report)))
}

// end ends a call that stands: its release is sent on the connection of its set-up, otherwise on any open one, and
// also on the next connection opened.
func (s *coreSwitch) end(call uint64, why byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, stands := s.standing[call]
	if !stands {
		s.rec.printf("switch %s: %x does not stand", s.id, call)
		return
	}
	delete(s.standing, call)
	s.ended[call] = time.Now()
	s.repeats = append(s.repeats, repeat{call, why})
	open := false
	for _, other := range s.conns {
		open = open || other == c
	}
	if !open && len(s.conns) > 0 {
		c, open = s.conns[0], true
	}
	s.rec.printf("switch %s releases %x, cause %d, on an open connection: %v", s.id, call, why, open)
	if open {
		c.send(encode(typeRelease, call, cause(why), text(paramReport, report)))
	}
}

func (s *coreSwitch) stands(call uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.standing[call]
	return ok
}

func (s *coreSwitch) setupsAfter(t time.Time) (n int, last time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, setup := range s.setups {
		if setup.at.After(t) {
			n++
			last = setup.at
		}
	}
	return n, last
}
