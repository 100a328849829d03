package binaryserver

import (
	"net/netip"
	"sync"

	"cobaltpier/internal/gateway/reactor"
)

type kind int

const (
	accepted kind = iota
	connected
	data
	left
	closed
	packet
)

type event struct {
	kind   kind
	stream *reactor.Stream
	from   netip.AddrPort
	local  netip.AddrPort
	data   []byte
	err    error
}

// mostBytes is how much may wait for the loop: beyond it whoever brings bytes waits, and with them the senders.
const mostBytes = 512 << 10

// queue is the way to the loop. Bytes of sockets wait where there are too many; what only says that something happened
// never waits.
type queue struct {
	some  chan struct{}
	mu    sync.Mutex
	room  *sync.Cond
	of    []event
	bytes int
	ended bool
}

func newQueue() *queue {
	q := &queue{some: make(chan struct{}, 1)}
	q.room = sync.NewCond(&q.mu)
	return q
}

func (q *queue) put(e event) {
	q.mu.Lock()
	for len(e.data) > 0 && q.bytes > mostBytes && !q.ended {
		q.room.Wait()
	}
	q.of = append(q.of, e)
	q.bytes += len(e.data)
	q.mu.Unlock()
	select {
	case q.some <- struct{}{}:
	default:
	}
}

// take is all that has come.
func (q *queue) take() []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	of := q.of
	q.of, q.bytes = nil, 0
	q.room.Broadcast()
	return of
}

// end lets whoever waits go: nobody takes any more.
func (q *queue) end() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ended = true
	q.room.Broadcast()
}
