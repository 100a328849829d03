package sipserver

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/miekg/dns"

	"cobaltpier/internal/gateway/reactor"
	"cobaltpier/internal/protocol/enumserver"
)

// enumListener connects the ENUM server to its sockets: the reactor reads datagrams, and each TCP connection (RFC 7766)
// has one goroutine that reads and one that writes. Only the event loop may use the ENUM server itself.
type enumListener struct {
	sipServer  *Server
	enum       *enumserver.Server
	udp        *reactor.UDPSockets
	tcp        *net.TCPListener
	mu         sync.Mutex
	conns      map[*net.TCPConn]struct{}
	goroutines sync.WaitGroup
}

// maxPendingWrites is the maximum number of answers waiting to be written to a slow TCP client. If another answer is
// due while so many wait, the connection is closed.
const maxPendingWrites = 64

// listenENUM opens the ENUM server's UDP and TCP sockets.
func (s *Server) listenENUM() (*enumListener, error) {
	settings := &s.config.ENUMServer
	l := &enumListener{sipServer: s, enum: enumserver.New(settings.Config, s.agent), conns: map[*net.TCPConn]struct{}{}}
	var err error
	l.udp, err = reactor.ListenUDP([]netip.AddrPort{settings.Listen}, 1, func(local, from netip.AddrPort, data []byte) {
		select {
		case s.events <- event{kind: callback, do: func(now float64) {
			l.enum.Receive(now, from, data, false, func(b []byte) { l.udp.Send(local, from, b) })
		}}:
		// The event queue is full: drop the datagram. The client repeats the query, as after a loss in the network.
		default:
		}
	})
	if err != nil {
		return nil, fmt.Errorf("ENUM server: listen on UDP: %w", err)
	}
	if l.tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(settings.Listen)); err != nil {
		l.udp.Close()
		return nil, fmt.Errorf("ENUM server: listen on TCP: %w", err)
	}
	l.goroutines.Add(1)
	go l.accept()
	s.log.Info().Str("addr", settings.Listen.String()).Str("apex", settings.Apex).Msg("ENUM server listening")
	return l, nil
}

func (l *enumListener) close() {
	l.udp.Close()
	l.tcp.Close()
	l.mu.Lock()
	for c := range l.conns {
		c.Close()
	}
	l.mu.Unlock()
	l.goroutines.Wait()
}

func (l *enumListener) accept() {
	defer l.goroutines.Done()
	for {
		c, err := l.tcp.AcceptTCP()
		if err != nil {
			return
		}
		l.mu.Lock()
		full := len(l.conns) >= l.sipServer.config.ENUMServer.MaxConns
		if !full {
			l.conns[c] = struct{}{}
			l.goroutines.Add(1)
		}
		l.mu.Unlock()
		if full {
			c.Close()
			continue
		}
		go l.serveConn(c)
	}
}

// serveConn reads queries from a connection. A second goroutine writes the answers as they become available.
func (l *enumListener) serveConn(c *net.TCPConn) {
	defer l.goroutines.Done()
	out, done := make(chan []byte, maxPendingWrites), make(chan struct{})
	defer func() {
		close(done)
		c.Close()
		l.mu.Lock()
		delete(l.conns, c)
		l.mu.Unlock()
	}()
	idle, conn := time.Duration(l.sipServer.config.ENUMServer.IdleTimeout*1e6), &dns.Conn{Conn: c}
	l.goroutines.Add(1)
	go func() {
		defer l.goroutines.Done()
		for {
			select {
			case b := <-out:
				_ = c.SetWriteDeadline(time.Now().Add(idle))
				if _, err := conn.Write(b); err != nil {
					c.Close()
					return
				}
			case <-done:
				return
			}
		}
	}()
	from := unmapped(c.RemoteAddr().(*net.TCPAddr).AddrPort())
	b := make([]byte, dns.MaxMsgSize)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idle))
		n, err := conn.Read(b)
		if err != nil {
			return
		}
		data := bytes.Clone(b[:n])
		l.sipServer.enqueue(event{kind: callback, do: func(now float64) {
			l.enum.Receive(now, from, data, true, func(b []byte) {
				select {
				case out <- b:
				default:
					c.Close()
				}
			})
		}})
	}
}

func unmapped(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }
