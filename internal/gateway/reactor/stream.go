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

// Handler hears of streams, from the poller's goroutines: it must not wait for what waits for them.
type Handler interface {
	// Accepted says that somebody has connected. Data and Closed of a stream come after it.
	Accepted(s *Stream, from netip.Addr)
	// Connected says that a stream that was dialled is up.
	Connected(s *Stream)
	// Data brings what came; the bytes are valid only during the call.
	Data(s *Stream, b []byte)
	// Left says that what had not left at once has; see Stream.HasLeft.
	Left(s *Stream)
	// Closed says that a stream has ended or never came up, and why.
	Closed(s *Stream, err error)
}

// Stream is one TCP connection.
type Stream struct {
	conn   atomic.Pointer[nbio.Conn]
	handed atomic.Int64
	left   atomic.Int64
	shut   atomic.Bool // from here
	place  bool        // it was accepted, and has a place
	told   atomic.Bool // Closed was called, or will not be
	up     sync.Once   // Accepted or Connected was told, or will not be
	// turn is held while the poller takes the connection over and while it is closed from here: a descriptor that is
	// closed and used again by another connection must not be handed to the poller for this one.
	turn   sync.Mutex
	cancel context.CancelFunc // of its dial
	User   any                // the handler's own, set before anything of the stream is heard
}

// listener is what is used of a net.TCPListener.
type listener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// Streams are open TCP connections of one listener and of dials.
type Streams struct {
	engine   *nbio.Engine
	handler  Handler
	listener listener
	room     chan struct{} // a place for each caller's connection
	within   time.Duration // a dial that is not up by then ends
	ctx      context.Context
	stop     context.CancelFunc
	loops    sync.WaitGroup // dials, and the loop that accepts
	accepts  sync.WaitGroup // that loop alone
	ending   atomic.Bool    // it ends once nobody comes any more
	ended    atomic.Bool    // it has
	Local    netip.AddrPort
}

// lateBy is how long after its time a dial is ended here, ms: whoever dialled decides first.
const lateBy = 100

const streamBuffer = 16 << 10

// ServeStreams listens on an address, by one poller. No more than most connections are accepted at a time: what comes
// beyond waits in the kernel. A dial that is not up within so many ms ends.
func ServeStreams(addr netip.AddrPort, most int, within float64, h Handler) (*Streams, error) {
	quiet()
	nbio.MaxOpenFiles = min(nbio.MaxOpenFiles, mostFiles)
	s := &Streams{handler: h, room: make(chan struct{}, most), within: time.Duration((within + lateBy) * 1e6)}
	s.ctx, s.stop = context.WithCancel(context.Background())
	// The library's own listener is not used: where descriptors have run out it accepts without a pause, and it hands a
	// connection that was closed meanwhile to the poller.
	s.engine = nbio.NewEngine(nbio.Config{Name: "streams", NPoller: 1, ReadBufferSize: streamBuffer})
	s.engine.OnData(func(c *nbio.Conn, b []byte) {
		if st, ok := c.Session().(*Stream); ok && !st.shut.Load() {
			s.begun(st)
			h.Data(st, b)
		}
	})
	s.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if st, ok := c.Session().(*Stream); ok && st.left.Add(int64(n)) == st.handed.Load() {
			h.Left(st)
		}
	})
	s.engine.OnClose(s.closed)
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr)) // first: an engine that is stopped as it starts may never end
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if err := s.engine.Start(); err != nil {
		l.Close()
		return nil, fmt.Errorf("poller: %w", err)
	}
	s.listener, s.Local = l, plain(l.Addr().(*net.TCPAddr).AddrPort())
	s.accepts.Add(1)
	go s.accept()
	return s, nil
}

// mostFiles bounds the table that the library keeps of descriptors: it would else hold 16 MB.
const mostFiles = 1 << 16

const (
	acceptRetry = 20 * time.Millisecond // between two tries to accept while the process has no descriptor left
	acceptQuiet = 20 * time.Millisecond // without a newcomer: whoever connected before the end has been accepted
)

// accept takes connections, each into a place of its own, till nobody comes after StopAccept.
func (s *Streams) accept() {
	defer s.accepts.Done()
	defer s.ended.Store(true)
	defer s.listener.Close()
	for {
		select {
		case s.room <- struct{}{}:
		case <-s.ctx.Done():
			return
		}
		last, since := s.ending.Load(), time.Now()
		if last {
			s.listener.SetDeadline(since.Add(acceptQuiet))
		}
		c, err := s.listener.Accept()
		if err == nil {
			s.adopt(&Stream{place: true}, c)
			continue
		}
		<-s.room
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			// the deadline of StopAccept only wakes this loop, and what is pending is not seen past it
			if last && time.Since(since) >= acceptQuiet {
				return
			}
		default:
			select {
			case <-time.After(acceptRetry):
			case <-s.ctx.Done():
				return
			}
		}
	}
}

