package reactor

import (
	"net/netip"
	"testing"
	"time"
)

// Datagrams are exchanged between two sockets, also with an address that has sent none before; an address that is in
// use is reported as such.
func TestUDPSockets(t *testing.T) {
	a, b := netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort("127.71.0.2:19061")
	got := make(chan string, 16)
	s, err := ListenUDP(
		[]netip.AddrPort{b},
		1,
		func(local, from netip.AddrPort, data []byte) { got <- local.String() + " " + string(data) },
	)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, err := ListenUDP([]netip.AddrPort{b}, 1, func(_, _ netip.AddrPort, _ []byte) {}); !IsAddressInUse(err) {
		t.Errorf("address in use: error %v", err)
	}
	c := netip.MustParseAddrPort("127.71.0.3:19061")
	o, err := ListenUDP([]netip.AddrPort{c}, 1, func(_, _ netip.AddrPort, data []byte) { got <- "other " + string(data) })
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	s.Send(b, c, []byte("first"))
	o.Send(c, b, []byte("second"))
	s.Send(a, c, []byte("from nowhere"))
	want := map[string]bool{"other first": true, b.String() + " second": true}
	for range 2 {
		select {
		case g := <-got:
			if !want[g] {
				t.Errorf("got %q", g)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("a datagram did not arrive")
		}
	}
	if s.SendErrors.Load() != 1 {
		t.Errorf("%d lost, want 1: the datagram from an address without a socket", s.SendErrors.Load())
	}
}
