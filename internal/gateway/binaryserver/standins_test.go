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

	"github.com/rs/zerolog"

	"cobaltpier/internal/gateway/binaryconfig"
	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/router"
	"cobaltpier/internal/routing"
)

// fault is how a stand-in for an endpoint mishandles a setup.
type fault string

const (
	noFault     fault = ""
	faultReset  fault = "reset"  // the connection is reset
	faultNoise  fault = "noise"  // bytes are sent that are not a message
	faultFull   fault = "full"   // the setup is rejected for lack of capacity
	faultSilent fault = "silent" // the setup is never answered
	faultHalf   fault = "half"   // the answer is cut off
)

// testEndpoint is a stand-in for an endpoint on TCP.
type testEndpoint struct {
	t               *testing.T
	id              string
	listener        net.Listener
	mu              sync.Mutex
	conns           map[*testEndpointConn]struct{}
	pendingReleases []uint64 // releases to send on the next connection
	established     map[uint64]bool
	setups          int
	faultOf         func(n int) fault // returns the fault for the n-th setup; nil if there are no faults
	holdingTime     time.Duration     // how long a call stays established
	goroutines      sync.WaitGroup
}

// testEndpointLoad is the load report that every testEndpoint sends.
var testEndpointLoad = binarymessage.TextParam(binarymessage.LoadReport, "free:300;size:400;busy:0.3;q:1")

func newTestEndpoint(t *testing.T, id string) *testEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &testEndpoint{
		t:           t,
		id:          id,
		listener:    l,
		conns:       map[*testEndpointConn]struct{}{},
		established: map[uint64]bool{},
		holdingTime: 50 * time.Millisecond,
	}
	e.goroutines.Add(1)
	go e.accept()
	t.Cleanup(e.close)
	return e
}

func (e *testEndpoint) accept() {
	defer e.goroutines.Done()
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.goroutines.Add(1)
		go (&testEndpointConn{endpoint: e, conn: conn}).serve()
	}
}

func (e *testEndpoint) close() {
	e.listener.Close()
	e.mu.Lock()
	for c := range e.conns {
		c.conn.Close()
	}
	e.mu.Unlock()
	e.goroutines.Wait()
}

// onSetup counts a setup and returns the fault to apply to it.
func (e *testEndpoint) onSetup(id uint64) fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setups++
	e.established[id] = true
	if e.faultOf == nil {
		return noFault
	}
	return e.faultOf(e.setups)
}

// release ends a call. It sends the release on the connection of the setup, or else on any open one, and, as a real
// endpoint does, again on the next connection, because the gateway may just have closed the present one.
func (e *testEndpoint) release(id uint64, conn *testEndpointConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.established[id] {
		return
	}
	delete(e.established, id)
	e.pendingReleases = append(e.pendingReleases, id)
	if _, open := e.conns[conn]; !open {
		conn = nil
		for other := range e.conns {
			conn = other
		}
	}
	if conn != nil {
		conn.send(binarymessage.Release, id, binarymessage.CauseParam(binarymessage.Normal), testEndpointLoad)
	}
}

// testEndpointConn is one connection of a testEndpoint.
type testEndpointConn struct {
	endpoint *testEndpoint
	conn     net.Conn
	writeMu  sync.Mutex
}

func (c *testEndpointConn) send(kind byte, id uint64, params ...binarymessage.Param) {
	c.sendRaw(binarymessage.Append(nil, kind, id, params...))
}

func (c *testEndpointConn) sendRaw(data []byte) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, _ = c.conn.Write(data) // the reader detects a closed connection
}

