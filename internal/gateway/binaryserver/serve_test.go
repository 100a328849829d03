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
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/miekg/dns"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"cobaltpier/internal/detrand"
	"cobaltpier/internal/gateway/binaryconfig"
	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/router"
	"cobaltpier/internal/routing"
)

// core is a stand-in of a core switch on TCP.
type core struct {
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

func newCore(t *testing.T, id string) *core {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &core{
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

func (c *core) close() {
	c.l.Close()
	c.mu.Lock()
	for n := range c.cons {
		n.Close()
	}
	c.mu.Unlock()
	c.all.Wait()
}

func (c *core) serve(n net.Conn) {
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

func (c *core) addr() netip.AddrPort { return netip.MustParseAddrPort(c.l.Addr().String()) }

// names is a stand-in of a name server.
type names struct {
	c      *net.UDPConn
	mu     sync.Mutex
	serial uint32
	list   map[*core]uint16 // and their priorities
	asked  int
	silent bool
	done   chan struct{}
}

func newNames(t *testing.T, serial uint32, of ...*core) *names {
	t.Helper()
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	n := &names{c: c, serial: serial, list: map[*core]uint16{}, done: make(chan struct{})}
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

func (n *names) addr() string { return n.c.LocalAddr().String() }

func (n *names) serve() {
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

// tell changes the list.
func (n *names) tell(change func(map[*core]uint16)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n.list)
	n.serial++
}

// station is a gateway that a test runs.
type station struct {
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

func newStation(t *testing.T, ns *names, of ...*core) *station {
	t.Helper()
	return startStation(
		t,
		ns,
		func(set *routing.Settings, h routing.Host) routing.Policy { return router.New(set, h) },
		func(map[string]any) {},
		of...)
}

func startStation(
	t *testing.T,
	ns *names,
	mk routing.PolicyFactory,
	change func(map[string]any),
	of ...*core,
) *station {
	t.Helper()
	s := &station{
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
			`{"allowed":{"cancel":true,"retryAfter":true,"maxRetryAfter":2000,"maxAttempts":5,"connectTimeout":300},"balancers":1,"me":0,"familyInfo":{"callLength":[50],"clearWait":100,"retransmit":200},"lanes":[{"name":"voice","aim":1000,"hardLimit":2000,"lateWorth":0.1,"worth":1}],"rules":{"answerSlack":5,"coldShare":0.4,"warmWithin":1000,"tipMultiple":2.5,"fall":1000},"stats":{"fields":["free","size","busy","q"],"how":"inline"}}`,
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

func (s *station) write() {
	b, err := json.Marshal(s.doc)
	if err == nil {
		err = os.WriteFile(s.file, b, 0o600)
	}
	if err != nil {
		s.Fatal(err)
	}
}

// phone is one connection of a caller.
type phone struct {
	t    *testing.T
	c    net.Conn
	r    binarymessage.Reader
	got  map[uint64][]binarymessage.Message
	open bool
}

func (s *station) dial() *phone {
	s.Helper()
	for range 100 {
		c, err := net.Dial("tcp", s.addr)
		if err == nil {
			s.Cleanup(func() { c.Close() })
			return &phone{t: s.T, c: c, got: map[uint64][]binarymessage.Message{}, open: true}
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.Fatal("the gateway does not listen")
	return nil
}

// ask is a caller's setup.
func ask(id uint64, of ...binarymessage.Param) []byte {
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

// hear reads until enough says so, or for a time.
func (p *phone) hear(within time.Duration, enough func() bool) bool {
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

// ready waits for the gateway to pass a test.
func (p *phone) ready() {
	p.t.Helper()
	_, _ = p.c.Write(binarymessage.Append(nil, binarymessage.HealthCheck, 9, binarymessage.CauseParam(0)))
	if !p.hear(3*time.Second, func() bool { return len(p.got[9]) > 0 }) ||
		p.got[9][0].Type() != binarymessage.HealthResult ||
		p.got[9][0].Cause() != 1 {
		p.t.Fatalf("the test was answered with %x", p.got[9])
	}
	delete(p.got, 9)
}

// finals are a call's final answers, and whether it was released after it stood.
func finals(of []binarymessage.Message) (answers, refusals, releases int) {
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

// Calls pass over real sockets while lines break in every way: each has one final answer, and what stood is released.
func TestCallsInTrouble(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreTopFunction("github.com/lesismal/nbio/timer.(*Timer).Start.func1"))
	t.Run("trouble", func(t *testing.T) {
		a, b := newCore(t, "s-0"), newCore(t, "s-1")
		faults := []string{"", "reset", "noise", "full", "never", "half"}
		for i, c := range []*core{a, b} {
			c.does = func(n int) string {
				if x := int(detrand.Float64(uint64(i), uint64(n)) * 40); x < len(faults) {
					return faults[x]
				}
				return ""
			}
		}
		s := newStation(t, newNames(t, 1, a, b), a, b)
		p := s.dial()
		p.ready()
		const calls = 300
		var wire []byte
		for i := range uint64(calls) {
			wire = append(wire, ask(i+1000)...)
		}
		go func() {
			for seed := uint64(0); len(wire) > 0; seed++ { // in pieces that end anywhere
				n := min(len(wire), 1+int(detrand.Float64(7, seed)*700))
				if _, err := p.c.Write(wire[:n]); err != nil {
					return
				}
				wire = wire[n:]
				time.Sleep(20 * time.Millisecond)
			}
		}()
		done := func() bool {
			n := 0
			for _, of := range p.got {
				if answers, refusals, releases := finals(of); refusals > 0 || answers > 0 && releases > 0 {
					n++
				}
			}
			return n >= calls
		}
		p.hear(20*time.Second, done)
		stood := 0
		for i := range uint64(calls) {
			answers, refusals, releases := finals(p.got[i+1000])
			if answers+refusals != 1 || releases != answers {
				t.Errorf("call %d: %d answers, %d refusals, %d releases", i, answers, refusals, releases)
			}
			stood += answers
		}
		if stood < calls/2 {
			t.Errorf("only %d of %d calls stood", stood, calls)
		}
	})
}

// Callers that send what can't be used get a refusal or a close soon, and usual ones do not notice.
func TestRudeCallers(t *testing.T) {
	a, b := newCore(t, "s-0"), newCore(t, "s-1")
	s := newStation(t, newNames(t, 1, a, b), a, b)
	usual := s.dial()
	usual.ready()
	big := make([]byte, 1<<20)
	for i := range big {
		big[i] = 0x7f
	}
	odd := func(id uint64, of ...binarymessage.Param) []byte {
		return binarymessage.Append(nil, binarymessage.Setup, id, of...)
	}
	class, wait, number := binarymessage.TextParam(binarymessage.Class, "voice"),
		binarymessage.TextParam(binarymessage.Timeout, "900"), binarymessage.TextParam(binarymessage.Number, "1")
	for what, wire := range map[string][]byte{
		"no message":         []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"nothing":            nil,
		"half a message":     ask(77)[:20],
		"length nought":      {0, 0, 0, 0},
		"60 MB":              big,
		"class unknown":      odd(1<<41+1, binarymessage.TextParam(binarymessage.Class, "video"), wait, number),
		"no class":           odd(1<<41+2, wait, number),
		"patience no figure": odd(1<<41+3, class, binarymessage.TextParam(binarymessage.Timeout, "soon"), number),
		"patience below 0":   odd(1<<41+4, class, binarymessage.TextParam(binarymessage.Timeout, "-5"), number),
		"patience endless":   odd(1<<41+5, class, binarymessage.TextParam(binarymessage.Timeout, "1e300"), number),
		"no number":          odd(1<<41+6, class, wait),
		"figures too large": odd(1<<41+7, class, wait, number, binarymessage.TextParam(binarymessage.Figures,
			"dest:99999999999999999999")),
		"figures no number": odd(1<<41+8, class, wait, number, binarymessage.TextParam(binarymessage.Figures, "width:many")),
		"no id":             odd(0, class, wait, number),
		"unknown switch": odd(1<<41+9, class, wait, number, binarymessage.TextParam(binarymessage.Figures,
			"at:s-nowhere")),
		"one id twice": append(ask(1<<41+10), ask(1<<41+10, binarymessage.TextParam(binarymessage.Note, "x"))...),
		"odd type":     binarymessage.Append(nil, 200, 5),
	} {
		t.Run(what, func(t *testing.T) {
			p := s.dial()
			go func() { // at full speed, and nobody cares whether it arrives
				for range 60 {
					if _, err := p.c.Write(wire); err != nil || len(wire) < len(big) {
						return
					}
				}
			}()
			over := func() bool { return !p.open || len(p.got) > 0 }
			if !p.hear(3*time.Second, over) {
				t.Error("neither an answer nor a close")
			}
			for _, of := range p.got {
				if answers, _, _ := finals(of); answers > 0 {
					t.Error("served")
				}
			}
		})
		id := uint64(len(what)) + 5000 + detrand.Hash(uint64(len(wire)))%1000
		_, _ = usual.c.Write(ask(id))
		if !usual.hear(2*time.Second, func() bool { return len(usual.got[id]) > 0 }) ||
			usual.got[id][0].Type() != binarymessage.Answer {
			t.Errorf("%s: a usual caller got %x", what, usual.got[id])
		}
	}
}

// Hundreds of setups at once, or taken back at once, or again as soon as they are rejected: each has one answer or none
// is owed, and a usual caller has its own in time.
func TestFloods(t *testing.T) {
	a, b := newCore(t, "s-0"), newCore(t, "s-1")
	s := newStation(t, newNames(t, 1, a, b), a, b)
	usual := s.dial()
	usual.ready()
	const many = 400
	for round, back := range []bool{false, true} {
		p := s.dial()
		var wire []byte
		first := uint64(round+1) << 40
		for i := range uint64(many) {
			wire = append(wire, ask(first+i)...)
			if back {
				wire = append(
					wire,
					binarymessage.Append(nil, binarymessage.Release, first+i, binarymessage.CauseParam(binarymessage.Normal))...)
			}
		}
		go func() { _, _ = p.c.Write(wire) }()
		time.Sleep(20 * time.Millisecond)
		id := uint64(9000 + round)
		_, _ = usual.c.Write(ask(id))
		if !usual.hear(1600*time.Millisecond, func() bool { return len(usual.got[id]) > 0 }) {
			t.Errorf("taken back %v: a usual caller has no answer", back)
		}
		p.hear(3*time.Second, func() bool { return !back && len(p.got) == many })
		if !back && len(p.got) != many {
			t.Errorf("%d of %d have an answer", len(p.got), many)
		}
		for id, of := range p.got {
			if answers, refusals, _ := finals(of); answers+refusals > 1 {
				t.Errorf("taken back %v: call %x has %d answers and %d refusals", back, id, answers, refusals)
			}
		}
	}
	p := s.dial()
	for n := range uint64(200) { // the same again as soon as it is rejected
		id := uint64(5)<<40 + n
		_, _ = p.c.Write(ask(id, binarymessage.TextParam(binarymessage.RetryAfter, "0")))
		if !p.hear(2*time.Second, func() bool { return len(p.got[id]) > 0 }) {
			t.Fatalf("repeat %d has no answer", n)
		}
	}
	a.mu.Lock()
	b.mu.Lock()
	defer a.mu.Unlock()
	defer b.mu.Unlock()
	if a.got+b.got == 0 {
		t.Error("no set-up came to a switch")
	}
}

// told is a module that hears other gateways and says something to them.
type told struct {
	routing.Policy
	h     routing.Host
	heard chan string
}

func (m *told) OnGossip(_ float64, from int, b []byte) {
	m.heard <- fmt.Sprintf("%d %s", from, b)
	m.h.SendGossip(from, append([]byte("re "), b...))
	m.h.SendGossip(from, make([]byte, 257))
}

// Other gateways are known by the addresses that their messages come from; what comes from elsewhere counts for
// nothing.
func TestPeers(t *testing.T) {
	a := newCore(t, "s-0")
	peer, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	stranger, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	own := freePort(t)
	heard := make(chan string, 10)
	s := startStation(t, newNames(t, 1, a), func(set *routing.Settings, h routing.Host) routing.Policy {
		return &told{Policy: router.New(set, h), h: h, heard: heard}
	}, func(doc map[string]any) {
		doc["peer_listen"], doc["peers"] = own, []string{own, peer.LocalAddr().String()}
		doc["settings"] = json.RawMessage(
			strings.Replace(string(doc["settings"].(json.RawMessage)), `"balancers":1`, `"balancers":2`, 1),
		)
		doc["settings"] = json.RawMessage(
			strings.Replace(string(doc["settings"].(json.RawMessage)), `"cancel":true`, `"cancel":true,"peers":true`, 1),
		)
	}, a)
	s.dial().ready()
	to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(own))
	_, _ = stranger.WriteToUDP([]byte("no"), to)
	_, _ = peer.WriteToUDP(make([]byte, 257), to)
	_, _ = peer.WriteToUDP([]byte("news"), to)
	select {
	case got := <-heard:
		if got != "1 news" {
			t.Errorf("the module heard %q", got)
		}
	case <-time.After(3 * time.Second):
		t.Fatal("the module heard nothing")
	}
	b := make([]byte, 1000)
	_ = peer.SetReadDeadline(time.Now().Add(3 * time.Second))
	if n, _, err := peer.ReadFromUDP(b); err != nil || string(b[:n]) != "re news" {
		t.Errorf("the other gateway got %q, %v", b[:max(n, 0)], err)
	}
	_ = peer.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if n, _, err := peer.ReadFromUDP(b); err == nil {
		t.Errorf("and %d bytes more", n)
	}
}

// Hundreds connect and say nothing: descriptors hold, and a usual caller gets in.
func TestSilentCrowd(t *testing.T) {
	a, b := newCore(t, "s-0"), newCore(t, "s-1")
	s := newStation(t, newNames(t, 1, a, b), a, b)
	s.dial().ready()
	for range 400 {
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	p := s.dial()
	_, _ = p.c.Write(ask(4242))
	if !p.hear(2*time.Second, func() bool { return len(p.got[4242]) > 0 }) ||
		p.got[4242][0].Type() != binarymessage.Answer {
		t.Errorf("a usual caller among a silent crowd got %x, connection open %v", p.got[4242], p.open)
	}
}

// A drain that the name server tells of is kept; a new configuration names another name server, whose list counts; one
// that can't be used changes nothing.
func TestListAndReload(t *testing.T) {
	a, b := newCore(t, "s-0"), newCore(t, "s-1")
	ns, other := newNames(t, 1, a, b), newNames(t, 10, b)
	s := newStation(t, ns, a, b)
	p := s.dial()
	p.ready()
	next := uint64(1 << 30)
	to := func() (served string) {
		next += 2 // the destination is s-0 every time
		_, _ = p.c.Write(ask(next))
		p.hear(2*time.Second, func() bool { return len(p.got[next]) > 0 })
		if len(p.got[next]) == 0 {
			return "nothing"
		}
		return p.got[next][0].Text(binarymessage.Description)
	}
	if got := to(); got != "answer of s-0" {
		t.Fatalf("before: %q", got)
	}
	ns.tell(func(l map[*core]uint16) { l[a] = 1 })
	time.Sleep(600 * time.Millisecond)
	if got := to(); got != "answer of s-1" {
		t.Errorf("s-0 drains: %q", got)
	}
	ns.tell(func(l map[*core]uint16) { l[a] = 0 })
	time.Sleep(600 * time.Millisecond)
	s.doc["nameserver"] = "nowhere"
	s.write()
	s.signals <- Reload
	time.Sleep(300 * time.Millisecond)
	if got := to(); got != "answer of s-0" {
		t.Errorf("after a bad configuration: %q", got)
	}
	s.doc["nameserver"] = other.addr()
	s.write()
	s.signals <- Reload
	time.Sleep(600 * time.Millisecond)
	if got := to(); got != "answer of s-1" {
		t.Errorf("the new name server says that s-0 is gone: %q", got)
	}
}

// Told to leave, a gateway goes on taking calls for a while, fails tests, answers what it holds, and ends.
func TestLeave(t *testing.T) {
	a, b := newCore(t, "s-0"), newCore(t, "s-1")
	s := newStation(t, newNames(t, 1, a, b), a, b)
	p := s.dial()
	p.ready()
	s.signals <- Shutdown
	time.Sleep(300 * time.Millisecond)
	q := s.dial() // connections keep coming
	_, _ = q.c.Write(append(ask(600), binarymessage.Append(nil, binarymessage.HealthCheck, 601,
		binarymessage.CauseParam(0))...))
	if !q.hear(time.Second, func() bool { return len(q.got[600]) > 0 && len(q.got[601]) > 0 }) ||
		q.got[600][0].Type() != binarymessage.Answer ||
		q.got[601][0].Cause() != 0 {
		t.Errorf("after 0.3 s: %x", q.got)
	}
	time.Sleep(550 * time.Millisecond)
	_, _ = p.c.Write(ask(602))
	if !p.hear(time.Second, func() bool { return len(p.got[602]) > 0 }) || p.got[602][0].Type() != binarymessage.Release ||
		p.got[602][0].Cause() != binarymessage.Congested {
		t.Errorf("after 0.85 s: %x", p.got[602])
	}
	select {
	case err := <-s.ended:
		s.ended <- err
		if err != nil {
			t.Error(err)
		}
	case <-time.After(3 * time.Second):
		t.Error("it does not end")
	}
}

// A gateway that leaves stays for the established calls, and passes their releases on, but no longer than it may.
func TestLeaveWithCalls(t *testing.T) {
	a, b := newCore(t, "s-0"), newCore(t, "s-1")
	a.hold, b.hold = 1800*time.Millisecond, 1800*time.Millisecond
	a.does = func(n int) string {
		if n == 2 {
			return "never"
		}
		return ""
	}
	s := newStation(t, newNames(t, 1, a, b), a, b)
	p := s.dial()
	p.ready()
	_, _ = p.c.Write(ask(700))
	p.hear(time.Second, func() bool { return len(p.got[700]) > 0 })
	s.signals <- Shutdown
	time.Sleep(400 * time.Millisecond)
	_, _ = p.c.Write(ask(702, binarymessage.Param{Code: binarymessage.Note}))
	if !p.hear(3*time.Second, func() bool { return len(p.got[700]) > 1 }) {
		t.Errorf("the release of a call that stood did not pass: %x", p.got[700])
	}
	if !p.hear(2*time.Second, func() bool { return !p.open && len(p.got[702]) > 0 }) ||
		p.got[702][0].Type() != binarymessage.Release {
		t.Errorf("a call that no switch answers got %x, open %v", p.got[702], p.open)
	}
}

// An address that is taken is told.
func TestTaken(t *testing.T) {
	a := newCore(t, "s-0")
	s := newStation(t, newNames(t, 1, a), a)
	s.dial().ready()
	cfg, err := binaryconfig.Load(s.file)
	if err != nil {
		t.Fatal(err)
	}
	err = Run(
		context.Background(),
		s.file,
		cfg,
		func(set *routing.Settings, h routing.Host) routing.Policy { return router.New(set, h) },
		zerolog.Nop(),
		nil,
	)
	if err == nil || !strings.Contains(err.Error(), s.addr) {
		t.Errorf("%v", err)
	}
}

// After a stall the sockets are read once more before any timer runs; else nothing waits.
func TestBehind(t *testing.T) {
	s := &Server{}
	for i, c := range []struct {
		looked, now float64
		want        bool
	}{{0, 5000, false}, {1000, 1100, false}, {1000, 1151, true}, {0, 1160, false}} {
		if c.looked > 0 {
			s.lastBatchAt = c.looked
		}
		if got := s.stalled(c.now); got != c.want {
			t.Errorf("%d: %v", i, got)
		}
	}
}
