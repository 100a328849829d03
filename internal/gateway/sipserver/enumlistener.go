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

// enumListener connects the ENUM server to its sockets: the reactor reads datagrams, and one goroutine reads each TCP
// connection (RFC 7766). Only the event loop may use the ENUM server itself.
type enumListener struct {
	server     *Server
	enum       *enumserver.Server
	sockets    *reactor.UDPSockets
	tcp        *net.TCPListener
	mu         sync.Mutex
	conns      map[*net.TCPConn]struct{}
	goroutines sync.WaitGroup
}

// maxPendingWrites limits the answers that wait for a slow TCP client. Beyond it the connection is closed.
const maxPendingWrites = 64

// listenENUM opens the ENUM server's UDP and TCP sockets.
func (s *Server) listenENUM() (*enumListener, error) {
	set := &s.config.ENUMServer
	d := &enumListener{server: s, enum: enumserver.New(set.Config, s.agent), conns: map[*net.TCPConn]struct{}{}}
	var err error
	d.sockets, err = reactor.Listen([]netip.AddrPort{set.Listen}, 1, func(local, from netip.AddrPort, data []byte) {
		select {
		case s.events <- event{kind: callback, do: func(now float64) {
			d.enum.Receive(now, from, data, false, func(b []byte) { d.sockets.Send(local, from, b) })
		}}:
		default: // queue full: dropped, as the network may drop it
		}
	})
	if err != nil {
		return nil, fmt.Errorf("front: %w", err)
	}
	if d.tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(set.Listen)); err != nil {
		d.sockets.Close()
		return nil, fmt.Errorf("front: %w", err)
	}
	d.goroutines.Add(1)
	go d.accept()
	s.log.Info().Str("addr", set.Listen.String()).Str("apex", set.Apex).Msg("ENUM server listening")
	return d, nil
}

func (d *enumListener) close() {
	d.sockets.Close()
	d.tcp.Close()
	d.mu.Lock()
	for c := range d.conns {
		c.Close()
	}
	d.mu.Unlock()
	d.goroutines.Wait()
}

func (d *enumListener) accept() {
	defer d.goroutines.Done()
	for {
		c, err := d.tcp.AcceptTCP()
		if err != nil {
			return
		}
		d.mu.Lock()
		full := len(d.conns) >= d.server.config.ENUMServer.MaxConns
		if !full {
			d.conns[c] = struct{}{}
			d.goroutines.Add(1)
		}
		d.mu.Unlock()
		if full {
			c.Close()
			continue
		}
		go d.serve(c)
	}
}

// serve reads queries from a connection. A second goroutine writes the answers as they become available.
func (d *enumListener) serve(c *net.TCPConn) {
	defer d.goroutines.Done()
	out, done := make(chan []byte, maxPendingWrites), make(chan struct{})
	defer func() {
		close(done)
		c.Close()
		d.mu.Lock()
		delete(d.conns, c)
		d.mu.Unlock()
	}()
	idle, conn := time.Duration(d.server.config.ENUMServer.IdleTimeout*1e6), &dns.Conn{Conn: c}
	d.goroutines.Add(1)
	go func() {
		defer d.goroutines.Done()
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
		d.server.enqueue(event{kind: callback, do: func(now float64) {
			d.enum.Receive(now, from, data, true, func(b []byte) {
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
