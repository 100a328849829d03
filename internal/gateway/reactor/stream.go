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

// Handler receives the events of streams. It is called from the poller's goroutines and must not block.
type Handler interface {
	// Accepted reports a connection that was accepted. Data and Closed of the stream come after it.
	Accepted(s *Stream, from netip.Addr)
	// Connected reports that a dialed stream is connected.
	Connected(s *Stream)
	// Data reports received bytes, which are valid only during the call.
	Data(s *Stream, b []byte)
	// Flushed reports that data that could not be sent at once has been sent; see Stream.IsFlushed.
	Flushed(s *Stream)
	// Closed reports that a stream was closed or could not be connected, and why.
	Closed(s *Stream, err error)
}

// Stream is one TCP connection.
type Stream struct {
	conn          atomic.Pointer[nbio.Conn]
	bytesWritten  atomic.Int64
	bytesFlushed  atomic.Int64
	closed        atomic.Bool // by Close
	accepted      bool        // accepted by the listener, not dialed: it holds a slot
	closeReported atomic.Bool // reportClosed has run
	openReported  sync.Once   // ensures that Accepted or Connected is called once
	// adoptMu is held while the connection is added to the poller and while Close closes it: a descriptor that was closed
	// and reused by another connection must not be added to the poller for this one.
	adoptMu sync.Mutex
	cancel  context.CancelFunc // of its dial
	User    any                // data of the handler, set before any event of the stream is handled
}

// listener is the part of net.TCPListener that is used.
type listener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// Streams manages the TCP connections that one listener accepted and those that were dialed.
type Streams struct {
	engine        *nbio.Engine
	handler       Handler
	listener      listener
	slots         chan struct{} // one for each accepted connection
	dialTimeout   time.Duration // after this a dial is aborted
	ctx           context.Context
	stop          context.CancelFunc
	goroutines    sync.WaitGroup // dials, and the accept loop
	acceptLoop    sync.WaitGroup // the accept loop alone
	stopAccepting atomic.Bool    // StopAccepting was called
	acceptStopped atomic.Bool    // the accept loop has ended
	Local         netip.AddrPort
}

// dialGrace is added to the timeout of a dial, ms, so that the caller of Dial can apply its own timeout first.
const dialGrace = 100

const (
	streamReadBufferSize = 16 << 10
	// receiveBufferSize limits what the kernel holds of one connection, in bytes. When a peer closes, the poller reads
	// no more than maxReads buffers before it ends the connection: they hold all that the kernel can hold.
	receiveBufferSize = 128 << 10
	maxReads          = 2*receiveBufferSize/streamReadBufferSize + 1
)

// ListenTCP listens on an address and runs one poller. At most maxAccepted accepted connections are open at a time;
// further ones wait in the kernel's queue. dialTimeout is in ms.
func ListenTCP(addr netip.AddrPort, maxAccepted int, dialTimeout float64, h Handler) (*Streams, error) {
	silenceLibraryLog()
	nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, maxOpenFiles)
	s := &Streams{
		handler:     h,
		slots:       make(chan struct{}, maxAccepted),
		dialTimeout: time.Duration((dialTimeout + dialGrace) * 1e6),
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	// The library's own listener is not used: when descriptors have run out it retries accept without a pause, and it adds
	// connections to the poller that have been closed in the meantime.
	s.engine = nbio.NewEngine(nbio.Config{
		Name:                         "streams",
		NPoller:                      1,
		ReadBufferSize:               streamReadBufferSize,
		MaxConnReadTimesPerEventLoop: maxReads,
	})
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
		net.TCPAddrFromAddrPort(addr)) // before the engine starts: one that is stopped while it starts may never end
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

// maxOpenFiles limits the library's table of descriptors, which would otherwise take 16 MB.
const maxOpenFiles = 1 << 16

const (
	acceptRetryInterval = 20 * time.Millisecond // between attempts to accept while the process has no free descriptor
	acceptIdleTimeout   = 20 * time.Millisecond // after StopAccepting: no connection in this time ends the loop
)

// accept runs the accept loop. Each connection takes a slot. After StopAccepting the loop ends when no further
// connection arrives within acceptIdleTimeout.
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
		stopping, since := s.stopAccepting.Load(), time.Now()
		if stopping {
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
			// the deadline that StopAccepting sets only wakes this loop: Accept returns no pending connection after it
			if stopping && time.Since(since) >= acceptIdleTimeout {
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

// StopAccepting makes the accept loop accept the connections that wait in the kernel's queue and then close the
// listener. It does not wait for that; see Accepting.
func (s *Streams) StopAccepting() {
	s.stopAccepting.Store(true)
	_ = s.listener.SetDeadline(time.Now())
}

// Accepting reports whether connections are still accepted.
func (s *Streams) Accepting() bool { return !s.acceptStopped.Load() }

// reportOpen calls the handler's Accepted or Connected for a stream, once and before any other event of it.
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

// adopt adds a connection to the poller and reports it to the handler only after that: data that is written before
// could not be buffered when the socket is full, nor counted as flushed.
func (s *Streams) adopt(stream *Stream, conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(receiveBufferSize) // without it, only more may be lost when the peer closes
	}
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

// reportClosed releases the slot of a stream and calls the handler's Closed, once.
func (s *Streams) reportClosed(stream *Stream, err error) {
	if stream.closeReported.Swap(true) {
		return
	}
	if stream.accepted {
		<-s.slots
	}
	reportable := true
	// an accepted stream that was not reported as open is not reported as closed either
	stream.openReported.Do(func() { reportable = !stream.accepted })
	if reportable && !stream.closed.Load() {
		s.handler.Closed(stream, err)
	}
}

// Dial connects a stream; Connected or Closed follows. It uses the standard library's dialer and adds the connection to
// the poller: the dialer of nbio uses the first four bytes of an address that may have sixteen, and so connects to
// another machine.
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

// IsRefused reports whether an error says that the peer refused the connection.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// IsReset reports whether an error says that the peer reset the connection.
func IsReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Write sends bytes in order, and buffers what the socket does not take. It reports whether everything that was written
// to the stream has been passed to the kernel.
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

// IsFlushed reports whether everything that was written has been passed to the kernel.
func (stream *Stream) IsFlushed() bool {
	return stream.bytesFlushed.Load() == stream.bytesWritten.Load()
}

// Close closes a stream. Closed is not called for it.
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

// CloseWrite closes the sending side of the connection: the peer reads the data written so far, and then EOF.
func (stream *Stream) CloseWrite() {
	stream.adoptMu.Lock()
	defer stream.adoptMu.Unlock()
	c := stream.conn.Load()
	if c == nil || stream.closed.Load() || stream.closeReported.Load() {
		return
	}
	if raw, err := c.SyscallConn(); err == nil {
		// an error means that the connection is already closed
		_ = raw.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_WR) })
	}
}

// Close closes the listener and all streams, and stops the poller.
func (s *Streams) Close() {
	s.stop()
	s.listener.Close()
	s.acceptLoop.Wait()
	s.goroutines.Wait()
	shutdownEngine(s.engine)
}
