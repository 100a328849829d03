package dnsserver

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/miekg/dns"
)

// SocketServer serves a Server on UDP and TCP sockets of one address.
type SocketServer struct {
	mu     sync.Mutex
	server *Server
	udp    *net.UDPConn
	tcp    *net.TCPListener
	wg     sync.WaitGroup
}

// Serve opens the sockets and serves s on them; port 0 picks a free port.
func Serve(s *Server, at netip.AddrPort) (*SocketServer, error) {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("dns server: %w", err)
	}
	at = udp.LocalAddr().(*net.UDPAddr).AddrPort()
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(at))
	if err != nil {
		udp.Close()
		return nil, fmt.Errorf("dns server: %w", err)
	}
	v := &SocketServer{server: s, udp: udp, tcp: tcp}
	v.wg.Add(2)
	go v.serveUDP()
	go v.serveTCP()
	return v, nil
}

// Addr returns the address of the sockets.
func (v *SocketServer) Addr() netip.AddrPort { return v.udp.LocalAddr().(*net.UDPAddr).AddrPort() }

// Change calls do with the server, locked against queries, to change its faults or other fields.
func (v *SocketServer) Change(do func(*Server)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	do(v.server)
}

// Close closes the sockets and waits for the serving goroutines to end.
func (v *SocketServer) Close() {
	v.udp.Close()
	v.tcp.Close()
	v.wg.Wait()
}

func (v *SocketServer) serveUDP() {
	defer v.wg.Done()
	b := make([]byte, 1<<16)
	for {
		n, from, err := v.udp.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		v.mu.Lock()
		out := v.server.Datagram(b[:n])
		v.mu.Unlock()
		for _, r := range out {
			time.AfterFunc(time.Duration(r.After*1e6), func() { _, _ = v.udp.WriteToUDPAddrPort(r.Data, from) })
		}
	}
}

func (v *SocketServer) serveTCP() {
	defer v.wg.Done()
	for {
		c, err := v.tcp.AcceptTCP()
		if err != nil {
			return
		}
		v.wg.Add(1)
		go func() {
			defer v.wg.Done()
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			conn, b := &dns.Conn{Conn: c}, make([]byte, dns.MaxMsgSize)
			n, err := conn.Read(b)
			if err != nil {
				return
			}
			v.mu.Lock()
			out := v.server.Stream(b[:n])
			v.mu.Unlock()
			for _, r := range out {
				time.Sleep(time.Duration(r.After * 1e6))
				_, _ = conn.Write(r.Data)
			}
		}()
	}
}
