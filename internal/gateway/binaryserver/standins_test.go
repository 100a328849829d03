package binaryserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/miekg/dns"
	"github.com/rs/zerolog"

	"cobaltpier/internal/gateway/binaryconfig"
	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/router"
	"cobaltpier/internal/routing"
)

// testEndpoint is a stand-in of a core switch on TCP.
type testEndpoint struct {
	t    *testing.T
	id   string
	l    net.Listener
	mu   sync.Mutex
	cons map[net.Conn]func(kind byte, id uint64, of ...binarymessage.Param)
	owed []uint64 // releases for the next connection
	open map[uint64]bool
	got  int
	// does, where it is set, says what becomes of the n-th setup: "", reset, noise, full, never, half, deaf
	does func(n int) string
	hold time.Duration
	all  sync.WaitGroup
}

func newTestEndpoint(t *testing.T, id string) *testEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &testEndpoint{
		t:    t,
		id:   id,
		l:    l,
		cons: map[net.Conn]func(byte, uint64, ...binarymessage.Param){},
		open: map[uint64]bool{},
		hold: 50 * time.Millisecond,
	}
	c.all.Add(1)
	go func() {
		defer c.all.Done()
		for {
			n, err := l.Accept()
			if err != nil {
				return
			}
			c.all.Add(1)
			go c.serve(n)
		}
	}()
	t.Cleanup(c.close)
	return c
}

func (c *testEndpoint) close() {
	c.l.Close()
	c.mu.Lock()
	for n := range c.cons {
		n.Close()
	}
	c.mu.Unlock()
	c.all.Wait()
}

func (c *testEndpoint) serve(n net.Conn) {
	defer c.all.Done()
	defer n.Close()
	var mu sync.Mutex
	say := func(kind byte, id uint64, of ...binarymessage.Param) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = n.Write(binarymessage.Append(nil, kind, id, of...))
	}
	load := binarymessage.TextParam(binarymessage.Report, "free:300;size:400;busy:0.3;q:1")
	say(binarymessage.LoadState, 0, load)
	c.mu.Lock()
	c.cons[n] = say
	owed := c.owed
	c.owed = nil
	c.mu.Unlock()
	for _, id := range owed {
		say(binarymessage.Release, id, binarymessage.CauseParam(binarymessage.Normal))
	}
	defer func() {
		c.mu.Lock()
		delete(c.cons, n)
		c.mu.Unlock()
	}()
	var r binarymessage.Reader
	b := make([]byte, 4096)
	for {
		k, err := n.Read(b)
		if err != nil {
			return
		}
		if err := r.Feed(b[:k], func(m binarymessage.Message) bool {
			id := m.Call()
			if m.Type() == binarymessage.Release {
				c.mu.Lock()
				delete(c.open, id)
				c.mu.Unlock()
				return true
			}
			if m.Type() != binarymessage.Setup {
				return true
			}
			c.mu.Lock()
			c.got++
			what := ""
			if c.does != nil {
				what = c.does(c.got)
			}
			c.open[id] = true
			c.mu.Unlock()
			switch what {
			case "reset":
				_ = n.(*net.TCPConn).SetLinger(0)
				n.Close()
			case "noise":
				mu.Lock()
				_, _ = n.Write([]byte("\xff\xff\xff no message at all"))
				mu.Unlock()
			case "half":
				mu.Lock()
				_, _ = n.Write(
					binarymessage.Append(nil, binarymessage.Answer, id, binarymessage.TextParam(binarymessage.Description,
						"answer"))[:9],
				)
				mu.Unlock()
				n.Close()
			case "full":
				say(
					binarymessage.Release,
					id,
					binarymessage.CauseParam(binarymessage.NoCircuit),
					binarymessage.TextParam(binarymessage.Note, "cpu_full"),
					load,
				)
			case "never":
			default:
				say(binarymessage.Answer, id, binarymessage.TextParam(binarymessage.Description, "answer of "+c.id), load)
				time.AfterFunc(c.hold, func() {
					c.mu.Lock()
					defer c.mu.Unlock()
					if !c.open[id] {
						return
					}
					delete(c.open, id)
					on := c.cons[n]
					for _, other := range c.cons {
						if on == nil {
							on = other
						}
					}
					// as a real one does: also on the next connection, for the gateway may just have closed the one at hand
					c.owed = append(c.owed, id)
					if on != nil {
						on(binarymessage.Release, id, binarymessage.CauseParam(binarymessage.Normal), load)
					}
				})
			}
			return true
		}); err != nil {
			c.t.Errorf("switch %s was sent what is no message: %v", c.id, err)
			return
		}
	}
}

func (c *testEndpoint) addr() netip.AddrPort { return netip.MustParseAddrPort(c.l.Addr().String()) }

// testNameServer is a stand-in of a name server.
type testNameServer struct {
	c      *net.UDPConn
	mu     sync.Mutex
	serial uint32
	list   map[*testEndpoint]uint16 // and their priorities
	asked  int
	silent bool
	done   chan struct{}
}

func newTestNameServer(t *testing.T, serial uint32, of ...*testEndpoint) *testNameServer {
	t.Helper()
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	n := &testNameServer{c: c, serial: serial, list: map[*testEndpoint]uint16{}, done: make(chan struct{})}
	for _, s := range of {
		n.list[s] = 0
	}
	go n.serve()
	t.Cleanup(func() {
		c.Close()
		<-n.done
	})
	return n
}

func (n *testNameServer) addr() string { return n.c.LocalAddr().String() }

func (n *testNameServer) serve() {
	defer close(n.done)
	b := make([]byte, 1500)
	for {
		k, from, err := n.c.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		m := &dns.Msg{}
		if m.Unpack(b[:k]) != nil || len(m.Question) != 1 {
			continue
		}
		n.mu.Lock()
		n.asked++
		m.Response, m.Compress = true, true
		q := m.Question[0].Name
		for s, priority := range n.list {
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
			_, _ = n.c.WriteToUDPAddrPort(out, from)
		}
	}
}

// setPriorities changes the list.
func (n *testNameServer) setPriorities(change func(map[*testEndpoint]uint16)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n.list)
	n.serial++
}

// testServer is a gateway that a test runs.
type testServer struct {
	*testing.T
	addr    string
	file    string
	doc     map[string]any
	signals chan Signal
	ended   chan error
	cancel  context.CancelFunc
}

func freePort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newTestServer(t *testing.T, ns *testNameServer, of ...*testEndpoint) *testServer {
	t.Helper()
	return startTestServer(
		t,
		ns,
		func(set *routing.Settings, h routing.Host) routing.Policy { return router.New(set, h) },
		func(map[string]any) {},
		of...)
}

func startTestServer(
	t *testing.T,
	ns *testNameServer,
	mk routing.PolicyFactory,
	change func(map[string]any),
	of ...*testEndpoint,
) *testServer {
	t.Helper()
	s := &testServer{
		T:       t,
		addr:    freePort(t),
		file:    filepath.Join(t.TempDir(), "config.json"),
		signals: make(chan Signal, 4),
		ended:   make(chan error, 1),
	}
	var targets []map[string]any
	for _, c := range of {
		targets = append(
			targets,
			map[string]any{
				"uid":       c.id,
				"endpoint":  c.addr().String(),
				"pod_group": int(c.id[len(c.id)-1] - '0'),
				"state":     "ready",
			},
		)
	}
	s.doc = map[string]any{
		"name":       "n0",
		"listen":     s.addr,
		"seed":       "8c1f30d27a5be964",
		"nameserver": ns.addr(),
		"limits":     map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256},
		"known": map[string]any{
			"no":    1,
			"items": []any{map[string]any{"no": 1, "roster": map[string]any{"all": true, "targets": targets}}},
		},
		"settings": json.RawMessage(
			`{"allowed":{"cancel":true,"retryAfter":true,"maxRetryAfter":2000,"maxAttempts":5,"connectTimeout":300},` +
				`"balancers":1,"me":0,"familyInfo":{"callLength":[50],"clearWait":100,"retransmit":200},` +
				`"lanes":[{"name":"voice","aim":1000,"hardLimit":2000,"lateWorth":0.1,"worth":1}],` +
				`"rules":{"answerSlack":5,"coldShare":0.4,"warmWithin":1000,"tipMultiple":2.5,"fall":1000},` +
				`"stats":{"fields":["free","size","busy","q"],"how":"inline"}}`,
		),
	}
	change(s.doc)
	s.write()
	cfg, err := binaryconfig.Load(s.file)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go func() {
		s.ended <- Run(ctx, s.file, cfg, mk, zerolog.Nop(), s.signals)
	}()
	t.Cleanup(func() {
		cancel()
		select {
		case err := <-s.ended:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(5 * time.Second):
			t.Error("the gateway does not end")
		}
	})
	return s
}

func (s *testServer) write() {
	b, err := json.Marshal(s.doc)
	if err == nil {
		err = os.WriteFile(s.file, b, 0o600)
	}
	if err != nil {
		s.Fatal(err)
	}
}

// testClient is one connection of a caller.
type testClient struct {
	t    *testing.T
	c    net.Conn
	r    binarymessage.Reader
	got  map[uint64][]binarymessage.Message
	open bool
}

func (s *testServer) dial() *testClient {
	s.Helper()
	for range 100 {
		c, err := net.Dial("tcp", s.addr)
		if err == nil {
			s.Cleanup(func() { c.Close() })
			return &testClient{t: s.T, c: c, got: map[uint64][]binarymessage.Message{}, open: true}
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.Fatal("the gateway does not listen")
	return nil
}

// setupMessage is a caller's setup.
func setupMessage(id uint64, of ...binarymessage.Param) []byte {
	return binarymessage.Append(
		nil,
		binarymessage.Setup,
		id,
		append([]binarymessage.Param{
			binarymessage.TextParam(binarymessage.Class, "voice"),
			binarymessage.TextParam(binarymessage.Timeout, "1500"),
			binarymessage.TextParam(binarymessage.Number, fmt.Sprintf("%x", id)),
			binarymessage.TextParam(binarymessage.Figures, fmt.Sprintf("dest:%d;width:1;via:-1", id%2)),
			binarymessage.TextParam(binarymessage.Description, "offer"),
		}, of...)...)
}

// waitFor reads until enough says so, or for a time.
func (p *testClient) waitFor(within time.Duration, enough func() bool) bool {
	b := make([]byte, 4096)
	for end := time.Now().Add(within); p.open && !enough() && time.Now().Before(end); {
		_ = p.c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		n, err := p.c.Read(b)
		if ferr := p.r.Feed(b[:n], func(m binarymessage.Message) bool {
			p.got[m.Call()] = append(p.got[m.Call()], append(binarymessage.Message(nil), m...))
			return true
		}); ferr != nil {
			p.t.Errorf("the caller was sent what is no message: %v", ferr)
		}
		var netErr net.Error
		if err != nil && (!errors.As(err, &netErr) || !netErr.Timeout()) {
			p.open = false
		}
	}
	return enough()
}

// waitUntilReady waits for the gateway to pass a test.
func (p *testClient) waitUntilReady() {
	p.t.Helper()
	_, _ = p.c.Write(binarymessage.Append(nil, binarymessage.HealthCheck, 9, binarymessage.CauseParam(0)))
	if !p.waitFor(3*time.Second, func() bool { return len(p.got[9]) > 0 }) ||
		p.got[9][0].Type() != binarymessage.HealthResult ||
		p.got[9][0].Cause() != 1 {
		p.t.Fatalf("the test was answered with %x", p.got[9])
	}
	delete(p.got, 9)
}

// countFinals are a call's final answers, and whether it was released after it stood.
func countFinals(of []binarymessage.Message) (answers, refusals, releases int) {
	for _, m := range of {
		switch {
		case m.Type() == binarymessage.Answer:
			answers++
		case m.Type() == binarymessage.Release && answers > 0:
			releases++
		case m.Type() == binarymessage.Release:
			refusals++
		}
	}
	return
}
