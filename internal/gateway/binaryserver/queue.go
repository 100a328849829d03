package binaryserver

import (
	"net/netip"
	"sync"

	"cobaltpier/internal/gateway/reactor"
)

type eventKind int

const (
	accepted eventKind = iota
	connected
	received
	flushed
	closed
	datagram
)

type event struct {
	kind   eventKind
	stream *reactor.Stream
	from   netip.AddrPort
	local  netip.AddrPort
	data   []byte
	err    error
}

// maxQueuedBytes is how much may wait for the loop: beyond it whoever brings bytes waits, and with them the senders.
const maxQueuedBytes = 512 << 10

// eventQueue is the way to the loop. Bytes of sockets wait where there are too many; what only says that something happened
// never waits.
type eventQueue struct {
	ready   chan struct{}
	mu      sync.Mutex
	notFull *sync.Cond
	events  []event
	bytes   int
	closed  bool
}

func newEventQueue() *eventQueue {
	q := &eventQueue{ready: make(chan struct{}, 1)}
	q.notFull = sync.NewCond(&q.mu)
	return q
}

func (q *eventQueue) push(e event) {
	q.mu.Lock()
	for len(e.data) > 0 && q.bytes > maxQueuedBytes && !q.closed {
		q.notFull.Wait()
	}
	q.events = append(q.events, e)
	q.bytes += len(e.data)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// drain is all that has come.
func (q *eventQueue) drain() []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	of := q.events
	q.events, q.bytes = nil, 0
	q.notFull.Broadcast()
	return of
}

// close lets whoever waits go: nobody takes any more.
func (q *eventQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.notFull.Broadcast()
}
