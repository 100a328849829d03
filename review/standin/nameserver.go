package main

import (
	"encoding/binary"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
)

// nameServer is a stand-in for the platform's name server.
type nameServer struct {
	conn *net.UDPConn
	mu   sync.Mutex
	no   uint32 // of the last event
	list []listed
}

// listed is a core switch on the list.
type listed struct {
	sw       *coreSwitch
	draining bool
	started  int64 // Unix milliseconds of a late start, or 0
}

func newNameServer(no uint32, switches ...*coreSwitch) (*nameServer, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	n := &nameServer{conn: conn, no: no}
	for _, sw := range switches {
		n.list = append(n.list, listed{sw: sw})
	}
	go n.serve()
	return n, nil
}

func (n *nameServer) addr() string { return n.conn.LocalAddr().String() }

func (n *nameServer) close() { n.conn.Close() }

// change makes a new event.
func (n *nameServer) change(do func(list []listed) []listed) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.list = do(n.list)
	n.no++
}

func (n *nameServer) serve() {
	buffer := make([]byte, 2048)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if size >= 12 {
			_, _ = n.conn.WriteToUDPAddrPort(n.answer(buffer[:size]), from)
		}
	}
}

const (
	dnsA   = 1
	dnsSOA = 6
	dnsTXT = 16
	dnsSRV = 33
)

func name(text string) (out []byte) {
	for label := range strings.SplitSeq(strings.TrimSuffix(text, "."), ".") {
		out = append(append(out, byte(len(label))), label...)
	}
	return append(out, 0)
}

func record(owner string, kind uint16, data []byte) []byte {
	out := name(owner)
	out = binary.BigEndian.AppendUint16(out, kind)
	out = binary.BigEndian.AppendUint16(out, 1) // IN
	out = binary.BigEndian.AppendUint32(out, 0) // TTL
	out = binary.BigEndian.AppendUint16(out, uint16(len(data)))
	return append(out, data...)
}

// answer returns the answer to a query: SRV records, the SOA record, and an A and a TXT record of each target.
func (n *nameServer) answer(query []byte) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	const service = "_data._tcp.farm.lan"
	question := append(name(service), 0, dnsSRV, 0, 1)
	out := append([]byte{query[0], query[1], 0x84, 0, 0, 1}, 0, byte(len(n.list)), 0, 1, 0, byte(2*len(n.list)))
	out = append(out, question...)
	var extra []byte
	for _, entry := range n.list {
		host := entry.sw.id + ".east.hosts"
		addr := netip.MustParseAddrPort(entry.sw.addr)
		srv := []byte{0, 0, 0, 10}
		if entry.draining {
			srv[1] = 1
		}
		srv = binary.BigEndian.AppendUint16(srv, addr.Port())
		out = append(out, record(service, dnsSRV, append(srv, name(host)...))...)
		ip := addr.Addr().As4()
		extra = append(extra, record(host, dnsA, ip[:])...)
		var txt []byte
		for _, field := range []string{
			"kind=one-core", "cell=" + strconv.Itoa(entry.sw.number), "started=" + strconv.FormatInt(entry.started, 10),
		} {
			txt = append(append(txt, byte(len(field))), field...)
		}
		extra = append(extra, record(host, dnsTXT, txt)...)
	}
	soa := append(name("a"), name("b")...)
	soa = binary.BigEndian.AppendUint32(soa, n.no)
	soa = append(soa, make([]byte, 16)...)
	out = append(out, record("farm.lan", dnsSOA, soa)...)
	return append(out, extra...)
}
