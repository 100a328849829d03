package binaryserver

import (
	"testing"
	"time"

	"cobaltpier/internal/protocol/binarymessage"
)

// TestRestartReleasesEndedCalls guards against calls that end while a gateway restarts and are never released: the
// endpoints repeat many releases of earlier calls first.
func TestRestartReleasesEndedCalls(t *testing.T) {
	const calls, firstID, earlier = 100, 1000, 30000
	a, b := newTestEndpoint(t, "s-0"), newTestEndpoint(t, "s-1")
	a.holdingTime, b.holdingTime = time.Minute, time.Minute
	s := newTestServer(t, newTestNameServer(t, 1, a, b), a, b)
	client := s.dial()
	client.waitUntilReady()
	answered := func() (n int) {
		for id := uint64(firstID); id < firstID+calls; id++ {
			if len(client.received[id]) > 0 && client.received[id][0].Type() == binarymessage.Answer {
				n++
			}
		}
		return n
	}
	for id := uint64(firstID); id < firstID+calls; id++ {
		_, _ = client.conn.Write(setupMessage(id))
		client.waitFor(5*time.Millisecond, func() bool { return answered() > int(id-firstID) })
	}
	if !client.waitFor(3*time.Second, func() bool { return answered() == calls }) {
		t.Fatalf("%d of %d calls were established", answered(), calls)
	}
	s.stop()
	standing := map[uint64]*testEndpoint{}
	for _, e := range []*testEndpoint{a, b} {
		for id := range e.endAll(earlier) {
			standing[id] = e
		}
	}
	if len(standing) != calls {
		t.Fatalf("%d calls were established at the endpoints, want %d", len(standing), calls)
	}
	s.start(newRouter)
	client = s.dial()
	client.waitUntilReady()
	time.Sleep(200 * time.Millisecond) // the endpoints repeat the releases
	for id, e := range standing {
		_, _ = client.conn.Write(binarymessage.Append(nil, binarymessage.Setup, id,
			binarymessage.TextParam(binarymessage.Class, "voice"),
			binarymessage.TextParam(binarymessage.RoutingParams, "at:"+e.id)))
	}
	if !client.waitFor(3*time.Second, func() bool { return len(client.received) == calls }) {
		t.Errorf("%d of %d calls that had ended were released to the client", len(client.received), calls)
	}
}

// endAll ends all established calls while no gateway is connected. Their releases are to be repeated, after those of
// the given number of earlier calls.
func (e *testEndpoint) endAll(earlier uint64) map[uint64]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range earlier {
		e.pendingReleases = append(e.pendingReleases, 1<<40+id)
	}
	ended := e.established
	e.established = map[uint64]bool{}
	for id := range ended {
		e.pendingReleases = append(e.pendingReleases, id)
	}
	return ended
}
