package reactor

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// ears is a handler that notes what it hears.
type ears struct {
	mu        sync.Mutex
	accepted  []*Stream
	connected int
	left      int
	data      bytes.Buffer
	closed    []error
}

func (e *ears) Accepted(s *Stream, _ netip.Addr) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accepted = append(e.accepted, s)
}
func (e *ears) Connected(*Stream)        { e.mu.Lock(); defer e.mu.Unlock(); e.connected++ }
func (e *ears) Data(_ *Stream, b []byte) { e.mu.Lock(); defer e.mu.Unlock(); e.data.Write(b) }
func (e *ears) Left(*Stream)             { e.mu.Lock(); defer e.mu.Unlock(); e.left++ }
func (e *ears) Closed(_ *Stream, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = append(e.closed, err)
}

// until waits for something that the pollers bring.
func (e *ears) until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for range 400 {
		e.mu.Lock()
		ok := is()
		e.mu.Unlock()
		if ok {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%s: never", what)
}

func serve(t *testing.T, most int) (*Streams, *ears) {
	t.Helper()
	e := &ears{}
	s, err := ServeStreams(netip.MustParseAddrPort("127.0.0.1:0"), most, 300, e)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, e
}

// A dial reaches the very address that it names: the library's own does not.
func TestDial(t *testing.T) {
	s, e := serve(t, 4)
	l, err := net.Listen("tcp", "127.0.0.7:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	st := &Stream{}
	s.Dial(st, netip.MustParseAddrPort(l.Addr().String()))
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	e.until(t, "connected", func() bool { return e.connected == 1 })
	if !st.Write([]byte("hello")) {
		t.Error("five bytes did not leave at once")
	}
	b := make([]byte, 5)
	if _, err := io.ReadFull(c, b); err != nil || string(b) != "hello" {
		t.Errorf("%q %v", b, err)
	}
	c.Write([]byte("you"))
	e.until(t, "data", func() bool { return e.data.String() == "you" })
	c.Close()
	e.until(t, "closed", func() bool { return len(e.closed) == 1 })
	if st.Write([]byte("x")) {
		t.Error("a write to a closed stream left")
	}
}

func TestRefused(t *testing.T) {
	s, e := serve(t, 4)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	to := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	s.Dial(&Stream{}, to)
	e.until(t, "closed", func() bool { return len(e.closed) == 1 })
	if len(e.closed) != 1 || !Refused(e.closed[0]) || e.connected != 0 {
		t.Errorf("closed %v, connected %d", e.closed, e.connected)
	}
}

// A dial that is shut before it is up is heard of no more.
func TestShutDial(t *testing.T) {
	s, e := serve(t, 4)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	st := &Stream{}
	s.Dial(st, netip.MustParseAddrPort(l.Addr().String()))
	e.until(t, "connected", func() bool { return e.connected == 1 })
	st.Shut()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if n, err := c.Read(make([]byte, 1)); err == nil {
		t.Errorf("%d bytes from a stream that was shut", n)
	}
	time.Sleep(50 * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.closed) != 0 {
		t.Errorf("heard of: %v", e.closed)
	}
}

// Bytes that a slow reader does not take are told when they have left.
func TestLeft(t *testing.T) {
	s, e := serve(t, 4)
	c, err := net.Dial("tcp", s.Local.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	e.until(t, "accepted", func() bool { return len(e.accepted) == 1 })
	st := e.accepted[0]
	const size = 32 << 20
	if st.Write(make([]byte, size)) {
		t.Fatal("32 MiB left at once to a reader that reads nothing")
	}
	if st.HasLeft() {
		t.Error("they are said to have left")
	}
	if n, err := io.CopyN(io.Discard, c, size); err != nil {
		t.Errorf("%d bytes came: %v", n, err)
	}
	e.until(t, "left", func() bool { return e.left > 0 && st.HasLeft() })
}

// No more connections are accepted than there is room for; when one ends the next gets in.
func TestRoom(t *testing.T) {
	s, e := serve(t, 2)
	var conns []net.Conn
	for range 3 {
		c, err := net.Dial("tcp", s.Local.String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns = append(conns, c)
	}
	e.until(t, "two accepted", func() bool { return len(e.accepted) == 2 })
	time.Sleep(50 * time.Millisecond)
	e.mu.Lock()
	n := len(e.accepted)
	first := e.accepted[0]
	e.mu.Unlock()
	if n != 2 {
		t.Errorf("%d were accepted", n)
	}
	first.Shut() // from here
	e.until(t, "the third accepted", func() bool { return len(e.accepted) == 3 })
}
