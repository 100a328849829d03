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

// event is what a socket reports.
type event struct {
	kind   eventKind
	stream *reactor.Stream
	from   netip.AddrPort
	local  netip.AddrPort
	data   []byte
	err    error
}

// maxQueuedBytes is how much received data may wait for the event loop. Beyond it whoever brings more waits, and with
// it the senders.
const maxQueuedBytes = 512 << 10

// eventQueue is the way to the event loop. Data waits where there is too much of it; what only reports a change never
// waits.
type eventQueue struct {
	ready   chan struct{} // holds one value when there are events
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

// drain takes all events.
func (q *eventQueue) drain() []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	q.events, q.bytes = nil, 0
	q.notFull.Broadcast()
	return events
}

// close lets whoever waits go on: nobody takes events any more.
func (q *eventQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.notFull.Broadcast()
}