// StopAccept ends the taking of connections: those whose callers have connected are still accepted, and then the listener
// closes. It does not wait for that; Accepting tells.
func (s *Streams) StopAccept() {
	s.ending.Store(true)
	s.listener.SetDeadline(time.Now())
}

// Accepting tells whether connections are still accepted.
func (s *Streams) Accepting() bool { return !s.ended.Load() }

// begun tells that a stream is there, once, and before anything else of it.
func (s *Streams) begun(st *Stream) {
	st.up.Do(func() {
		if !st.place {
			s.handler.Connected(st)
			return
		}
		from, _ := st.conn.Load().RemoteAddr().(*net.TCPAddr)
		if from != nil {
			s.handler.Accepted(st, from.AddrPort().Addr().Unmap())
		}
	})
}

// adopt hands a connection to the poller. Only then is it told of: what is written before could neither wait for room in
// the socket nor be counted as left.
func (s *Streams) adopt(st *Stream, conn net.Conn) {
	c, err := nbio.NBConn(conn)
	if err != nil {
		conn.Close()
		s.leave(st, err)
		return
	}
	st.turn.Lock()
	if st.shut.Load() {
		c.Close()
		st.turn.Unlock()
		return
	}
	c.SetSession(st)
	st.conn.Store(c)
	_, err = s.engine.AddConn(c)
	st.turn.Unlock()
	if err != nil {
		s.leave(st, err)
		return
	}
	s.begun(st)
}

func (s *Streams) closed(c *nbio.Conn, err error) {
	if st, ok := c.Session().(*Stream); ok {
		s.leave(st, err)
	}
}

// leave tells that a stream has ended, once, and gives its place back.
func (s *Streams) leave(st *Stream, err error) {
	if st.told.Swap(true) {
		return
	}
	if st.place {
		<-s.room
	}
	known := true
	st.up.Do(func() { known = !st.place }) // a caller's that nobody was told of has not been there
	if known && !st.shut.Load() {
		s.handler.Closed(st, err)
	}
}

// Dial opens a stream; Connected or Closed follows. The library's own dial reads the first four bytes of an address that
// may have sixteen, and so reaches another machine; the standard one connects, and the poller takes over.
func (s *Streams) Dial(st *Stream, to netip.AddrPort) {
	ctx, cancel := context.WithTimeout(s.ctx, s.within)
	st.cancel = cancel
	s.loops.Add(1)
	go func() {
		defer s.loops.Done()
		defer cancel()
		conn, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", to.String())
		if err != nil {
			s.leave(st, err)
			return
		}
		s.adopt(st, conn)
	}()
}

// Refused tells whether an error says that somebody was there and took no connection.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Reset tells whether an error says that the other side has torn a connection down.
func Reset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Write hands bytes on, in order; it tells whether all that was ever handed has left.
func (st *Stream) Write(b []byte) bool {
	c := st.conn.Load()
	if c == nil || st.shut.Load() {
		return false
	}
	st.handed.Add(int64(len(b)))
	if _, err := c.Write(b); err != nil {
		return false // Closed follows
	}
	return st.HasLeft()
}

// HasLeft tells whether all that was handed has left.
func (st *Stream) HasLeft() bool { return st.left.Load() == st.handed.Load() }

// Shut closes a stream; nothing more is heard of it.
func (st *Stream) Shut() {
	st.shut.Store(true)
	if st.cancel != nil {
		st.cancel()
	}
	st.turn.Lock()
	defer st.turn.Unlock()
	if c := st.conn.Load(); c != nil {
		c.Close()
	}
}

// CloseWrite says that nothing more will be written: the other side reads what was, and then the end.
func (st *Stream) CloseWrite() {
	st.turn.Lock()
	defer st.turn.Unlock()
	c := st.conn.Load()
	if c == nil || st.shut.Load() || st.told.Load() {
		return
	}
	if raw, err := c.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_WR) })
	}
}

// Close closes all.
func (s *Streams) Close() {
	s.stop()
	s.listener.Close()
	s.accepts.Wait()
	s.loops.Wait()
	end(s.engine)
}
