// Package reactor is the driver of UDP sockets, on nbio: every datagram that comes is handed on with the address that
// it came to; datagrams are sent from any of the addresses that are listened on.
package reactor

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"golang.org/x/net/ipv4"
)

// UDPSockets are open UDP sockets.
type UDPSockets struct {
	engine     *nbio.Engine
	mu         sync.Mutex
	conns      map[netip.AddrPort]*net.UDPConn
	batchConns map[netip.AddrPort]*ipv4.PacketConn // of those, the IPv4 ones
	Lost       atomic.Uint64                       // datagrams that the kernel did not take
}

// udpReceiveBufferSize is what a socket may hold for us while the loop is busy; the kernel may allow less.
const udpReceiveBufferSize = 4 << 20

var silenceLibraryLog = sync.OnceFunc(func() { logging.SetLevel(logging.LevelNone) })

// Local is the addresses that are listened on, with the ports that the system chose for port 0.
func (s *UDPSockets) Local() []netip.AddrPort {
	var of []netip.AddrPort
	for a := range s.conns {
		of = append(of, a)
	}
	slices.SortFunc(of, netip.AddrPort.Compare)
	return of
}

// Listen opens the addresses. got is called from the pollers, for one address always from the same one; the data is
// its own. An address that can't be had is an error that names it.
func Listen(addrs []netip.AddrPort, pollers int, got func(local, from netip.AddrPort, data []byte)) (*UDPSockets,
	error) {
	silenceLibraryLog()
	s := &UDPSockets{conns: map[netip.AddrPort]*net.UDPConn{}, batchConns: map[netip.AddrPort]*ipv4.PacketConn{}}
	var names []string
	for _, a := range addrs {
		names = append(names, a.String())
	}
	s.engine = nbio.NewEngine(
		nbio.Config{Name: "cobalt", Network: "udp", Addrs: names, NPoller: pollers, ReadBufferSize: 1 << 16,
			ListenUDP: s.listen},
	)
	s.engine.OnData(func(c *nbio.Conn, data []byte) {
		from, ok := c.RemoteAddr().(*net.UDPAddr)
		local, ok2 := c.LocalAddr().(*net.UDPAddr)
		if ok && ok2 {
			got(unmapped(local.AddrPort()), unmapped(from.AddrPort()), append([]byte(nil), data...))
		}
	})
	if err := s.engine.Start(); err != nil {
		s.closeConns()
		return nil, fmt.Errorf("listen: %w", err)
	}
	return s, nil
}

func unmapped(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// listen opens a socket and keeps a second handle of it for sending: the library's own can only answer.
func (s *UDPSockets) listen(network string, addr *net.UDPAddr) (*net.UDPConn, error) {
	c, err := net.ListenUDP(network, addr)
	if err != nil {
		return nil, err
	}
	_ = c.SetReadBuffer(udpReceiveBufferSize) // as much as the kernel allows
	f, err := c.File()
	if err != nil {
		c.Close()
		return nil, fmt.Errorf("%s: second handle: %w", addr, err)
	}
	defer f.Close()
	p, err := net.FilePacketConn(f)
	if err != nil {
		c.Close()
		return nil, fmt.Errorf("%s: second handle: %w", addr, err)
	}
	s.mu.Lock()
	local := unmapped(c.LocalAddr().(*net.UDPAddr).AddrPort())
	s.conns[local] = p.(*net.UDPConn)
	if local.Addr().Is4() {
		s.batchConns[local] = ipv4.NewPacketConn(p)
	}
	s.mu.Unlock()
	return c, nil
}

// Send sends a datagram from an address that is listened on. What the kernel does not take is counted in Lost, as the
// network may lose any datagram.
func (s *UDPSockets) Send(from, to netip.AddrPort, data []byte) {
	c := s.conns[from]
	if c == nil {
		s.Lost.Add(1)
		return
	}
	if _, err := c.WriteToUDPAddrPort(data, to); err != nil {
		s.Lost.Add(1)
	}
}

// Datagram is a datagram to be sent.
type Datagram struct {
	To   netip.AddrPort
	Data []byte
}

// SendAll sends datagrams from one address with as few calls of the kernel as it can, in order.
func (s *UDPSockets) SendAll(from netip.AddrPort, of []Datagram) {
	if len(of) < 2 || s.batchConns[from] == nil {
		for _, p := range of {
			s.Send(from, p.To, p.Data)
		}
		return
	}
	ms := make([]ipv4.Message, len(of))
	for i, p := range of {
		ms[i] = ipv4.Message{Buffers: [][]byte{p.Data}, Addr: net.UDPAddrFromAddrPort(p.To)}
	}
	for len(ms) > 0 {
		n, err := s.batchConns[from].WriteBatch(ms, 0)
		if err != nil || n == 0 { // the first one is at fault
			s.Lost.Add(1)
			n = 1
		}
		ms = ms[n:]
	}
}

// shutdownEngine stops an engine. The library's poller forgets a stop that comes before it has begun to run, and would
// be waited for without end: so this waits for a second at most. Whoever closes so soon after the start is about to
// exit.
func shutdownEngine(e *nbio.Engine) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = e.Shutdown(ctx) // there is nothing left to be done about it
}

// Close closes all sockets.
func (s *UDPSockets) Close() {
	shutdownEngine(s.engine)
	s.closeConns()
}

func (s *UDPSockets) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

// AddressInUse tells whether an error of Listen says that an address is in use by somebody else.
func AddressInUse(err error) bool {
	return err != nil && strings.Contains(err.Error(), "address already in use")
}
