package reactor

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
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
	shut   atomic.Bool        // from here
	taken  bool               // it was accepted, and has a place
	told   atomic.Bool        // Closed was called, or will not be
	cancel context.CancelFunc // of its dial
	User   any                // the handler's own, set before anything of the stream is heard
}

// Streams are open TCP connections of one listener and of dials.
type Streams struct {
	engine  *nbio.Engine
	handler Handler
	room    chan struct{} // a place for each caller's connection
	within  time.Duration // a dial that is not up by then ends
	ctx     context.Context
	stop    context.CancelFunc
	dials   sync.WaitGroup
	Local   netip.AddrPort
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
	s.engine = nbio.NewEngine(nbio.Config{Name: "streams", Network: "tcp", Addrs: []string{addr.String()}, NPoller: 1, ReadBufferSize: streamBuffer,
		Listen: s.listen})
	s.engine.OnOpen(s.opened)
	s.engine.OnData(func(c *nbio.Conn, b []byte) {
		if st, ok := c.Session().(*Stream); ok && !st.shut.Load() {
			h.Data(st, b)
		}
	})
	s.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if st, ok := c.Session().(*Stream); ok && st.left.Add(int64(n)) == st.handed.Load() {
			h.Left(st)
		}
	})
	s.engine.OnClose(s.closed)
	if err := s.engine.Start(); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return s, nil
}

// mostFiles bounds the table that the library keeps of descriptors: it would else hold 16 MB.
const mostFiles = 1 << 16

// limited is a listener that takes a place for each connection before it accepts one.
type limited struct {
	net.Listener
	room chan struct{}
	done chan struct{}
	once sync.Once
}

func (l *limited) Accept() (net.Conn, error) {
	select {
	case l.room <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.room
	}
	return c, err
}

func (l *limited) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

func (s *Streams) listen(network, addr string) (net.Listener, error) {
	l, err := net.Listen(network, addr)
	if err != nil {
		return nil, err
	}
	s.Local = plain(l.Addr().(*net.TCPAddr).AddrPort())
	return &limited{Listener: l, room: s.room, done: make(chan struct{})}, nil
}

// opened: accepted connections have no stream yet.
func (s *Streams) opened(c *nbio.Conn) {
	if c.Session() != nil {
		return
	}
	st := &Stream{taken: true}
	st.conn.Store(c)
	c.SetSession(st)
	from, _ := c.RemoteAddr().(*net.TCPAddr)
	if from != nil {
		s.handler.Accepted(st, from.AddrPort().Addr().Unmap())
	}
}

func (s *Streams) closed(c *nbio.Conn, err error) {
	st, ok := c.Session().(*Stream)
	if !ok {
		return
	}
	if st.taken {
		<-s.room
	}
	s.end(st, err)
}

func (s *Streams) end(st *Stream, err error) {
	if !st.told.Swap(true) && !st.shut.Load() {
		s.handler.Closed(st, err)
	}
}

// Dial opens a stream; Connected or Closed follows. The library's own dial reads the first four bytes of an address that
// may have sixteen, and so reaches another machine; the standard one connects, and the poller takes over.
func (s *Streams) Dial(st *Stream, to netip.AddrPort) {
	ctx, cancel := context.WithTimeout(s.ctx, s.within)
	st.cancel = cancel
	s.dials.Add(1)
	go func() {
		defer s.dials.Done()
		defer cancel()
		conn, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", to.String())
		if err != nil {
			s.end(st, err)
			return
		}
		c, err := nbio.NBConn(conn)
		if err != nil {
			conn.Close()
			s.end(st, err)
			return
		}
		c.SetSession(st)
		st.conn.Store(c)
		if st.shut.Load() {
			c.Close()
			return
		}
		s.handler.Connected(st)
		if _, err := s.engine.AddConn(c); err != nil {
			s.end(st, err)
		}
	}()
}

// Refused tells whether an error says that somebody was there and took no connection.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

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
	if c := st.conn.Load(); c != nil {
		c.Close()
	}
}

// Close closes all.
func (s *Streams) Close() {
	s.stop()
	s.dials.Wait()
	s.engine.Stop()
}
