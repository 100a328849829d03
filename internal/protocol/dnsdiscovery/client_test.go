package dnsdiscovery

import (
	"errors"
	"net"
	"net/netip"
	"testing"

	"github.com/miekg/dns"

	"cobaltpier/internal/routing"
)

var server = netip.MustParseAddrPort("127.0.2.1:5353")

// packResponse returns a name server's response to a query; change may modify it before it is packed.
func packResponse(t *testing.T, query []byte, serial uint32, change func(*dns.Msg)) []byte {
	t.Helper()
	message := &dns.Msg{}
	if err := message.Unpack(query); err != nil {
		t.Fatal(err)
	}
	if message.RecursionDesired || len(message.Question) != 1 || message.Question[0].Name != "_data._tcp.farm.lan." ||
		message.Question[0].Qtype != dns.TypeSRV {
		t.Errorf("unexpected query: %v", message)
	}
	message.Response, message.Compress = true, true
	header := func(name string, rrtype uint16) dns.RR_Header {
		return dns.RR_Header{Name: name, Rrtype: rrtype, Class: dns.ClassINET}
	}
	for i, host := range []string{"s-00c41f7a.east.hosts.", "s-00c41f7b.west.hosts."} {
		message.Answer = append(
			message.Answer,
			&dns.SRV{Hdr: header(queryName, dns.TypeSRV), Priority: uint16(i), Weight: 40, Port: 5070, Target: host},
		)
		message.Extra = append(message.Extra, &dns.A{Hdr: header(host, dns.TypeA), A: net.IPv4(127, 0, 1, byte(9+i))},
			&dns.TXT{Hdr: header(host, dns.TypeTXT), Txt: []string{"kind=std", "cell=2", "started=1700000000000"}})
	}
	message.Ns = []dns.RR{&dns.SOA{Hdr: header("farm.lan.", dns.TypeSOA), Ns: "ns.farm.lan.", Mbox: "x.farm.lan.",
		Serial: serial}}
	if change != nil {
		change(message)
	}
	b, err := message.Pack()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestList checks the list read from a valid response, and that the same list again is not reported.
func TestList(t *testing.T) {
	c := New(server, 4, 1)
	list, err := c.HandleResponse(server, packResponse(t, c.MakeQuery(0), 5, nil))
	if err != nil || list == nil || list.Serial != 5 || !list.Complete || len(list.Entries) != 2 {
		t.Fatalf("got list %+v, error %v; want a complete list of 2 endpoints with serial 5", list, err)
	}
	a, b := list.Entries[0], list.Entries[1]
	if a.ID != "s-00c41f7a" || a.Addr.String() != "127.0.1.9:5070" || a.State != routing.Ready || a.DestinationID != 2 ||
		a.StartedAt != 1700000000000 {
		t.Errorf("first endpoint %+v, want s-00c41f7a at 127.0.1.9:5070, ready, destination 2, started at 1700000000000", a)
	}
	if b.State != routing.Draining {
		t.Errorf("second endpoint %+v, want it draining", b)
	}
	if list, err = c.HandleResponse(server, packResponse(t, c.MakeQuery(300), 5, nil)); list != nil || err != nil {
		t.Errorf("the same list again: got %v, error %v; want neither", list, err)
	}
}

// TestInvalids checks that an invalid response has no effect and that the next valid one is used.
func TestInvalids(t *testing.T) {
	c := New(server, 4, 1)
	now := 0.0
	nextQuery := func() []byte {
		now += queryInterval
		return c.MakeQuery(now)
	}
	response := packResponse(t, nextQuery(), 5, nil)
	for name, data := range map[string][]byte{
		"incomplete":     response[:len(response)-20],
		"truncated":      packResponse(t, nextQuery(), 5, func(m *dns.Msg) { m.Truncated = true }),
		"server failure": packResponse(t, nextQuery(), 5, func(m *dns.Msg) { m.Rcode = dns.RcodeServerFailure }),
		"another id":     packResponse(t, nextQuery(), 5, func(m *dns.Msg) { m.Id ^= 0x5a5a }),
		"older list":     packResponse(t, nextQuery(), 3, nil),
		"no SOA record":  packResponse(t, nextQuery(), 5, func(m *dns.Msg) { m.Ns = nil }),
		"no address":     packResponse(t, nextQuery(), 5, func(m *dns.Msg) { m.Extra = m.Extra[2:] }),
		"invalid cell":   packResponse(t, nextQuery(), 5, func(m *dns.Msg) { m.Extra[1].(*dns.TXT).Txt[1] = "cell=x" }),
		"a query":        nextQuery(),
		"empty":          {},
		"another name":   packResponse(t, nextQuery(), 5, func(m *dns.Msg) { m.Question[0].Name = "other." }),
	} {
		if list, err := c.HandleResponse(server, data); list != nil || err == nil {
			t.Errorf("%s: got list %v, error %v; want only an error", name, list, err)
		}
	}
	valid := packResponse(t, nextQuery(), 5, nil)
	if _, err := c.HandleResponse(netip.MustParseAddrPort("127.0.2.9:5353"), valid); !errors.Is(err, ErrUnsolicited) {
		t.Errorf("from another server: error %v, want ErrUnsolicited", err)
	}
	if list, err := c.HandleResponse(server, valid); list == nil || err != nil {
		t.Errorf("valid response: got list %v, error %v; want a list", list, err)
	}
}

// TestLateResponses checks that a response to any of the latest maxRecentQueries queries is used, and one to an older
// query is not.
func TestLateResponses(t *testing.T) {
	c := New(server, 4, 1)
	oldQuery := c.MakeQuery(0)
	lateQuery := c.MakeQuery(queryInterval)
	for i := range maxRecentQueries - 1 {
		if c.MakeQuery(queryInterval*float64(2+i)) == nil {
			t.Fatal("no query is due")
		}
	}
	if list, _ := c.HandleResponse(server, packResponse(t, oldQuery, 5, nil)); list != nil {
		t.Error("a response to an old query was used")
	}
	if list, err := c.HandleResponse(server, packResponse(t, lateQuery, 5, nil)); list == nil {
		t.Errorf("response to the oldest of the recent queries: error %v, want a list", err)
	}
	if c.MakeQuery(c.NextQueryAt()-1) != nil {
		t.Error("got a query before it is due")
	}
}

// TestSlowServer guards against a list that no longer changes because the name server takes seconds to answer, each
// query as long: no query is answered before many others have been sent.
func TestSlowServer(t *testing.T) {
	for _, delay := range []float64{3500, 4000, 5000, 12000} {
		c := New(server, 4, 1)
		query := c.MakeQuery(0)
		for now := queryInterval; now < delay; now += queryInterval {
			if c.MakeQuery(now) == nil {
				t.Fatal("no query is due")
			}
		}
		if list, err := c.HandleResponse(server, packResponse(t, query, 5, nil)); list == nil {
			t.Errorf("response after %v ms: error %v, want the list", delay, err)
		}
	}
}

// TestSetServer checks that a new name server is queried at once, that responses of the previous one are ignored, and
// that a list older than the latest one is still ignored.
func TestSetServer(t *testing.T) {
	c := New(server, 4, 1)
	query := c.MakeQuery(0)
	newServer := netip.MustParseAddrPort("127.0.2.2:5353")
	c.SetServer(newServer)
	if list, _ := c.HandleResponse(server, packResponse(t, query, 9, nil)); list != nil {
		t.Error("a response of the previous server was used")
	}
	if list, _ := c.HandleResponse(newServer, packResponse(t, query, 9, nil)); list != nil {
		t.Error("a response of the new server to a query to the previous one was used")
	}
	query = c.MakeQuery(1)
	if query == nil {
		t.Fatal("the new server is not queried at once")
	}
	if list, err := c.HandleResponse(newServer, packResponse(t, query, 3, nil)); list != nil ||
		!errors.Is(err, ErrOutdated) {
		t.Errorf("an older list: got %v, error %v; want ErrOutdated", list, err)
	}
	if list, err := c.HandleResponse(newServer, packResponse(t, query, 5, nil)); list == nil {
		t.Errorf("a newer list: error %v, want the list", err)
	}
}

// FuzzAnswer checks that no response makes HandleResponse panic or return a list together with an error.
func FuzzAnswer(f *testing.F) {
	c := New(server, 0, 1)
	m := &dns.Msg{}
	_ = m.Unpack(c.MakeQuery(0))
	m.Response = true
	b, _ := m.Pack()
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		c := New(server, 0, 1)
		c.MakeQuery(0)
		if list, err := c.HandleResponse(server, b); list != nil && err != nil {
			t.Error("got a list and an error")
		}
	})
}
