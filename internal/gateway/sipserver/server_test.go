package sipserver

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"google.golang.org/grpc"

	"cobaltpier/api"
	"cobaltpier/internal/gateway/gatewayconfig"
	"cobaltpier/internal/router"
	"cobaltpier/internal/routing"
)

// listServer is an endpoint list server whose updates a test sends.
type listServer struct {
	api.UnimplementedPoolListServer
	mu         sync.Mutex
	requested  []uint64
	updates    chan *api.Update
	disconnect chan struct{}
}

func (l *listServer) Follow(req *api.FollowRequest, stream grpc.ServerStreamingServer[api.Update]) error {
	l.mu.Lock()
	l.requested = append(l.requested, req.Have)
	l.mu.Unlock()
	for {
		select {
		case update := <-l.updates:
			if err := stream.Send(update); err != nil {
				return err
			}
		case <-l.disconnect:
			return fmt.Errorf("stream closed by the test")
		case <-stream.Context().Done():
			return nil
		}
	}
}

func startListServer(t *testing.T) (*listServer, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &listServer{updates: make(chan *api.Update, 16), disconnect: make(chan struct{})}
	s := grpc.NewServer()
	api.RegisterPoolListServer(s, server)
	go func() { _ = s.Serve(l) }() // ends with Stop
	t.Cleanup(s.Stop)
	return server, l.Addr().String()
}

func config(t *testing.T, list string, host byte, drainTimeout, blocks string) *gatewayconfig.Config {
	t.Helper()
	s, err := gatewayconfig.Parse("test", []byte(fmt.Sprintf(`
gateway {
  name = "e"
  sip = "127.72.0.%[1]d:19062"
  peer = "127.72.0.%[1]d:19072"
  trunk_context = "x.example"
  drain_within = %[3]q
}
list {
  addr = %[2]q
}
rules {
  clear_wait = "500ms"
  cold_share = 0.36
  warm_within = "14s"
  tip_multiple = 2.5
  tip_time = "1s"
}
skill "shift-lookup" {
  target = "2s"
  patience = "9s"
}
group "TG-0" {
  pool = 0
  size = 100
}
`, host, list, drainTimeout)+blocks))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func newRouter(s *routing.Settings, h routing.Host) routing.Policy { return router.New(s, h) }

type runResult struct {
	outcome Outcome
	err     error
}

// readMessage returns the next message that has the given prefix and contains the given text.
func readMessage(t *testing.T, c *net.UDPConn, prefix, text string) (string, netip.AddrPort) {
	t.Helper()
	msg, from, ok := readUntil(c, 10*time.Second, prefix, text)
	if !ok {
		t.Fatalf("no message with prefix %q that contains %q", prefix, text)
	}
	return msg, from
}

func readUntil(c *net.UDPConn, wait time.Duration, prefix, text string) (string, netip.AddrPort, bool) {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	b := make([]byte, 1<<16)
	for {
		n, from, err := c.ReadFromUDPAddrPort(b)
		if err != nil {
			return "", from, false
		}
		if m := string(b[:n]); strings.HasPrefix(m, prefix) && strings.Contains(m, text) {
			return m, from, true
		}
	}
}

func headerField(msg, name string) string {
	_, rest, _ := strings.Cut(msg, "\r\n"+name+": ")
	v, _, _ := strings.Cut(rest, "\r\n")
	return v
}

// TestGatewayLifecycle runs a gateway on real sockets. A call is set up at the listed endpoint; the gateway starts to
// drain before the call is answered, passes the answer on, releases the call when the drain timeout is over and exits
// without leaked goroutines. A second stop signal ends the gateway at once.
func TestGatewayLifecycle(t *testing.T) {
	existing := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, existing) }) // runs after the list server has stopped
	discovery, addr := startListServer(t)
	switchConn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.72.0.9:19062")))
	if err != nil {
		t.Fatal(err)
	}
	defer switchConn.Close()
	callerConn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.72.0.8:19062")))
	if err != nil {
		t.Fatal(err)
	}
	defer callerConn.Close()
	discovery.updates <- &api.Update{Version: 3, Whole: true, Members: []*api.Member{{Id: "m",
		State: api.State_READY, AgeMs: -1, Addr: "127.72.0.9:19062"}}}
	cfg := config(t, addr, 1, "200ms", "")
	stop, results := make(chan struct{}, 4), make(chan runResult, 1)
	go func() {
		outcome, err := Run(context.Background(), cfg, newRouter, zerolog.Nop(), stop)
		results <- runResult{outcome, err}
	}()
	invite := func(id string) {
		_, _ = callerConn.WriteToUDPAddrPort(
			[]byte(
				strings.ReplaceAll(
					"INVITE sip:+1418;tgrp=TG-0@127.72.0.1 SIP/2.0\nVia: SIP/2.0/UDP 127.72.0.8:19062;rport;branch=z9hG4bK"+id+
						"\nFrom: <sip:a@b>;tag="+id+"\nTo: <sip:c@d>\nCall-ID: "+id+
						"\nCSeq: 1 INVITE\nContact: <sip:127.72.0.8:19062>\nExpires: 9\nContent-Length: 0\n\n",
					"\n",
					"\r\n",
				),
			),
			cfg.Address,
		)
	}
	// Repeats the call until it reaches the switch: calls are refused until the endpoint list has arrived.
	callSwitch := func(id string) (string, netip.AddrPort) {
		for i := range 60 {
			invite(fmt.Sprint(id, i))
			if msg, from, ok := readUntil(switchConn, 200*time.Millisecond, "INVITE", ""); ok {
				return msg, from
			}
		}
		t.Fatal("no call reaches the switch")
		return "", netip.AddrPort{}
	}
	msg, from := callSwitch("one")
	stop <- struct{}{}
	time.Sleep(50 * time.Millisecond)
	invite("two")
	readMessage(t, callerConn, "SIP/2.0 503", "Call-ID: two")
	_, _ = switchConn.WriteToUDPAddrPort(
		[]byte(
			"SIP/2.0 200 OK\r\nVia: "+headerField(msg, "Via")+"\r\nFrom: "+headerField(msg, "From")+"\r\nTo: "+
				headerField(msg, "To")+
				";tag=s\r\nCall-ID: "+
				headerField(
					msg,
					"Call-ID",
				)+"\r\nCSeq: 1 INVITE\r\nContact: <sip:127.72.0.9:19062>\r\nContent-Length: 0\r\n\r\n",
		),
		from,
	)
	readMessage(t, switchConn, "ACK", "")
	readMessage(t, callerConn, "SIP/2.0 200", "")
	readMessage(t, callerConn, "BYE", "") // its drain timeout has passed
	readMessage(t, switchConn, "BYE", "")
	select {
	case result := <-results:
		if result.outcome != Drained || result.err != nil {
			t.Errorf("want Drained without an error, got %v, %v", result.outcome, result.err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the gateway does not end")
	}
	// a second stop signal
	cfg = config(t, addr, 1, "60s", "")
	discovery.updates <- &api.Update{Version: 3, Whole: true, Members: []*api.Member{{Id: "m",
		State: api.State_READY, AgeMs: -1, Addr: "127.72.0.9:19062"}}}
	go func() {
		outcome, err := Run(context.Background(), cfg, newRouter, zerolog.Nop(), stop)
		results <- runResult{outcome, err}
	}()
	callSwitch("three")
	if _, err := Run(
		context.Background(),
		cfg,
		newRouter,
		zerolog.Nop(),
		nil,
	); err == nil ||
		!strings.Contains(err.Error(), "another program has the address") {
		t.Errorf("address in use: want an error that says so, got %v", err)
	}
	stop <- struct{}{}
	stop <- struct{}{}
	if result := <-results; result.outcome != Forced || result.err != nil {
		t.Errorf("two stop signals: want Forced without an error, got %v, %v", result.outcome, result.err)
	}
}

// TestEndpointListReconnect cuts the stream of the endpoint list: the gateway reconnects with the version that it has,
// and asks for the whole list after a gap in the versions.
func TestEndpointListReconnect(t *testing.T) {
	discovery, addr := startListServer(t)
	cfg := config(t, addr, 2, "0s", "")
	stop, results := make(chan struct{}, 4), make(chan runResult, 1)
	go func() {
		outcome, err := Run(context.Background(), cfg, newRouter, zerolog.Nop(), stop)
		results <- runResult{outcome, err}
	}()
	discovery.updates <- &api.Update{Version: 7, Whole: true, Members: []*api.Member{{Id: "m",
		State: api.State_READY, AgeMs: -1, Addr: "127.72.0.9:19062"}}}
	discovery.updates <- &api.Update{Version: 8, Members: []*api.Member{{Id: "m", State: api.State_DRAINING, AgeMs: -1,
		Addr: "127.72.0.9:19062"}}}
	for len(discovery.updates) > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond) // for the gRPC stream to deliver them
	wait := func(n int) []uint64 {
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			discovery.mu.Lock()
			if len(discovery.requested) >= n {
				defer discovery.mu.Unlock()
				return discovery.requested
			}
			discovery.mu.Unlock()
		}
		t.Fatal("the gateway does not reconnect")
		return nil
	}
	discovery.disconnect <- struct{}{}
	if a := wait(2); a[0] != 0 || a[1] != 8 {
		t.Errorf("requested with versions %v, want 0 and 8", a)
	}
	// 9 and 10 are missing
	discovery.updates <- &api.Update{Version: 11, Members: []*api.Member{{Id: "m", State: api.State_GONE}}}
	if a := wait(3); a[2] != 0 {
		t.Errorf("requested with versions %v, want 0 (the whole list) after a gap", a)
	}
	stop <- struct{}{}
	if result := <-results; result.outcome != Drained {
		t.Errorf("ended with outcome %v, want Drained", result.outcome)
	}
}