func (c *testEndpointConn) serve() {
	e := c.endpoint
	defer e.goroutines.Done()
	defer c.conn.Close()
	c.open()
	defer func() {
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	var reader binarymessage.Reader
	buffer := make([]byte, 4096)
	for {
		n, err := c.conn.Read(buffer)
		if err != nil {
			return
		}
		if err := reader.Feed(buffer[:n], c.handle); err != nil {
			e.t.Errorf("endpoint %s received an invalid message: %v", e.id, err)
			return
		}
	}
}

// open sends the load report and the pending releases.
func (c *testEndpointConn) open() {
	e := c.endpoint
	c.send(binarymessage.LoadState, 0, testEndpointLoad)
	e.mu.Lock()
	e.conns[c] = struct{}{}
	releases := e.pendingReleases
	e.pendingReleases = nil
	e.mu.Unlock()
	for _, id := range releases {
		c.send(binarymessage.Release, id, binarymessage.CauseParam(binarymessage.Normal))
	}
}

func (c *testEndpointConn) handle(message binarymessage.Message) bool {
	e, id := c.endpoint, message.CallID()
	switch message.Type() {
	case binarymessage.Release:
		e.mu.Lock()
		delete(e.established, id)
		e.mu.Unlock()
	case binarymessage.Setup:
		c.answer(id, e.onSetup(id))
	}
	return true
}

func (c *testEndpointConn) answer(id uint64, f fault) {
	e := c.endpoint
	switch f {
	case faultReset:
		_ = c.conn.(*net.TCPConn).SetLinger(0)
		c.conn.Close()
	case faultNoise:
		c.sendRaw([]byte("\xff\xff\xff no message at all"))
	case faultHalf:
		description := binarymessage.TextParam(binarymessage.Description, "answer")
		c.sendRaw(binarymessage.Append(nil, binarymessage.Answer, id, description)[:9])
		c.conn.Close()
	case faultFull:
		c.send(binarymessage.Release, id, binarymessage.CauseParam(binarymessage.NoCircuit),
			binarymessage.TextParam(binarymessage.Note, "cpu_full"), testEndpointLoad)
	case faultSilent:
	default:
		description := binarymessage.TextParam(binarymessage.Description, "answer of "+e.id)
		c.send(binarymessage.Answer, id, description, testEndpointLoad)
		time.AfterFunc(e.holdingTime, func() { e.release(id, c) })
	}
}

func (e *testEndpoint) addr() netip.AddrPort {
	return netip.MustParseAddrPort(e.listener.Addr().String())
}

// testServer is a gateway that a test runs.
type testServer struct {
	*testing.T
	addr       string
	configPath string
	configDoc  map[string]any
	signals    chan Signal
	result     chan error
	cancel     context.CancelFunc
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

func newTestServer(t *testing.T, ns *testNameServer, endpoints ...*testEndpoint) *testServer {
	t.Helper()
	return startTestServer(t, ns, newRouter, func(map[string]any) {}, endpoints...)
}

func newRouter(settings *routing.Settings, host routing.Host) routing.Policy {
	return router.New(settings, host)
}

// startTestServer starts a gateway with a configuration that the function change has modified.
func startTestServer(t *testing.T, ns *testNameServer, newPolicy routing.PolicyFactory, change func(map[string]any),
	endpoints ...*testEndpoint) *testServer {
	t.Helper()
	s := &testServer{
		T:          t,
		addr:       freePort(t),
		configPath: filepath.Join(t.TempDir(), "config.json"),
		signals:    make(chan Signal, 4),
		result:     make(chan error, 1),
	}
	s.configDoc = testConfig(s.addr, ns.addr(), endpoints)
	change(s.configDoc)
	s.writeConfig()
	s.start(newPolicy)
	t.Cleanup(s.stop)
	return s
}

func (s *testServer) start(newPolicy routing.PolicyFactory) {
	s.Helper()
	config, err := binaryconfig.Load(s.configPath)
	if err != nil {
		s.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go func() { s.result <- Run(ctx, s.configPath, config, newPolicy, zerolog.Nop(), s.signals) }()
}

// stop ends the gateway at once, as a kill does.
func (s *testServer) stop() {
	s.cancel()
	select {
	case err := <-s.result:
		if err != nil {
			s.Error(err)
		}
	case <-time.After(5 * time.Second):
		s.Error("the gateway has not stopped 5 s after its context was canceled")
	}
}

// testConfig returns a configuration as the platform writes it.
func testConfig(listen, nameserver string, endpoints []*testEndpoint) map[string]any {
	var targets []map[string]any
	for _, e := range endpoints {
		targets = append(targets, map[string]any{
			"uid":       e.id,
			"endpoint":  e.addr().String(),
			"pod_group": int(e.id[len(e.id)-1] - '0'),
			"state":     "ready",
		})
	}
	return map[string]any{
		"name":       "n0",
		"listen":     listen,
		"seed":       "8c1f30d27a5be964",
		"nameserver": nameserver,
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
				`"stats":{"fields":["free","size","busy","q"],"how":"inline"}}`),
	}
}

func (s *testServer) writeConfig() {
	b, err := json.Marshal(s.configDoc)
	if err == nil {
		err = os.WriteFile(s.configPath, b, 0o600)
	}
	if err != nil {
		s.Fatal(err)
	}
}

// testClient is one client connection.
type testClient struct {
	t        *testing.T
	conn     net.Conn
	reader   binarymessage.Reader
	received map[uint64][]binarymessage.Message
	open     bool
}

func (s *testServer) dial() *testClient {
	s.Helper()
	for range 100 {
		c, err := net.Dial("tcp", s.addr)
		if err == nil {
			s.Cleanup(func() { c.Close() })
			return &testClient{t: s.T, conn: c, received: map[uint64][]binarymessage.Message{}, open: true}
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.Fatal("the gateway does not listen")
	return nil
}

// setupMessage returns a client's setup with the parameters of a valid call and further ones.
func setupMessage(id uint64, params ...binarymessage.Param) []byte {
	return binarymessage.Append(
		nil,
		binarymessage.Setup,
		id,
		append([]binarymessage.Param{
			binarymessage.TextParam(binarymessage.Class, "voice"),
			binarymessage.TextParam(binarymessage.Timeout, "1500"),
			binarymessage.TextParam(binarymessage.Number, fmt.Sprintf("%x", id)),
			binarymessage.TextParam(binarymessage.RoutingParams, fmt.Sprintf("dest:%d;width:1;via:-1", id%2)),
			binarymessage.TextParam(binarymessage.Description, "offer"),
		}, params...)...)
}

// waitFor reads until done returns true, the connection is closed or the time is over. It returns the result of done.
func (c *testClient) waitFor(within time.Duration, done func() bool) bool {
	b := make([]byte, 4096)
	for end := time.Now().Add(within); c.open && !done() && time.Now().Before(end); {
		_ = c.conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		n, err := c.conn.Read(b)
		if ferr := c.reader.Feed(b[:n], func(m binarymessage.Message) bool {
			c.received[m.CallID()] = append(c.received[m.CallID()], append(binarymessage.Message(nil), m...))
			return true
		}); ferr != nil {
			c.t.Errorf("the client received an invalid message: %v", ferr)
		}
		var netErr net.Error
		if err != nil && (!errors.As(err, &netErr) || !netErr.Timeout()) {
			c.open = false
		}
	}
	return done()
}

// waitUntilReady sends a health check and fails the test unless the gateway passes it.
func (c *testClient) waitUntilReady() {
	c.t.Helper()
	_, _ = c.conn.Write(binarymessage.Append(nil, binarymessage.HealthCheck, 9, binarymessage.CauseParam(0)))
	if !c.waitFor(3*time.Second, func() bool { return len(c.received[9]) > 0 }) ||
		c.received[9][0].Type() != binarymessage.HealthResult ||
		c.received[9][0].Cause() != 1 {
		c.t.Fatalf("the health check was answered with %x, want a passed one", c.received[9])
	}
	delete(c.received, 9)
}

// countFinals counts the answers, refusals and releases of a call; a release counts as a refusal before an answer.
func countFinals(messages []binarymessage.Message) (answers, refusals, releases int) {
	for _, m := range messages {
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
