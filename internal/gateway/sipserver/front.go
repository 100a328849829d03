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

// door drives the ENUM front: datagrams by the reactor, streams by a goroutine each (RFC 7766). The front itself is the
// loop's.
type door struct {
	g       *Gateway
	front   *enumserver.Front
	sockets *reactor.UDPSockets
	tcp     *net.TCPListener
	mu      sync.Mutex
	open    map[*net.TCPConn]struct{}
	wait    sync.WaitGroup
}

// mostWrite is how many answers may wait for a slow reader of a stream; beyond it is cut off.
const mostWrite = 64

// openDoor listens for look-ups.
func (g *Gateway) openDoor() (*door, error) {
	set := &g.set.Front
	d := &door{g: g, front: enumserver.New(set.Config, g.edge), open: map[*net.TCPConn]struct{}{}}
	var err error
	d.sockets, err = reactor.Listen([]netip.AddrPort{set.Listen}, 1, func(local, from netip.AddrPort, data []byte) {
		select {
		case g.events <- event{kind: call, do: func(now float64) {
			d.front.Receive(now, from, data, false, func(b []byte) { d.sockets.Send(local, from, b) })
		}}:
		default: // lost, as on the way
		}
	})
	if err != nil {
		return nil, fmt.Errorf("front: %w", err)
	}
	if d.tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(set.Listen)); err != nil {
		d.sockets.Close()
		return nil, fmt.Errorf("front: %w", err)
	}
	d.wait.Add(1)
	go d.accept()
	g.log.Info().Str("addr", set.Listen.String()).Str("apex", set.Apex).Msg("look-ups are answered here")
	return d, nil
}

func (d *door) close() {
	d.sockets.Close()
	d.tcp.Close()
	d.mu.Lock()
	for c := range d.open {
		c.Close()
	}
	d.mu.Unlock()
	d.wait.Wait()
}

func (d *door) accept() {
	defer d.wait.Done()
	for {
		c, err := d.tcp.AcceptTCP()
		if err != nil {
			return
		}
		d.mu.Lock()
		full := len(d.open) >= d.g.set.Front.Conns
		if !full {
			d.open[c] = struct{}{}
			d.wait.Add(1)
		}
		d.mu.Unlock()
		if full {
			c.Close()
			continue
		}
		go d.serve(c)
	}
}

// serve reads questions of a stream; answers go out as they come.
func (d *door) serve(c *net.TCPConn) {
	defer d.wait.Done()
	out, done := make(chan []byte, mostWrite), make(chan struct{})
	defer func() {
		close(done)
		c.Close()
		d.mu.Lock()
		delete(d.open, c)
		d.mu.Unlock()
	}()
	idle, conn := time.Duration(d.g.set.Front.Idle*1e6), &dns.Conn{Conn: c}
	d.wait.Add(1)
	go func() {
		defer d.wait.Done()
		for {
			select {
			case b := <-out:
				c.SetWriteDeadline(time.Now().Add(idle))
				if _, err := conn.Write(b); err != nil {
					c.Close()
					return
				}
			case <-done:
				return
			}
		}
	}()
	from := plain(c.RemoteAddr().(*net.TCPAddr).AddrPort())
	b := make([]byte, dns.MaxMsgSize)
	for {
		c.SetReadDeadline(time.Now().Add(idle))
		n, err := conn.Read(b)
		if err != nil {
			return
		}
		data := bytes.Clone(b[:n])
		d.g.post(event{kind: call, do: func(now float64) {
			d.front.Receive(now, from, data, true, func(b []byte) {
				select {
				case out <- b:
				default:
					c.Close()
				}
			})
		}})
	}
}

func plain(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }
