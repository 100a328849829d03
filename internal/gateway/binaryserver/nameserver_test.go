package binaryserver

import (
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/miekg/dns"
)

// testNameServer is a stand-in for the name server of an endpoint list.
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
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	n := &testNameServer{conn: conn, serial: serial, priorities: map[*testEndpoint]uint16{}, done: make(chan struct{})}
	for _, endpoint := range endpoints {
		n.priorities[endpoint] = 0
	}
	go n.serve()
	t.Cleanup(func() {
		conn.Close()
		<-n.done
	})
	return n
}

func (n *testNameServer) addr() string { return n.conn.LocalAddr().String() }

func (n *testNameServer) serve() {
	defer close(n.done)
	buffer := make([]byte, 1500)
	for {
		length, from, err := n.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		message := &dns.Msg{}
		if message.Unpack(buffer[:length]) != nil || len(message.Question) != 1 {
			continue
		}
		n.mu.Lock()
		n.queries++
		message.Response, message.Compress = true, true
		queryName := message.Question[0].Name
		for endpoint, priority := range n.priorities {
			hostName := endpoint.id + ".east.hosts."
			message.Answer = append(
				message.Answer,
				&dns.SRV{
					Hdr:      dns.RR_Header{Name: queryName, Rrtype: dns.TypeSRV, Class: 1},
					Priority: priority,
					Port:     endpoint.addr().Port(),
					Target:   hostName,
				},
			)
			message.Extra = append(
				message.Extra,
				&dns.A{Hdr: dns.RR_Header{Name: hostName, Rrtype: dns.TypeA, Class: 1}, A: net.IPv4(127, 0, 0, 1)},
				&dns.TXT{
					Hdr: dns.RR_Header{Name: hostName, Rrtype: dns.TypeTXT, Class: 1},
					Txt: []string{"kind=std", "cell=" + endpoint.id[len(endpoint.id)-1:], "started=0"},
				},
			)
		}
		message.Ns = []dns.RR{
			&dns.SOA{
				Hdr:    dns.RR_Header{Name: "farm.lan.", Rrtype: dns.TypeSOA, Class: 1},
				Ns:     "a.",
				Mbox:   "b.",
				Serial: n.serial,
			},
		}
		silent := n.silent
		n.mu.Unlock()
		if out, err := message.Pack(); err == nil && !silent {
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
