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

// recordingHandler is a Handler that records the events.
type recordingHandler struct {
	onOpen    func(*Stream) // called first in Accepted and Connected
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

// waitFor waits until condition returns true, for at most 4 s; the events come from the pollers.
func (e *recordingHandler) waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 400 {
		e.mu.Lock()
		ok := condition()
		e.mu.Unlock()
		if ok {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%s: did not happen", what)
}

func newTestStreams(t *testing.T, maxAccepted int) (*Streams, *recordingHandler) {
	return newTestStreamsFor(t, maxAccepted, &recordingHandler{})
}

func newTestStreamsFor(t *testing.T, maxAccepted int, e *recordingHandler) (*Streams, *recordingHandler) {
	t.Helper()
	s, err := ListenTCP(netip.MustParseAddrPort("127.0.0.1:0"), maxAccepted, 300, e)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, e
}

// A dial connects to the given address, unlike a dial of nbio, which may connect to another one.
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
		t.Error("five bytes were not flushed at once")
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
		t.Error("a write to a closed stream was flushed")
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

// After Close, a dialed stream that the peer has not accepted yet is closed and reports no further event.
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
		t.Errorf("%d bytes from a closed stream", n)
	}
	time.Sleep(50 * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.closed) != 0 {
		t.Errorf("closed was reported: %v", e.closed)
	}
}

// Data that a slow reader does not take at once is reported by Flushed after it was sent.
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
		t.Fatal("32 MiB were flushed at once to a reader that reads nothing")
	}
	if stream.IsFlushed() {
		t.Error("unsent data is reported as flushed")
	}
	if n, err := io.CopyN(io.Discard, c, size); err != nil {
		t.Errorf("%d bytes were received: %v", n, err)
	}
	e.waitFor(t, "flushed", func() bool { return e.flushed > 0 && stream.IsFlushed() })
}

// At most maxAccepted connections are accepted; when one is closed, the next one is accepted.
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
	first.Close()
	e.waitFor(t, "the third accepted", func() bool { return len(e.accepted) == 3 })
}

// A handler may write to a stream in Accepted or Connected: everything is sent, also what the socket does not take at
// once.
func TestWriteWhenOpened(t *testing.T) {
	const size = 16 << 20
	for _, dialed := range []bool{false, true} {
		s, e := newTestStreamsFor(t, 4, &recordingHandler{onOpen: func(stream *Stream) { stream.Write(make([]byte, size)) }})
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		var c net.Conn
		if dialed {
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
			t.Errorf("dialed %v: %d bytes were received: %v", dialed, n, err)
		}
		e.waitFor(t, "flushed", func() bool { return e.flushed > 0 })
	}
}

// A handler may close a stream in Accepted: its slot is released, and a connection that reuses the descriptor works.
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
		s.Dial(&Stream{}, netip.MustParseAddrPort(l.Addr().String())) // it reuses the descriptor that has just been closed
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
	e.waitFor(t, "the closed stream was accepted", func() bool { return len(e.accepted) == 1 })
	_, _ = o.Write([]byte("mine"))
	e.waitFor(t, "data of the other connection", func() bool { return e.data.String() == "mine" })
	for range 2 { // the slot of the closed stream is free
		c, err := net.Dial("tcp", s.Local.String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	e.waitFor(t, "two more accepted", func() bool { return len(e.accepted) == 3 })
}

// failingListener fails the first accepts as if the process had no free descriptor.
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

// When descriptors have run out, accept is retried after a pause, and a connection that waits in the kernel's queue is
// accepted once there are free ones.
func TestAcceptWithoutDescriptors(t *testing.T) {
	s, e := newTestStreams(t, 2)
	old := s.listener
	s.StopAccepting() // ends the accept loop and closes its listener; both are replaced
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

// pausedListener delays Accept until resume is closed, so that connections wait in the kernel's queue at StopAccepting.
type pausedListener struct {
	listener
	resume chan struct{}
}

func (l *pausedListener) Accept() (net.Conn, error) {
	<-l.resume
	return l.listener.Accept()
}

// After StopAccepting, connections in the kernel's queue are still accepted and read, and then the listener is closed.
func TestStopAccept(t *testing.T) {
	s, e := newTestStreams(t, 8)
	addr := s.listener.Addr().(*net.TCPAddr)
	s.StopAccepting()
	s.acceptLoop.Wait()
	if s.Accepting() {
		t.Error("Accepting is true after the accept loop has ended")
	}
	if c, err := net.Dial("tcp", addr.String()); err == nil {
		c.Close()
		t.Error("the listener is still open")
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
	s.stopAccepting.Store(true) // StopAccepting while the connections are in the kernel's queue
	close(l.resume)
	s.StopAccepting()
	e.waitFor(t, "three accepted and read", func() bool { return len(e.accepted) == 3 && e.data.Len() == 9 })
	e.accepted[0].CloseWrite()
}

// After CloseWrite the peer reads all data written before and then EOF; data that it sends after that causes no reset.
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

// blockingHandler is a recordingHandler whose first Data blocks the poller, as the event queue does when it is full.
type blockingHandler struct {
	recordingHandler
	once    sync.Once
	blocked chan struct{}
	unblock chan struct{}
}

func (h *blockingHandler) Data(s *Stream, b []byte) {
	h.once.Do(func() {
		close(h.blocked)
		<-h.unblock
	})
	h.recordingHandler.Data(s, b)
}

// TestDataBeforeCloseIsRead guards against the loss of what a peer sent before it closed the connection: more data than
// the poller reads at once waits in the kernel when the close arrives.
func TestDataBeforeCloseIsRead(t *testing.T) {
	for range 20 {
		sent := bytes.Repeat([]byte("release "), 40000)
		if read := sendAndClose(t, sent); read != len(sent) {
			t.Fatalf("%d of %d bytes were read before the close was reported", read, len(sent))
		}
	}
}

// sendAndClose sends data to a server whose poller is blocked for a moment, and closes the connection. It returns how
// many bytes the server read.
func sendAndClose(t *testing.T, data []byte) int {
	t.Helper()
	h := &blockingHandler{blocked: make(chan struct{}), unblock: make(chan struct{})}
	s, err := ListenTCP(netip.MustParseAddrPort("127.0.0.1:0"), 4, 300, h)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c, err := net.Dial("tcp", s.Local.String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write(data[:8]); err != nil {
		t.Fatal(err)
	}
	<-h.blocked
	go func() {
		_, _ = c.Write(data[8:]) // a failure shows in the number of bytes
		c.Close()
	}()
	time.Sleep(20 * time.Millisecond) // the data fills the kernel's buffers
	close(h.unblock)
	h.waitFor(t, "closed", func() bool { return len(h.closed) == 1 })
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.data.Len()
}
