package reactor

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// Handler takes the events of streams. It is called from the poller's goroutines and must not block.
type Handler interface {
	// Accepted reports a connection that was accepted. Data and Closed of the stream come after it.
	Accepted(s *Stream, from netip.Addr)
	// Connected reports that a stream that was dialed is up.
	Connected(s *Stream)
	// Data reports received bytes, which are valid only during the call.
	Data(s *Stream, b []byte)
	// Flushed reports that what could not be sent at once has been sent; see Stream.IsFlushed.
	Flushed(s *Stream)
	// Closed reports that a stream has ended or never came up, and why.
	Closed(s *Stream, err error)
}

// Stream is one TCP connection.
type Stream struct {
	conn          atomic.Pointer[nbio.Conn]
	bytesWritten  atomic.Int64
	bytesFlushed  atomic.Int64
	closed        atomic.Bool // from here
	accepted      bool        // not dialed: it has a slot
	closeReported atomic.Bool // Closed was called, or will not be
	openReported  sync.Once   // guards that Accepted or Connected is called once
	// adoptMu is held while the poller takes the connection over and while it is closed from here: a descriptor that is
	// closed and used again by another connection must not be handed to the poller for this one.
	adoptMu sync.Mutex
	cancel  context.CancelFunc // of its dial
	User    any                // the handler's own, set before any event of the stream
}

// listener is what is used of a net.TCPListener.
type listener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// Streams are open TCP connections of one listener and of dials.
type Streams struct {
	engine        *nbio.Engine
	handler       Handler
	listener      listener
	slots         chan struct{} // one for each accepted connection
	dialTimeout   time.Duration // a dial that is not up by then is given up
	ctx           context.Context
	stop          context.CancelFunc
	goroutines    sync.WaitGroup // dials, and the accept loop
	acceptLoop    sync.WaitGroup // the accept loop alone
	stopAccepting atomic.Bool    // StopAccept was called
	acceptStopped atomic.Bool    // the accept loop has ended
	Local         netip.AddrPort
}

// dialGrace is how long after its timeout a dial is ended here, ms: whoever dialed decides first.
const dialGrace = 100

const streamReadBufferSize = 16 << 10

// ServeStreams listens on an address, by one poller. No more than most connections are accepted at a time: what comes
// beyond waits in the kernel. A dial that is not up within so many ms ends.
func ServeStreams(addr netip.AddrPort, maxAccepted int, dialTimeout float64, h Handler) (*Streams, error) {
	silenceLibraryLog()
	nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, maxOpenFiles)
	s := &Streams{
		handler:     h,
		slots:       make(chan struct{}, maxAccepted),
		dialTimeout: time.Duration((dialTimeout + dialGrace) * 1e6),
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	// The library's own listener is not used: where descriptors have run out it accepts without a pause, and it hands a
	// connection that was closed meanwhile to the poller.
	s.engine = nbio.NewEngine(nbio.Config{Name: "streams", NPoller: 1, ReadBufferSize: streamReadBufferSize})
	s.engine.OnData(func(c *nbio.Conn, b []byte) {
		if stream, ok := c.Session().(*Stream); ok && !stream.closed.Load() {
			s.reportOpen(stream)
			h.Data(stream, b)
		}
	})
	s.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if stream, ok := c.Session().(*Stream); ok && stream.bytesFlushed.Add(int64(n)) == stream.bytesWritten.Load() {
			h.Flushed(stream)
		}
	})
	s.engine.OnClose(s.onClose)
	l, err := net.ListenTCP("tcp",
		net.TCPAddrFromAddrPort(addr)) // first: an engine that is stopped as it starts may never end
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if err := s.engine.Start(); err != nil {
		l.Close()
		return nil, fmt.Errorf("poller: %w", err)
	}
	s.listener, s.Local = l, unmapped(l.Addr().(*net.TCPAddr).AddrPort())
	s.acceptLoop.Add(1)
	go s.accept()
	return s, nil
}

// maxOpenFiles bounds the table that the library keeps of descriptors: it would else hold 16 MB.
const maxOpenFiles = 1 << 16

const (
	acceptRetryInterval = 20 * time.Millisecond // between two tries to accept while the process has no descriptor left
	acceptIdleTimeout   = 20 * time.Millisecond // without a newcomer: whoever connected before the end has been accepted
)

// accept takes connections, each into a place of its own, till nobody comes after StopAccept.
func (s *Streams) accept() {
	defer s.acceptLoop.Done()
	defer s.acceptStopped.Store(true)
	defer s.listener.Close()
	for {
		select {
		case s.slots <- struct{}{}:
		case <-s.ctx.Done():
			return
		}
		last, since := s.stopAccepting.Load(), time.Now()
		if last {
			_ = s.listener.SetDeadline(since.Add(acceptIdleTimeout))
		}
		c, err := s.listener.Accept()
		if err == nil {
			s.adopt(&Stream{accepted: true}, c)
			continue
		}
		<-s.slots
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			// the deadline of StopAccept only wakes this loop, and what is pending is not seen past it
			if last && time.Since(since) >= acceptIdleTimeout {
				return
			}
		default:
			select {
			case <-time.After(acceptRetryInterval):
			case <-s.ctx.Done():
				return
			}
		}
	}
}

