package binarygateway

import (
	"container/heap"
	"container/list"

	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/routing"
)

// maxResumedCalls bounds the state that clients can create by resuming calls.
const maxResumedCalls = 8192

// resumedCalls are the established calls that were set up by an earlier process of the gateway. Clients may name calls
// that don't exist, at full speed, so each operation takes a time that hardly depends on how many calls are held.
type resumedCalls struct {
	count   int
	present clientHeap // clients with resumed calls that have a connection, or had one lately
	absent  clientHeap // the others
}

// resumedByClient are the resumed calls of one client.
type resumedByClient struct {
	calls     list.List // of *call, in the order in which the client named them
	absent    bool      // the client is in the heap of the absent ones
	heapIndex int       // there; without a meaning if the client has no resumed calls
}

// clientHeap implements heap.Interface: the client with the most resumed calls comes first.
type clientHeap []*client

func (h clientHeap) Len() int           { return len(h) }
func (h clientHeap) Less(i, j int) bool { return h[i].resumed.calls.Len() > h[j].resumed.calls.Len() }
func (h clientHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].resumed.heapIndex, h[j].resumed.heapIndex = i, j
}

// Push implements heap.Interface.
func (h *clientHeap) Push(c any) {
	added := c.(*client)
	added.resumed.heapIndex = len(*h)
	*h = append(*h, added)
}

// Pop implements heap.Interface.
func (h *clientHeap) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return removed
}

// heapOf returns the heap in which a client with resumed calls is.
func (r *resumedCalls) heapOf(c *client) *clientHeap {
	if c.resumed.absent {
		return &r.absent
	}
	return &r.present
}

// add adds a call to those of a client.
func (r *resumedCalls) add(c *client, call *call) {
	r.count++
	call.resumedElement = c.resumed.calls.PushBack(call)
	if c.resumed.calls.Len() == 1 {
		heap.Push(r.heapOf(c), c)
	} else {
		heap.Fix(r.heapOf(c), c.resumed.heapIndex)
	}
}

// remove removes a call from those of its client.
func (r *resumedCalls) remove(c *client, call *call) {
	r.count--
	c.resumed.calls.Remove(call.resumedElement)
	call.resumedElement = nil
	if c.resumed.calls.Len() == 0 {
		heap.Remove(r.heapOf(c), c.resumed.heapIndex)
	} else {
		heap.Fix(r.heapOf(c), c.resumed.heapIndex)
	}
}

// setAbsent records whether a client has been without a connection for long.
func (r *resumedCalls) setAbsent(c *client, absent bool) {
	if c.resumed.absent == absent {
		return
	}
	if c.resumed.calls.Len() > 0 {
		heap.Remove(r.heapOf(c), c.resumed.heapIndex)
	}
	c.resumed.absent = absent
	if c.resumed.calls.Len() > 0 {
		heap.Push(r.heapOf(c), c)
	}
}

// loser returns the client that loses a call to another client that names one: the client with the most, if it has
// more than that one, else the absent client with the most. It returns nil if there is none. A client with most of all
// resumed calls takes none of an absent one, whose calls may be real.
func (r *resumedCalls) loser(to *client) *client {
	for _, clients := range []clientHeap{r.present, r.absent} {
		if len(clients) > 0 && clients[0].resumed.calls.Len() > to.resumed.calls.Len() {
			return clients[0]
		}
	}
	if len(r.absent) == 0 || to.resumed.calls.Len() > maxResumedCalls/2 {
		return nil
	}
	return r.absent[0]
}

// isResumed reports whether the call is established and was set up by an earlier process of the gateway.
func (c *call) isResumed() bool { return c.resumedElement != nil }

// resumeCall takes over a call that an earlier process established and that is still in progress at an endpoint.
func (c *client) resumeCall(conn *Conn, id uint64, endpointID string) {
	g := c.gateway
	if known := g.calls[id]; known != nil {
		if known.upstream != nil {
			known.bindTo(conn)
		}
		return
	}
	u := g.upstreams[g.Endpoints.ByID(endpointID)]
	if u == nil {
		conn.send(releaseMessage(id, binarymessage.Failure)) // if it is lost, the client gets it again when it asks again
		return
	}
	if cause, ended := u.ended.cause(id); ended {
		c.sendRelease(conn, id, cause)
		return
	}
	upSince := g.resumedUpSince()
	if upSince < u.startedAt-restartClockTolerance { // it ended with the endpoint's process
		g.Metrics.CallsCut++
		u.rememberEnd(id, binarymessage.Failure)
		c.sendRelease(conn, id, binarymessage.Failure)
		return
	}
	if g.resumed.count >= maxResumedCalls && !g.makeRoomForResumed(c) {
		g.Metrics.ResumesRefused++
		conn.send(releaseMessage(id, binarymessage.Failure))
		return
	}
	g.Metrics.CallsResumed++
	call := &call{gateway: g, id: id, client: c, upstream: u, endpointUpSince: upSince}
	g.calls[id] = call
	u.established[id] = call
	c.establishedCalls++
	g.resumed.add(c, call)
	call.bindTo(conn)
}

// resumedUpSince returns a time at which the endpoint's process of a call that is resumed now was running already. In
// the time in which clients come back after a restart, the call is one of the gateway's former process.
func (g *Gateway) resumedUpSince() float64 {
	if g.Now < g.startedAt+endedCallRetention {
		return g.startedAt
	}
	return g.Now
}

// makeRoomForResumed releases the oldest resumed call of another client, because calls that no endpoint knows may have
// been named there. It returns false if the given client may not take a place of another one. The call is not released
// at the endpoint, because its ID may be made up.
func (g *Gateway) makeRoomForResumed(c *client) bool {
	loser := g.resumed.loser(c)
	if loser == nil {
		return false
	}
	oldest := loser.resumed.calls.Front().Value.(*call)
	g.Metrics.ResumesRefused++
	oldest.release(routing.Reset, binarymessage.Failure, false)
	return true
}

// isAbsent reports whether the client has had no connection for so long that it may not return. Its calls are kept all
// the same: it has named them to this process, and does not name them again when it returns.
func (c *client) isAbsent() bool {
	return len(c.conns) == 0 && c.gateway.Now > c.disconnectedAt+clientReleaseRetention
}
