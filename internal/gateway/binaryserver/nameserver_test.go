package binaryserver

import (
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/miekg/dns"
)

// testNameServer is a stand-in for a name server.
type testNameServer struct {
	conn       *net.UDPConn
	mu         sync.Mutex
	serial     uint32
	priorities map[*testEndpoint]uint16 // SRV priority of each listed endpoint
	queries    int
	silent     bool
	done       chan struct{}
}

func newTestNameServer(t *testing.T, serial uint32, endpoints ...*testEndpoint) *testNameServer {
	t.Helper()
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	n := &testNameServer{conn: c, serial: serial, priorities: map[*testEndpoint]uint16{}, done: make(chan struct{})}
	for _, s := range endpoints {
		n.priorities[s] = 0
	}
	go n.serve()
	t.Cleanup(func() {
		c.Close()
		<-n.done
	})
	return n
}

func (n *testNameServer) addr() string { return n.conn.LocalAddr().String() }

func (n *testNameServer) serve() {
	defer close(n.done)
	b := make([]byte, 1500)
	for {
		k, from, err := n.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		m := &dns.Msg{}
		if m.Unpack(b[:k]) != nil || len(m.Question) != 1 {
			continue
		}
		n.mu.Lock()
		n.queries++
		m.Response, m.Compress = true, true
		q := m.Question[0].Name
		for s, priority := range n.priorities {
			h := s.id + ".east.hosts."
			m.Answer = append(
				m.Answer,
				&dns.SRV{
					Hdr:      dns.RR_Header{Name: q, Rrtype: dns.TypeSRV, Class: 1},
					Priority: priority,
					Port:     s.addr().Port(),
					Target:   h,
				},
			)
			m.Extra = append(
				m.Extra,
				&dns.A{Hdr: dns.RR_Header{Name: h, Rrtype: dns.TypeA, Class: 1}, A: net.IPv4(127, 0, 0, 1)},
				&dns.TXT{
					Hdr: dns.RR_Header{Name: h, Rrtype: dns.TypeTXT, Class: 1},
					Txt: []string{"kind=std", "cell=" + s.id[len(s.id)-1:], "started=0"},
				},
			)
		}
		m.Ns = []dns.RR{
			&dns.SOA{
				Hdr:    dns.RR_Header{Name: "farm.lan.", Rrtype: dns.TypeSOA, Class: 1},
				Ns:     "a.",
				Mbox:   "b.",
				Serial: n.serial,
			},
		}
		silent := n.silent
		n.mu.Unlock()
		if out, err := m.Pack(); err == nil && !silent {
			_, _ = n.conn.WriteToUDPAddrPort(out, from)
		}
	}
}

// setPriorities changes the endpoint list and increments its serial.
func (n *testNameServer) setPriorities(change func(map[*testEndpoint]uint16)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n.priorities)
	n.serial++
}