// StopAccept ends the taking of connections: those whose callers have connected are still accepted, and then the
// listener closes. It does not wait for that; Accepting tells.
func (s *Streams) StopAccept() {
	s.stopAccepting.Store(true)
	_ = s.listener.SetDeadline(time.Now())
}

// Accepting tells whether connections are still accepted.
func (s *Streams) Accepting() bool { return !s.acceptStopped.Load() }

// reportOpen tells that a stream is there, once, and before anything else of it.
func (s *Streams) reportOpen(stream *Stream) {
	stream.openReported.Do(func() {
		if !stream.accepted {
			s.handler.Connected(stream)
			return
		}
		from, _ := stream.conn.Load().RemoteAddr().(*net.TCPAddr)
		if from != nil {
			s.handler.Accepted(stream, from.AddrPort().Addr().Unmap())
		}
	})
}

// adopt hands a connection to the poller. Only then is it told of: what is written before could neither wait for room
// in the socket nor be counted as left.
func (s *Streams) adopt(stream *Stream, conn net.Conn) {
	c, err := nbio.NBConn(conn)
	if err != nil {
		conn.Close()
		s.reportClosed(stream, err)
		return
	}
	stream.adoptMu.Lock()
	if stream.closed.Load() {
		c.Close()
		stream.adoptMu.Unlock()
		return
	}
	c.SetSession(stream)
	stream.conn.Store(c)
	_, err = s.engine.AddConn(c)
	stream.adoptMu.Unlock()
	if err != nil {
		s.reportClosed(stream, err)
		return
	}
	s.reportOpen(stream)
}

func (s *Streams) onClose(c *nbio.Conn, err error) {
	if stream, ok := c.Session().(*Stream); ok {
		s.reportClosed(stream, err)
	}
}

// reportClosed tells that a stream has ended, once, and gives its place back.
func (s *Streams) reportClosed(stream *Stream, err error) {
	if stream.closeReported.Swap(true) {
		return
	}
	if stream.accepted {
		<-s.slots
	}
	known := true
	stream.openReported.Do(func() { known = !stream.accepted }) // a caller's that nobody was told of has not been there
	if known && !stream.closed.Load() {
		s.handler.Closed(stream, err)
	}
}

// Dial opens a stream; Connected or Closed follows. The library's own dial reads the first four bytes of an address
// that may have sixteen, and so reaches another machine; the standard one connects, and the poller takes over.
func (s *Streams) Dial(stream *Stream, to netip.AddrPort) {
	ctx, cancel := context.WithTimeout(s.ctx, s.dialTimeout)
	stream.cancel = cancel
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		defer cancel()
		conn, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", to.String())
		if err != nil {
			s.reportClosed(stream, err)
			return
		}
		s.adopt(stream, conn)
	}()
}

// IsRefused tells whether an error says that somebody was there and took no connection.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// IsReset tells whether an error says that the other side has torn a connection down.
func IsReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Write hands bytes on, in order; it tells whether all that was ever handed has left.
func (stream *Stream) Write(b []byte) bool {
	c := stream.conn.Load()
	if c == nil || stream.closed.Load() {
		return false
	}
	stream.bytesWritten.Add(int64(len(b)))
	if _, err := c.Write(b); err != nil {
		return false // Closed follows
	}
	return stream.IsFlushed()
}

// IsFlushed tells whether all that was handed has left.
func (stream *Stream) IsFlushed() bool {
	return stream.bytesFlushed.Load() == stream.bytesWritten.Load()
}

// Close closes a stream; nothing more is heard of it.
func (stream *Stream) Close() {
	stream.closed.Store(true)
	if stream.cancel != nil {
		stream.cancel()
	}
	stream.adoptMu.Lock()
	defer stream.adoptMu.Unlock()
	if c := stream.conn.Load(); c != nil {
		c.Close()
	}
}

// CloseWrite says that nothing more will be written: the other side reads what was, and then the end.
func (stream *Stream) CloseWrite() {
	stream.adoptMu.Lock()
	defer stream.adoptMu.Unlock()
	c := stream.conn.Load()
	if c == nil || stream.closed.Load() || stream.closeReported.Load() {
		return
	}
	if raw, err := c.SyscallConn(); err == nil {
		// a connection that is closed already needs none of it
		_ = raw.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_WR) })
	}
}

// Close closes all.
func (s *Streams) Close() {
	s.stop()
	s.listener.Close()
	s.acceptLoop.Wait()
	s.goroutines.Wait()
	shutdownEngine(s.engine)
}
