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

// packResponse makes what a name server says to a question.
func packResponse(t *testing.T, q []byte, serial uint32, change func(*dns.Msg)) []byte {
	t.Helper()
	m := &dns.Msg{}
	if err := m.Unpack(q); err != nil {
		t.Fatal(err)
	}
	if m.RecursionDesired || len(m.Question) != 1 || m.Question[0].Name != "_data._tcp.farm.lan." ||
		m.Question[0].Qtype != dns.TypeSRV {
		t.Errorf("the question is %v", m)
	}
	m.Response, m.Compress = true, true
	head := func(name string, kind uint16) dns.RR_Header {
		return dns.RR_Header{Name: name, Rrtype: kind, Class: dns.ClassINET}
	}
	for i, host := range []string{"s-00c41f7a.east.hosts.", "s-00c41f7b.west.hosts."} {
		m.Answer = append(
			m.Answer,
			&dns.SRV{Hdr: head(queryName, dns.TypeSRV), Priority: uint16(i), Weight: 40, Port: 5070, Target: host},
		)
		m.Extra = append(m.Extra, &dns.A{Hdr: head(host, dns.TypeA), A: net.IPv4(127, 0, 1, byte(9+i))},
			&dns.TXT{Hdr: head(host, dns.TypeTXT), Txt: []string{"kind=std", "cell=2", "started=1700000000000"}})
	}
	m.Ns = []dns.RR{&dns.SOA{Hdr: head("farm.lan.", dns.TypeSOA), Ns: "ns.farm.lan.", Mbox: "x.farm.lan.", Serial: serial}}
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

// What is no good answer changes nothing, and the next good one counts.
func TestInvalidResponses(t *testing.T) {
	c := New(server, 4, 1)
	now := 0.0
	ask := func() []byte {
		now += queryInterval
		return c.Query(now)
	}
	cut := packResponse(t, ask(), 5, nil)
	for what, b := range map[string][]byte{
		"cut short":    cut[:len(cut)-20],
		"truncated":    packResponse(t, ask(), 5, func(m *dns.Msg) { m.Truncated = true }),
		"failed":       packResponse(t, ask(), 5, func(m *dns.Msg) { m.Rcode = dns.RcodeServerFailure }),
		"another id":   packResponse(t, ask(), 5, func(m *dns.Msg) { m.Id ^= 0x5a5a }),
		"older":        packResponse(t, ask(), 3, nil),
		"no number":    packResponse(t, ask(), 5, func(m *dns.Msg) { m.Ns = nil }),
		"no address":   packResponse(t, ask(), 5, func(m *dns.Msg) { m.Extra = m.Extra[2:] }),
		"a bad cell":   packResponse(t, ask(), 5, func(m *dns.Msg) { m.Extra[1].(*dns.TXT).Txt[1] = "cell=x" }),
		"no answer":    ask(),
		"nothing":      {},
		"another name": packResponse(t, ask(), 5, func(m *dns.Msg) { m.Question[0].Name = "other." }),
	} {
		if list, err := c.HandleResponse(server, b); list != nil || err == nil {
			t.Errorf("%s: %v %v", what, list, err)
		}
	}
	good := packResponse(t, ask(), 5, nil)
	if _, err := c.HandleResponse(netip.MustParseAddrPort("127.0.2.9:5353"), good); !errors.Is(err, ErrUnsolicited) {
		t.Errorf("from elsewhere: %v", err)
	}
	if list, err := c.HandleResponse(server, good); list == nil || err != nil {
		t.Errorf("good: %v %v", list, err)
	}
}

// An answer that is late, to a question before the latest, counts; one of long ago does not.
func TestLateResponses(t *testing.T) {
	c := New(server, 4, 1)
	old := c.Query(0)
	late := c.Query(queryInterval)
	for i := range maxOutstanding - 1 {
		if c.Query(queryInterval*float64(2+i)) == nil {
			t.Fatal("no question is due")
		}
	}
	if list, _ := c.HandleResponse(server, packResponse(t, old, 5, nil)); list != nil {
		t.Error("an answer of long ago counts")
	}
	if list, err := c.HandleResponse(server, packResponse(t, late, 5, nil)); list == nil {
		t.Errorf("late: %v", err)
	}
	if c.Query(c.NextQuery()-1) != nil {
		t.Error("a question before it is due")
	}
}

// Another name server is asked at once; what the old one still says does not count, and the numbers go on.
func TestSetServer(t *testing.T) {
	c := New(server, 4, 1)
	q := c.Query(0)
	other := netip.MustParseAddrPort("127.0.2.2:5353")
	c.SetServer(other)
	if list, _ := c.HandleResponse(server, packResponse(t, q, 9, nil)); list != nil {
		t.Error("the old server counts")
	}
	if list, _ := c.HandleResponse(other, packResponse(t, q, 9, nil)); list != nil {
		t.Error("a question to the old server counts at the new one")
	}
	q = c.Query(1)
	if q == nil {
		t.Fatal("the new server is not asked at once")
	}
	if list, err := c.HandleResponse(other, packResponse(t, q, 3, nil)); list != nil || !errors.Is(err, ErrOutdated) {
		t.Errorf("an older list: %v %v", list, err)
	}
	if list, err := c.HandleResponse(other, packResponse(t, q, 5, nil)); list == nil {
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
			t.Error("a list and a fault")
		}
	})
}
