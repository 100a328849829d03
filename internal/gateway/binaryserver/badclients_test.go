package binaryserver

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"cobaltpier/internal/protocol/binarymessage"
)

const (
	usualInterval = 100 * time.Millisecond  // between two setups of the usual client
	usualTimeout  = 1500 * time.Millisecond // that setupMessage asks for
	// lostAfter is the time after a setup's timeout from which it counts as lost without a final answer: half a second,
	// and 50 ms on sockets.
	lostAfter = 550 * time.Millisecond
)

// usualClient sends valid setups at a steady rate, and notes when each got its final answer.
type usualClient struct {
	*testClient
	sentAt  map[uint64]time.Time
	finalAt map[uint64]time.Time
}

// newUsualClient connects to the gateway from the main thread of a test, once the gateway is ready.
func newUsualClient(s *testServer) *usualClient {
	client := s.dial()
	client.waitUntilReady()
	return &usualClient{testClient: client, sentAt: map[uint64]time.Time{}, finalAt: map[uint64]time.Time{}}
}

// noteFinals records which setups have got their final answer since the last look.
func (c *usualClient) noteFinals() bool {
	for id := range c.sentAt {
		if _, known := c.finalAt[id]; !known && len(c.received[id]) > 0 {
			c.finalAt[id] = time.Now()
		}
	}
	return false
}

// callFor sends setups for some time and waits until all of them have a final answer or are lost.
func (c *usualClient) callFor(duration time.Duration) {
	c.t.Helper()
	for id, begin := uint64(1), time.Now(); time.Since(begin) < duration; id++ {
		if _, err := c.conn.Write(setupMessage(id)); err != nil {
			c.t.Fatalf("the gateway closed the connection of the usual client: %v", err)
		}
		c.sentAt[id] = time.Now()
		c.waitFor(usualInterval, c.noteFinals)
	}
	c.waitFor(usualTimeout+lostAfter, func() bool {
		c.noteFinals()
		return len(c.finalAt) == len(c.sentAt)
	})
}

// expectNoneLost reports an error if a setup got no final answer, or too late.
func (c *usualClient) expectNoneLost() {
	c.t.Helper()
	lost, slowest := 0, time.Duration(0)
	for id, sentAt := range c.sentAt {
		finalAt, answered := c.finalAt[id]
		if !answered {
			finalAt = time.Now()
		}
		slowest = max(slowest, finalAt.Sub(sentAt))
		if !answered || finalAt.Sub(sentAt) > usualTimeout+lostAfter {
			lost++
		}
	}
	if lost > 0 {
		c.t.Errorf("%d of %d setups of the usual client had no final answer %v after their timeout, the slowest after %v",
			lost, len(c.sentAt), lostAfter, slowest)
	}
}

// badClients runs misbehaving clients, each from an address of its own, until the test ends.
type badClients struct {
	server     *testServer
	mu         sync.Mutex
	conns      []net.Conn
	goroutines sync.WaitGroup
}

func newBadClients(server *testServer) *badClients {
	b := &badClients{server: server}
	server.Cleanup(b.stop)
	return b
}

func (b *badClients) stop() {
	b.mu.Lock()
	for _, conn := range b.conns {
		conn.Close()
	}
	b.mu.Unlock()
	b.goroutines.Wait()
}

// dial connects the client with an index, and ignores all that the gateway sends. It returns nil if that fails.
func (b *badClients) dial(index int) net.Conn {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(1+index))}, Timeout: time.Second}
	conn, err := dialer.Dial("tcp", b.server.addr)
	if err != nil {
		return nil
	}
	b.mu.Lock()
	b.conns = append(b.conns, conn)
	b.mu.Unlock()
	b.goroutines.Go(func() { _, _ = io.Copy(io.Discard, conn) })
	return conn
}

// start connects a client and runs send with its connection.
func (b *badClients) start(index int, send func(conn net.Conn)) {
	conn := b.dial(index)
	if conn == nil {
		b.server.Errorf("bad client %d can't connect", index)
		return
	}
	b.goroutines.Go(func() { send(conn) })
}

// flood has a client send what next returns at full speed for some time. It connects again when its connection ends, or
// takes nothing for some time.
func (b *badClients) flood(index int, duration time.Duration, next func() []byte) {
	const writeTimeout = 500 * time.Millisecond
	end := time.Now().Add(duration)
	b.goroutines.Go(func() {
		for time.Now().Before(end) {
			conn := b.dial(index)
			for conn != nil && time.Now().Before(end) {
				_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
				if _, err := conn.Write(next()); err != nil {
					break
				}
			}
			if conn != nil {
				conn.Close()
			}
		}
	})
}

// namedCall returns a setup that names a call as established at an endpoint.
func namedCall(id uint64, endpoint *testEndpoint) []byte {
	return binarymessage.Append(nil, binarymessage.Setup, id,
		binarymessage.TextParam(binarymessage.Class, "voice"),
		binarymessage.TextParam(binarymessage.RoutingParams, fmt.Sprintf("dest:0;width:1;via:-1;at:%s", endpoint.id)))
}

// TestManyMadeUpCallsDelayNobody guards against setups of usual clients that are answered seconds late, because each
// call that bad clients name as established costs a walk through all calls that are held.
func TestManyMadeUpCallsDelayNobody(t *testing.T) {
	const clients, callsEach = 50, 1000
	endpoints := []*testEndpoint{newTestEndpoint(t, "s-0"), newTestEndpoint(t, "s-1")}
	server := newTestServer(t, newTestNameServer(t, 1, endpoints...), endpoints...)
	usual := newUsualClient(server)
	bad := newBadClients(server)
	for i := range clients {
		bad.start(i, func(conn net.Conn) {
			var burst []byte
			for k := range uint64(callsEach) {
				burst = append(burst, namedCall(uint64(i+1)<<32+k, endpoints[0])...)
			}
			_, _ = conn.Write(burst)
		})
	}
	usual.callFor(2 * time.Second)
	usual.expectNoneLost()
}

// TestRepeatedNamesDelayNobody guards against setups of usual clients that are answered seconds late, because more
// releases are owed to bad clients than the gateway holds, and each further one costs a walk through all of them.
func TestRepeatedNamesDelayNobody(t *testing.T) {
	const clients, calls, duration = 3, 30000, 9 * time.Second
	endpoints := []*testEndpoint{newTestEndpoint(t, "s-0"), newTestEndpoint(t, "s-1")}
	server := newTestServer(t, newTestNameServer(t, 1, endpoints...), endpoints...)
	usual := newUsualClient(server)
	bad := newBadClients(server)
	for i := range clients {
		random := rand.New(rand.NewPCG(1, uint64(i)))
		bad.flood(i, duration, func() (burst []byte) {
			for range 200 {
				burst = append(burst, namedCall(1<<32+random.Uint64N(calls), endpoints[0])...)
			}
			return burst
		})
	}
	usual.callFor(duration)
	usual.expectNoneLost()
}

// TestReconnectingClientsDelayNobody guards against setups of usual clients that are answered seconds late, because
// each end of a connection with a call costs a walk through all calls that are held.
func TestReconnectingClientsDelayNobody(t *testing.T) {
	const clients, held, duration = 8, 8000, 8 * time.Second
	endpoints := []*testEndpoint{newTestEndpoint(t, "s-0"), newTestEndpoint(t, "s-1")}
	server := newTestServer(t, newTestNameServer(t, 1, endpoints...), endpoints...)
	usual := newUsualClient(server)
	bad := newBadClients(server)
	bad.start(clients, func(conn net.Conn) {
		var burst []byte
		for k := range uint64(held) {
			burst = append(burst, namedCall(1<<32+k, endpoints[0])...)
		}
		_, _ = conn.Write(burst)
	})
	end := time.Now().Add(duration)
	for i := range clients {
		random := rand.New(rand.NewPCG(2, uint64(i)))
		bad.goroutines.Go(func() {
			for time.Now().Before(end) {
				if conn := bad.dial(i); conn != nil {
					_, _ = conn.Write(append(namedCall(random.Uint64()|1<<63, endpoints[0]), setupMessage(random.Uint64()|1<<63)...))
					time.Sleep(2 * time.Millisecond)
					conn.Close()
				}
			}
		})
	}
	usual.callFor(duration)
	usual.expectNoneLost()
}

// TestEndlessSetupsDelayNobody guards against setups of usual clients that are answered seconds late, because each
// valid setup that a bad client sends at full speed costs a walk through the queue of those that wait.
func TestEndlessSetupsDelayNobody(t *testing.T) {
	const endpointCount, duration = 10, 6 * time.Second
	var endpoints []*testEndpoint
	for i := range endpointCount {
		endpoints = append(endpoints, newTestEndpoint(t, fmt.Sprintf("s-%d", i)))
	}
	server := startTestServer(t, newTestNameServer(t, 1, endpoints...), newRouter, withLongCalls, endpoints...)
	usual := newUsualClient(server)
	bad := newBadClients(server)
	random := rand.New(rand.NewPCG(3, 0))
	bad.flood(0, duration, func() (burst []byte) {
		for range 100 {
			burst = append(burst, patientSetup(random.Uint64()|1<<63)...)
		}
		return burst
	})
	usual.callFor(duration)
	usual.expectNoneLost()
}

// withLongCalls gives a configuration a class whose calls are long and whose callers wait for long, so that many wait.
func withLongCalls(doc map[string]any) {
	settings := string(doc["settings"].(json.RawMessage))
	settings = strings.Replace(settings, `"callLength":[50]`,
		`"callLength":[9800],"skilledPools":[[0,1,2,3,4,5,6,7,8,9]]`, 1)
	settings = strings.Replace(settings, `"hardLimit":2000`, `"hardLimit":9000`, 1)
	doc["settings"] = json.RawMessage(settings)
}

// patientSetup returns a setup of a caller that waits for 9 s.
func patientSetup(id uint64) []byte {
	return binarymessage.Append(nil, binarymessage.Setup, id,
		binarymessage.TextParam(binarymessage.Class, "voice"),
		binarymessage.TextParam(binarymessage.Timeout, "9000"),
		binarymessage.TextParam(binarymessage.Number, fmt.Sprintf("%x", id)),
		binarymessage.TextParam(binarymessage.RoutingParams, "dest:0;width:1;via:-1"),
		binarymessage.TextParam(binarymessage.Description, "offer"))
}
