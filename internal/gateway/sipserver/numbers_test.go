package sipserver

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"cobaltpier/api"
	"cobaltpier/internal/decision/enum"
	"cobaltpier/internal/decision/numberplan"
	"cobaltpier/internal/emulator/dnsserver"
	"cobaltpier/internal/gateway/gatewayconfig"
	"cobaltpier/internal/gateway/tablestore"
)

const numberTable = `
name    = "t"
version = %d
country = "1"
route "r" {
  group %q {
  }
}
plan "start" {
  rule "1418" {
    add = "%d"
    strip = 1
    portability {
      ported {
        route = "r"
      }
      same {
        refuse = "not ported"
      }
      silent {
        refuse = "no answer"
        code   = 504
      }
    }
  }
}
`

// newNumbersClient returns a client of a gateway's number table service, on a connection of its own.
func newNumbersClient(t *testing.T, address string) api.NumbersClient {
	t.Helper()
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return api.NewNumbersClient(conn)
}

// TestNumberTablesInService runs a gateway with number tables on real sockets: portability by DNS, over TCP where the
// datagram is truncated; a table is put in service, another is refused, the gateway restarts with the running table and
// goes back to the one before.
func TestNumberTablesInService(t *testing.T) {
	existing := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, existing) })
	discovery, list := startListServer(t)
	switchConn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.72.0.19:19062")))
	if err != nil {
		t.Fatal(err)
	}
	defer switchConn.Close()
	callerConn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.72.0.18:19062")))
	if err != nil {
		t.Fatal(err)
	}
	defer callerConn.Close()
	zone := &dnsserver.Zone{Apex: "e164.test.", Seed: 1, Ported: 1, TTL: 60, Routes: []string{"+15145550000"}}
	server, err := dnsserver.Serve(
		&dnsserver.Server{Zone: zone, Faults: dnsserver.Faults{Truncated: 1}},
		netip.MustParseAddrPort("127.72.0.20:0"),
	)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	dir := t.TempDir()
	tableFile := func(version int, group string) string {
		f := filepath.Join(dir, fmt.Sprintf("t%d%s.hcl", version, group))
		if err := os.WriteFile(f, []byte(fmt.Sprintf(numberTable, version, group, 70+version)), 0o600); err != nil {
			t.Fatal(err)
		}
		return f
	}
	packed := func(file string) []byte {
		_, form, err := tablestore.Load(file)
		if err != nil {
			t.Fatal(err)
		}
		b, err := numberplan.Pack(form)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	admin := "127.72.0.11:19092"
	newConfig := func() *gatewayconfig.Config {
		return config(t, list, 11, "0s", fmt.Sprintf(`
numbers {
  table = %q
  store = %q
  admin = %q
}
enum {
  apex = "e164.test"
  servers = [%q]
}
front {
  listen = "127.72.0.11:19093"
  apex = "kiosk.test"
  client "127.0.0.0/8" {
    rate = 1000
  }
}
`, tableFile(1, "TG-0"), filepath.Join(dir, "store"), admin, server.Addr()))
	}
	stop, results := make(chan struct{}, 4), make(chan runResult, 1)
	run := func() {
		discovery.updates <- &api.Update{Version: 3, Whole: true, Members: []*api.Member{{Id: "m",
			State: api.State_READY, AgeMs: -1, Addr: "127.72.0.19:19062"}}}
		go func() {
			outcome, err := Run(context.Background(), newConfig(), newRouter, zerolog.Nop(), stop)
			results <- runResult{outcome, err}
		}()
	}
	calls := 0
	// call places calls until one whose request URI has the given prefix reaches the switch.
	call := func(prefix string) {
		t.Helper()
		for range 60 {
			calls++
			id := fmt.Sprint("n", calls)
			_, _ = callerConn.WriteToUDPAddrPort(
				[]byte(
					strings.ReplaceAll(
						"INVITE sip:+1418555"+id[1:]+"@127.72.0.11 SIP/2.0\nVia: SIP/2.0/UDP 127.72.0.18:19062;rport;branch=z9hG4bK"+id+
							"\nFrom: <sip:a@b>;tag="+id+"\nTo: <sip:c@d>\nCall-ID: "+id+
							"\nCSeq: 1 INVITE\nContact: <sip:127.72.0.18:19062>\nExpires: 1\nContent-Length: 0\n\n",
						"\n",
						"\r\n",
					),
				),
				netip.MustParseAddrPort("127.72.0.11:19062"),
			)
			if _, _, ok := readUntil(switchConn, 300*time.Millisecond, "INVITE "+prefix, ";npdi;rn=+15145550000;"); ok {
				return
			}
		}
		t.Fatalf("no call to %s reaches the switch", prefix)
	}
	run()
	call("sip:+71418555")
	lookUp := func(net string, number int) *dns.Msg {
		t.Helper()
		m := new(dns.Msg)
		d, _ := enum.Domain(fmt.Sprint(number), "kiosk.test")
		m.SetQuestion(d, dns.TypeNAPTR)
		m.SetEdns0(1232, false)
		out, _, err := (&dns.Client{Net: net, Timeout: 5 * time.Second}).Exchange(m, "127.72.0.11:19093")
		if err != nil {
			t.Fatal(err)
		}
		return out
	}
	for i, net := range []string{"udp", "tcp", "udp"} {
		var m *dns.Msg
		for range 100 { // the switch answers no call here, so the policy may defer look-ups
			if m = lookUp(net, 14185550100+i); len(m.Answer) > 0 {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		if len(m.Answer) != 1 ||
			!strings.Contains(
				m.Answer[0].String(),
				";npdi;rn=+15145550000;tgrp=TG-0;trunk-context=x.example@127.72.0.19:19062!",
			) {
			t.Errorf("look-up over %s: %v", net, m)
		}
	}
	// with the country code in front of it, a rule would match
	if m := lookUp("udp", 418555); m.Rcode != dns.RcodeNameError {
		t.Errorf("number of another country: want NXDOMAIN, got %v", m)
	}
	if m := lookUp("udp", 33123); m.Rcode != dns.RcodeNameError {
		t.Errorf("number without a rule: want NXDOMAIN, got %v", m)
	}
	client, ctx := newNumbersClient(t, admin), context.Background()
	if _, err := client.Put(ctx, &api.PutTable{Table: packed(tableFile(2, "TG-9"))}); err == nil ||
		!strings.Contains(err.Error(), `trunk group "TG-9"`) {
		t.Errorf("table with an unknown trunk group: want an error that names it, got %v", err)
	}
	call("sip:+71418555")
	state, err := client.Put(ctx, &api.PutTable{Table: packed(tableFile(2, "TG-0")), Note: "two"})
	if err != nil || state.Running.Version != 2 || len(state.Kept) != 2 || state.Kept[0].Note != "two" {
		t.Fatalf("want version 2 running and 2 tables kept, got %v, %v", state, err)
	}
	call("sip:+72418555")
	explained, err := client.Explain(ctx, &api.ExplainRequest{Number: "+14185550000", Ported: "+1514"})
	if err != nil || !strings.Contains(strings.Join(explained.Steps, "\n"), "ported: 1514") {
		t.Errorf("want steps with \"ported: 1514\", got %v, %v", explained, err)
	}
	stop <- struct{}{}
	if result := <-results; result.err != nil || result.outcome != Drained {
		t.Fatalf("want Drained without an error, got %v, %v", result.outcome, result.err)
	}
	run() // runs the table that the store names as running, not the one of the configuration
	call("sip:+72418555")
	client = newNumbersClient(t, admin) // a call on a connection to the process before would fail with it
	if state, err = client.Back(ctx, &api.BackRequest{}, grpc.WaitForReady(true)); err != nil ||
		state.Running.Version != 1 {
		t.Fatalf("want version 1 running, got %v, %v", state, err)
	}
	call("sip:+71418555")
	if _, err = client.Back(ctx, &api.BackRequest{}); err == nil || !strings.Contains(err.Error(), "no table before") {
		t.Errorf("going back from the first table: want the error \"no table before\", got %v", err)
	}
	server.Change(func(s *dnsserver.Server) { s.Faults = dnsserver.Faults{Silent: true} })
	_, _ = callerConn.WriteToUDPAddrPort(
		[]byte(
			strings.ReplaceAll(
				"INVITE sip:+14189999999@127.72.0.11 SIP/2.0\nVia: SIP/2.0/UDP 127.72.0.18:19062;rport;branch=z9hG4bKlast"+
					"\nFrom: <sip:a@b>;tag=l\nTo: <sip:c@d>\nCall-ID: last\nCSeq: 1 INVITE\nContact: <sip:127.72.0.18:19062>\n"+
					"Expires: 9\nContent-Length: 0\n\n",
				"\n",
				"\r\n",
			),
		),
		netip.MustParseAddrPort("127.72.0.11:19062"),
	)
	if _, _, ok := readUntil(callerConn, 10*time.Second, "SIP/2.0 504 no answer", "Call-ID: last"); !ok {
		t.Error("a call whose look-up got no answer is not refused as the table says")
	}
	stop <- struct{}{}
	if result := <-results; result.err != nil || result.outcome != Drained {
		t.Errorf("want Drained without an error, got %v, %v", result.outcome, result.err)
	}
}
