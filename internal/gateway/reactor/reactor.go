// Package reactor runs UDP sockets and TCP connections on nbio. Each received datagram is passed on with the local
// address that it arrived at; datagrams can be sent from any of the local addresses.
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

// UDPSockets is a set of open UDP sockets.
type UDPSockets struct {
	engine     *nbio.Engine
	mu         sync.Mutex
	conns      map[netip.AddrPort]*net.UDPConn
	batchConns map[netip.AddrPort]*ipv4.PacketConn // the IPv4 sockets of conns
	SendErrors atomic.Uint64                       // datagrams that could not be sent
}

// udpReceiveBufferSize is the receive buffer that is requested for a socket, for datagrams that arrive while the event
// loop is busy; the kernel may allow less.
const udpReceiveBufferSize = 4 << 20

var silenceLibraryLog = sync.OnceFunc(func() { logging.SetLevel(logging.LevelNone) })

// Local returns the local addresses, with the ports that the system chose for port 0.
func (s *UDPSockets) Local() []netip.AddrPort {
	var addrs []netip.AddrPort
	for a := range s.conns {
		addrs = append(addrs, a)
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	return addrs
}

// ListenUDP opens a socket on each address. onDatagram is called from the pollers, for one address always from the same
// poller, and may keep the data. The error names an address that can't be opened.
func ListenUDP(
	addrs []netip.AddrPort, pollers int, onDatagram func(local, from netip.AddrPort, data []byte),
) (*UDPSockets, error) {
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
			onDatagram(unmapped(local.AddrPort()), unmapped(from.AddrPort()), append([]byte(nil), data...))
		}
	})
	if err := s.engine.Start(); err != nil {
		s.closeConns()
		return nil, fmt.Errorf("listen: %w", err)
	}
	return s, nil
}

func unmapped(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// listen opens a socket and keeps a second handle of it for sending: the library's socket can only reply to a
// received datagram.
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

// Send sends a datagram from a local address. A failure is only counted in SendErrors, since the network may lose any
// datagram.
func (s *UDPSockets) Send(from, to netip.AddrPort, data []byte) {
	c := s.conns[from]
	if c == nil {
		s.SendErrors.Add(1)
		return
	}
	if _, err := c.WriteToUDPAddrPort(data, to); err != nil {
		s.SendErrors.Add(1)
	}
}

// Datagram is a datagram to be sent.
type Datagram struct {
	To   netip.AddrPort
	Data []byte
}

// SendAll sends datagrams from one address in order, with as few system calls as possible.
func (s *UDPSockets) SendAll(from netip.AddrPort, datagrams []Datagram) {
	if len(datagrams) < 2 || s.batchConns[from] == nil {
		for _, p := range datagrams {
			s.Send(from, p.To, p.Data)
		}
		return
	}
	messages := make([]ipv4.Message, len(datagrams))
	for i, p := range datagrams {
		messages[i] = ipv4.Message{Buffers: [][]byte{p.Data}, Addr: net.UDPAddrFromAddrPort(p.To)}
	}
	for len(messages) > 0 {
		n, err := s.batchConns[from].WriteBatch(messages, 0)
		if err != nil || n == 0 { // the first message could not be sent
			s.SendErrors.Add(1)
			n = 1
		}
		messages = messages[n:]
	}
}

// shutdownEngine stops an engine and waits for at most a second: the library's poller misses a stop that is requested
// before the poller runs, and waiting for it would never end. A process that closes so soon after the start is about to
// exit.
func shutdownEngine(e *nbio.Engine) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = e.Shutdown(ctx) // the error is a timeout, which can't be handled
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

// IsAddressInUse reports whether an error of ListenUDP or ListenTCP says that an address is already in use.
func IsAddressInUse(err error) bool {
	return err != nil && strings.Contains(err.Error(), "address already in use")
}
