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

// event is a socket event that waits for the event loop.
type event struct {
	kind   eventKind
	stream *reactor.Stream
	from   netip.AddrPort
	local  netip.AddrPort
	data   []byte
	err    error
}

// maxQueuedBytes limits the received data that waits for the event loop. Above it the pollers block, and TCP flow
// control slows the senders down.
const maxQueuedBytes = 512 << 10

// eventQueue carries events to the event loop. Pushing received data blocks while the queue is full; events without
// data are always queued at once.
type eventQueue struct {
	ready   chan struct{} // holds one value while events are queued
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

// drain removes all queued events and returns them.
func (q *eventQueue) drain() []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	events := q.events
	q.events, q.bytes = nil, 0
	q.notFull.Broadcast()
	return events
}

// close unblocks all waiting pushes: the event loop has ended and no longer takes events.
func (q *eventQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.notFull.Broadcast()
}
