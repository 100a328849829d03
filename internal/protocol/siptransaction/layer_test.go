package siptransaction

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/emiago/sipgo/sip"
	"pgregory.net/rapid"

	"cobaltpier/internal/timerqueue"
)

var clientAddr, serverAddr = netip.MustParseAddrPort("127.0.0.1:5060"), netip.MustParseAddrPort("127.0.0.2:5060")

// testUser is one end of a lossy link and counts the events of its layer.
type testUser struct {
	layer                           *Layer
	timers                          timerqueue.Queue
	requests, cancels, acks, strays int
	onRequest                       func(s *Server, req *sip.Request)
}

func (u *testUser) OnRequest(s *Server, req *sip.Request) {
	u.requests++
	if u.onRequest != nil {
		u.onRequest(s, req)
	}
}
func (u *testUser) OnCancel(s *Server, req *sip.Request) {
	u.cancels++
	s.Respond(Response(s.Request(), 487, "Request Terminated", "t"))
}
func (u *testUser) OnAck(req *sip.Request)                        { u.acks++ }
func (u *testUser) OnStrayResponse(*sip.Response, netip.AddrPort) { u.strays++ }

type inFlight struct {
	at   float64
	to   *testUser
	from netip.AddrPort
	data []byte
}

// TestLossyWire sends requests over a link that loses, duplicates and delays datagrams. The server's user must get the
// request once, the client's user one kind of final response, and no transaction may be left at the end.
func TestLossyWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := 0.0
		uac, uas := &testUser{}, &testUser{}
		var network []inFlight
		loss := rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss")
		random := &Generator{Seed: uint64(rapid.IntRange(0, 1<<30).Draw(t, "seed"))}
		send := func(from netip.AddrPort, to *testUser) func(netip.AddrPort, []byte) {
			return func(_ netip.AddrPort, data []byte) {
				for range 1 + int(random.Float64()*1.2) {
					if random.Float64() >= loss {
						network = append(network, inFlight{now + 1 + 30*random.Float64(), to, from, data})
					}
				}
			}
		}
		uac.layer = NewLayer(
			clientAddr, TimerValues{100, 800, 500}, &Generator{Seed: 1}, &uac.timers, uac, send(clientAddr, uas),
		)
		uas.layer = NewLayer(
			serverAddr, TimerValues{100, 800, 500}, &Generator{Seed: 2}, &uas.timers, uas, send(serverAddr, uac),
		)
		method := rapid.SampledFrom([]sip.RequestMethod{sip.INVITE, sip.BYE}).Draw(t, "method")
		code := rapid.SampledFrom([]int{200, 486, 503}).Draw(t, "code")
		provisional, cancel := rapid.Bool().Draw(t, "ring"), rapid.Bool().Draw(t, "cancel")
		var server *Server
		uas.onRequest = func(s *Server, req *sip.Request) {
			server = s
			if provisional && method == sip.INVITE {
				s.Respond(Response(req, 180, "Ringing", "t"))
			}
			uas.timers.Schedule(now+150, func() { s.Respond(Response(req, code, "X", "t")) })
		}
		var finals []int
		timedOut := false
		req := sip.NewRequest(method, sip.Uri{Scheme: "sip", Host: "127.0.0.2"})
		id := sip.CallIDHeader("c")
		req.AppendHeader(&sip.FromHeader{Address: req.Recipient, Params: sip.HeaderParams{{K: "tag", V: "f"}}})
		req.AppendHeader(&sip.ToHeader{Address: req.Recipient})
		req.AppendHeader(&id)
		req.AppendHeader(&sip.CSeqHeader{SeqNo: 1, MethodName: method})
		var tx *Client
		tx = uac.layer.Send(req, serverAddr, overloadParams(), func(res *sip.Response) {
			switch {
			case res == nil:
				timedOut = true
			case res.StatusCode >= 200:
				finals = append(finals, res.StatusCode)
				if res.StatusCode < 300 && method == sip.INVITE {
					server.Acknowledge() // stands in for the ACK of a 2xx, which belongs to no transaction
				}
			case cancel:
				tx.Cancel()
			}
		})
		for ; now < 45000; now++ {
			var later []inFlight
			due := network
			network = nil
			for _, f := range due {
				if f.at <= now {
					f.to.layer.Receive(now, f.from, f.data)
				} else {
					later = append(later, f)
				}
			}
			network = append(later, network...)
			uac.layer.Now, uas.layer.Now = now, now
			uac.timers.Run(now)
			uas.timers.Run(now)
		}
		if uas.requests > 1 || uas.cancels > 1 {
			t.Fatalf("want one request and one CANCEL at most, got %d and %d", uas.requests, uas.cancels)
		}
		for _, f := range finals {
			if f != finals[0] {
				t.Fatalf("different final responses %v", finals)
			}
		}
		if len(finals) == 0 && !timedOut || len(finals) > 0 && timedOut {
			t.Fatalf("want either final responses or a timeout, got %v, timed out %v", finals, timedOut)
		}
		if (method != sip.INVITE || len(finals) > 0 && finals[0] >= 300) && len(finals) > 1 {
			t.Fatalf("want one final response, got %v", finals)
		}
		if clients, servers := uac.layer.OpenCounts(); clients+servers != 0 {
			t.Fatalf("the client still holds %d transactions", clients+servers)
		}
		if clients, servers := uas.layer.OpenCounts(); clients+servers != 0 {
			t.Fatalf("the server still holds %d transactions", clients+servers)
		}
	})
}

func overloadParams() sip.HeaderParams {
	return sip.HeaderParams{{K: "oc"}, {K: "oc-algo", V: `"loss,rate"`}}
}

// A quoted value in a Via that contains separators is parsed and written unchanged.
func TestQuotedVia(t *testing.T) {
	text := "OPTIONS sip:a SIP/2.0\r\nVia: SIP/2.0/UDP 1.2.3.4:5060;oc;oc-algo=\"loss,rate;x\";branch=z9hG4bKq, " +
		"SIP/2.0/UDP 5.6.7.8;branch=z9hG4bKr\r\n" +
		"From: <sip:a@b>;tag=1\r\nTo: <sip:a@b>\r\nCall-ID: 1\r\nCSeq: 1 OPTIONS\r\n\r\n"
	m, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	vias := m.(*sip.Request).GetHeaders("via")
	if v, _ := m.Via().Params.Get("oc-algo"); v != `"loss,rate;x"` || len(vias) != 2 {
		t.Errorf("want oc-algo \"loss,rate;x\" in 2 Vias, got %q in %d", v, len(vias))
	}
	if b, _ := m.Via().Params.Get("branch"); b != "z9hG4bKq" ||
		!strings.Contains(m.String(), `oc-algo="loss,rate;x";branch=z9hG4bKq`) {
		t.Errorf("want branch z9hG4bKq, also in the encoded message, got %q of %s", b, m.String())
	}
}

func TestRetryAfter(t *testing.T) {
	for in, want := range map[string]float64{"": 0, "5": 5000, "1;ms=300": 300, " 2 (later);duration=9": 2000,
		"3(soon)": 3000, "-1": 0, "x": 0, "9999999999999": 0} {
		if got := ParseRetryAfter(in); got != want {
			t.Errorf("%q: %v, want %v", in, got, want)
		}
	}
	if s := FormatRetryAfter(300); s != "1;ms=300" || FormatRetryAfter(2000) != "2;ms=2000" {
		t.Errorf("300 ms: %q, want \"1;ms=300\"; or 2000 ms is not \"2;ms=2000\"", s)
	}
}
