package reactor

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// recordingHandler is a handler that notes what it hears.
type recordingHandler struct {
	onOpen    func(*Stream) // done when a stream is told of, before anything else
	mu        sync.Mutex
	accepted  []*Stream
	connected int
	flushed   int
	data      bytes.Buffer
	closed    []error
}

func (e *recordingHandler) Accepted(s *Stream, _ netip.Addr) {
	if e.onOpen != nil {
		e.onOpen(s)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accepted = append(e.accepted, s)
}
func (e *recordingHandler) Connected(s *Stream) {
	if e.onOpen != nil {
		e.onOpen(s)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.connected++
}
func (e *recordingHandler) Data(_ *Stream, b []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.data.Write(b)
}
func (e *recordingHandler) Flushed(*Stream) { e.mu.Lock(); defer e.mu.Unlock(); e.flushed++ }
func (e *recordingHandler) Closed(_ *Stream, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = append(e.closed, err)
}

// waitFor waits for something that the pollers bring.
func (e *recordingHandler) waitFor(t *testing.T, what string, is func() bool) {
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

func newTestStreams(t *testing.T, most int) (*Streams, *recordingHandler) {
	return newTestStreamsFor(t, most, &recordingHandler{})
}

func newTestStreamsFor(t *testing.T, most int, e *recordingHandler) (*Streams, *recordingHandler) {
	t.Helper()
	s, err := ServeStreams(netip.MustParseAddrPort("127.0.0.1:0"), most, 300, e)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, e
}

// A dial reaches the very address that it names: the library's own does not.
func TestDial(t *testing.T) {
	s, e := newTestStreams(t, 4)
	l, err := net.Listen("tcp", "127.0.0.7:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	stream := &Stream{}
	s.Dial(stream, netip.MustParseAddrPort(l.Addr().String()))
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	e.waitFor(t, "connected", func() bool { return e.connected == 1 })
	if !stream.Write([]byte("hello")) {
		t.Error("five bytes did not leave at once")
	}
	b := make([]byte, 5)
	if _, err := io.ReadFull(c, b); err != nil || string(b) != "hello" {
		t.Errorf("%q %v", b, err)
	}
	_, _ = c.Write([]byte("you"))
	e.waitFor(t, "data", func() bool { return e.data.String() == "you" })
	c.Close()
	e.waitFor(t, "closed", func() bool { return len(e.closed) == 1 })
	if stream.Write([]byte("x")) {
		t.Error("a write to a closed stream left")
	}
}

func TestRefused(t *testing.T) {
	s, e := newTestStreams(t, 4)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	to := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	s.Dial(&Stream{}, to)
	e.waitFor(t, "closed", func() bool { return len(e.closed) == 1 })
	if len(e.closed) != 1 || !IsRefused(e.closed[0]) || e.connected != 0 {
		t.Errorf("closed %v, connected %d", e.closed, e.connected)
	}
}

// A dial that is shut before it is up is heard of no more.
func TestCloseBeforePeerAccepts(t *testing.T) {
	s, e := newTestStreams(t, 4)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	stream := &Stream{}
	s.Dial(stream, netip.MustParseAddrPort(l.Addr().String()))
	e.waitFor(t, "connected", func() bool { return e.connected == 1 })
	stream.Close()
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
func TestFlushedToSlowReader(t *testing.T) {
	s, e := newTestStreams(t, 4)
	c, err := net.Dial("tcp", s.Local.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	e.waitFor(t, "accepted", func() bool { return len(e.accepted) == 1 })
	stream := e.accepted[0]
	const size = 32 << 20
	if stream.Write(make([]byte, size)) {
		t.Fatal("32 MiB left at once to a reader that reads nothing")
	}
	if stream.IsFlushed() {
		t.Error("they are said to have left")
	}
	if n, err := io.CopyN(io.Discard, c, size); err != nil {
		t.Errorf("%d bytes came: %v", n, err)
	}
	e.waitFor(t, "left", func() bool { return e.flushed > 0 && stream.IsFlushed() })
}

// No more connections are accepted than there is room for; when one ends the next gets in.
func TestMaxAccepted(t *testing.T) {
	s, e := newTestStreams(t, 2)
	for range 3 {
		c, err := net.Dial("tcp", s.Local.String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	e.waitFor(t, "two accepted", func() bool { return len(e.accepted) == 2 })
	time.Sleep(50 * time.Millisecond)
	e.mu.Lock()
	n := len(e.accepted)
	first := e.accepted[0]
	e.mu.Unlock()
	if n != 2 {
		t.Errorf("%d were accepted", n)
	}
	first.Close() // from here
	e.waitFor(t, "the third accepted", func() bool { return len(e.accepted) == 3 })
}

// Whoever is told of a stream may use it at once: what it writes in that very instant leaves, also what the socket does
// not take at once, and one that it shuts gives back its place and harms no other.
func TestWriteWhenOpened(t *testing.T) {
	const size = 16 << 20
	for _, dialled := range []bool{false, true} {
		s, e := newTestStreamsFor(t, 4, &recordingHandler{onOpen: func(stream *Stream) { stream.Write(make([]byte, size)) }})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		var c net.Conn
		if dialled {
			s.Dial(&Stream{}, netip.MustParseAddrPort(l.Addr().String()))
			c, err = l.Accept()
		} else {
			c, err = net.Dial("tcp", s.Local.String())
		}
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if n, err := io.CopyN(io.Discard, c, size); err != nil {
			t.Errorf("dialled %v: %d bytes came: %v", dialled, n, err)
		}
		e.waitFor(t, "left", func() bool { return e.flushed > 0 })
	}
}

func TestCloseWhenAccepted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	e := &recordingHandler{}
	s, _ := newTestStreamsFor(t, 2, e)
	other := make(chan net.Conn, 1)
	var first atomic.Bool
	e.mu.Lock()
	e.onOpen = func(stream *Stream) {
		if first.Swap(true) {
			return
		}
		stream.Close()
		s.Dial(&Stream{}, netip.MustParseAddrPort(l.Addr().String())) // it gets the descriptor that has just been closed
		c, err := l.Accept()
		if err != nil {
			t.Error(err)
		}
		e.waitFor(t, "connected", func() bool { return e.connected == 1 })
		other <- c
	}
	e.mu.Unlock()
	c, err := net.Dial("tcp", s.Local.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	o := <-other
	defer o.Close()
	e.waitFor(t, "the one that was shut was told of", func() bool { return len(e.accepted) == 1 })
	_, _ = o.Write([]byte("mine"))
	e.waitFor(t, "the other is heard", func() bool { return e.data.String() == "mine" })
	for range 2 { // its place is free
		c, err := net.Dial("tcp", s.Local.String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	e.waitFor(t, "two more accepted", func() bool { return len(e.accepted) == 3 })
}

// failingListener has no descriptor left for the first accepts.
type failingListener struct {
	listener
	mu       sync.Mutex
	failures int
	attempts int
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	l.attempts++
	fails := l.attempts <= l.failures
	l.mu.Unlock()
	if fails {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.listener.Accept()
}

// Where descriptors have run out the next try waits, and whoever waits in the kernel gets in once there are some again.
func TestAcceptWithoutDescriptors(t *testing.T) {
	s, e := newTestStreams(t, 2)
	old := s.listener
	s.StopAccept() // ends the loop and its listener; another begins
	s.acceptLoop.Wait()
	again, err := net.ListenTCP("tcp", old.Addr().(*net.TCPAddr))
	if err != nil {
		t.Fatal(err)
	}
	l := &failingListener{listener: again, failures: 3}
	s.listener = l
	s.stopAccepting.Store(false)
	s.acceptLoop.Add(1)
	go s.accept()
	c, err := net.Dial("tcp", s.Local.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	e.waitFor(t, "accepted", func() bool { return len(e.accepted) == 1 })
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.attempts < 4 || l.attempts > 6 {
		t.Errorf("%d accepts", l.attempts)
	}
}

// pausedListener holds accepted connections back till it is told, so that some wait in the kernel at the end.
type pausedListener struct {
	listener
	resume chan struct{}
}

func (l *pausedListener) Accept() (net.Conn, error) {
	<-l.resume
	return l.listener.Accept()
}

// At the end whoever has connected is still accepted, what was written is read, and the listener is closed.
func TestStopAccept(t *testing.T) {
	s, e := newTestStreams(t, 8)
	addr := s.listener.Addr().(*net.TCPAddr)
	s.StopAccept()
	s.acceptLoop.Wait()
	if s.Accepting() {
		t.Error("it is said to accept")
	}
	if c, err := net.Dial("tcp", addr.String()); err == nil {
		c.Close()
		t.Error("it still listens")
	}
	again, err := net.ListenTCP("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	l := &pausedListener{again, make(chan struct{})}
	s.listener = l
	s.stopAccepting.Store(false)
	s.acceptLoop.Add(1)
	go s.accept()
	for range 3 {
		c, err := net.Dial("tcp", addr.String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = c.Write([]byte("ask"))
	}
	s.stopAccepting.Store(true) // they are in the kernel's queue, and the end is there
	close(l.resume)
	s.StopAccept()
	e.waitFor(t, "three accepted and read", func() bool { return len(e.accepted) == 3 && e.data.Len() == 9 })
	e.accepted[0].CloseWrite()
}

// What was written before the end of writing is read by the other side, and then the end; what it still sends does no
// harm.
func TestCloseWrite(t *testing.T) {
	s, e := newTestStreams(t, 2)
	c, err := net.Dial("tcp", s.Local.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	e.waitFor(t, "accepted", func() bool { return len(e.accepted) == 1 })
	stream := e.accepted[0]
	stream.Write([]byte("answer"))
	stream.CloseWrite()
	_, _ = c.Write([]byte("late"))
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	if b, err := io.ReadAll(c); err != nil || string(b) != "answer" {
		t.Errorf("%q, %v", b, err)
	}
	c.Close()
	e.waitFor(t, "closed", func() bool { return len(e.closed) == 1 })
}
