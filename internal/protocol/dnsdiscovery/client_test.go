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
	m := &dns.Msg{}
	if err := m.Unpack(query); err != nil {
		t.Fatal(err)
	}
	if m.RecursionDesired || len(m.Question) != 1 || m.Question[0].Name != "_data._tcp.farm.lan." ||
		m.Question[0].Qtype != dns.TypeSRV {
		t.Errorf("unexpected query: %v", m)
	}
	m.Response, m.Compress = true, true
	header := func(name string, rrtype uint16) dns.RR_Header {
		return dns.RR_Header{Name: name, Rrtype: rrtype, Class: dns.ClassINET}
	}
	for i, host := range []string{"s-00c41f7a.east.hosts.", "s-00c41f7b.west.hosts."} {
		m.Answer = append(
			m.Answer,
			&dns.SRV{Hdr: header(queryName, dns.TypeSRV), Priority: uint16(i), Weight: 40, Port: 5070, Target: host},
		)
		m.Extra = append(m.Extra, &dns.A{Hdr: header(host, dns.TypeA), A: net.IPv4(127, 0, 1, byte(9+i))},
			&dns.TXT{Hdr: header(host, dns.TypeTXT), Txt: []string{"kind=std", "cell=2", "started=1700000000000"}})
	}
	m.Ns = []dns.RR{&dns.SOA{Hdr: header("farm.lan.", dns.TypeSOA), Ns: "ns.farm.lan.", Mbox: "x.farm.lan.",
		Serial: serial}}
	if change != nil {
		change(m)
	}
	b, err := m.Pack()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestList(t *testing.T) {
	c := New(server, 4, 1)
	list, err := c.HandleResponse(server, packResponse(t, c.Query(0), 5, nil))
	if err != nil || list == nil || list.Serial != 5 || !list.Complete || len(list.Targets) != 2 {
		t.Fatalf("%+v %v", list, err)
	}
	a, b := list.Targets[0], list.Targets[1]
	if a.ID != "s-00c41f7a" || a.Addr.String() != "127.0.1.9:5070" || a.State != routing.Ready || a.DestinationID != 2 ||
		a.StartedAt != 1700000000000 {
		t.Errorf("%+v", a)
	}
	if b.State != routing.Draining {
		t.Errorf("%+v", b)
	}
	if list, err = c.HandleResponse(server, packResponse(t, c.Query(300), 5, nil)); list != nil || err != nil {
		t.Errorf("the same list again: %v %v", list, err)
	}
}

// TestInvalidResponses: an invalid response has no effect, and the next valid one is used.
func TestInvalidResponses(t *testing.T) {
	c := New(server, 4, 1)
	now := 0.0
	nextQuery := func() []byte {
		now += queryInterval
		return c.Query(now)
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
			t.Errorf("%s: %v %v", name, list, err)
		}
	}
	good := packResponse(t, nextQuery(), 5, nil)
	if _, err := c.HandleResponse(netip.MustParseAddrPort("127.0.2.9:5353"), good); !errors.Is(err, ErrUnsolicited) {
		t.Errorf("from another server: %v", err)
	}
	if list, err := c.HandleResponse(server, good); list == nil || err != nil {
		t.Errorf("valid response: %v %v", list, err)
	}
}

// TestLateResponses: a response to any of the latest maxOutstanding queries is used, one to an older query is not.
func TestLateResponses(t *testing.T) {
	c := New(server, 4, 1)
	old := c.Query(0)
	late := c.Query(queryInterval)
	for i := range maxOutstanding - 1 {
		if c.Query(queryInterval*float64(2+i)) == nil {
			t.Fatal("no query is due")
		}
	}
	if list, _ := c.HandleResponse(server, packResponse(t, old, 5, nil)); list != nil {
		t.Error("a response to an old query was used")
	}
	if list, err := c.HandleResponse(server, packResponse(t, late, 5, nil)); list == nil {
		t.Errorf("late: %v", err)
	}
	if c.Query(c.NextQuery()-1) != nil {
		t.Error("got a query before it is due")
	}
}

// TestSetServer: a new name server is queried at once, responses of the previous one are ignored, and the serial of the
// latest list stays in force.
func TestSetServer(t *testing.T) {
	c := New(server, 4, 1)
	query := c.Query(0)
	other := netip.MustParseAddrPort("127.0.2.2:5353")
	c.SetServer(other)
	if list, _ := c.HandleResponse(server, packResponse(t, query, 9, nil)); list != nil {
		t.Error("a response of the previous server was used")
	}
	if list, _ := c.HandleResponse(other, packResponse(t, query, 9, nil)); list != nil {
		t.Error("a query to the previous server was accepted from the new one")
	}
	query = c.Query(1)
	if query == nil {
		t.Fatal("the new server is not queried at once")
	}
	if list, err := c.HandleResponse(other, packResponse(t, query, 3, nil)); list != nil || !errors.Is(err, ErrOutdated) {
		t.Errorf("an older list: %v %v", list, err)
	}
	if list, err := c.HandleResponse(other, packResponse(t, query, 5, nil)); list == nil {
		t.Errorf("the new list: %v", err)
	}
}

func FuzzAnswer(f *testing.F) {
	c := New(server, 0, 1)
	m := &dns.Msg{}
	_ = m.Unpack(c.Query(0))
	m.Response = true
	b, _ := m.Pack()
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		c := New(server, 0, 1)
		c.Query(0)
		if list, err := c.HandleResponse(server, b); list != nil && err != nil {
			t.Error("got a list and an error")
		}
	})
}
