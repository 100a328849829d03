// Package delivery keeps the releases that a gateway owes a peer until they are delivered. TCP does not tell whether
// the peer has read a message: one may be lost with its connection, unsent or sent. An Outbox knows on which connection
// each release went out, and hands it back when that connection ends. It has no I/O and no clock: times are passed in,
// in milliseconds.
package delivery

import (
	"math"
	"slices"
)

// Release is the release of a call that is owed to a peer.
type Release struct {
	CallID    uint64
	Cause     byte
	ExpiresAt float64 // it is given up then, if it still waits for a connection
	// OnSent, if set, is called once: when the release has been sent, or has to wait for a connection.
	OnSent func()

	// Sends counts the connections on which it was sent completely.
	Sends   int
	ordinal uint64  // over all releases that were put on a connection
	sentAt  float64 // +Inf while it is unsent on its connection
}

func (r *Release) reportSent() {
	if onSent := r.OnSent; onSent != nil {
		r.OnSent = nil
		onSent()
	}
}

// GiveUp ends a release that the outbox has returned and that was sent in vain too often.
func (o *Outbox[C]) GiveUp(r *Release) {
	o.counts.GivenUp++
	r.Drop()
}

// Drop ends a release that is no longer owed and that the outbox has returned.
func (r *Release) Drop() { r.reportSent() }

// Counts are the counters of all outboxes that share them.
type Counts struct {
	Owed      uint64 `json:"owed"`
	SentAgain uint64 `json:"sent_again"` // because their connection had ended
	Waited    uint64 `json:"waited"`     // for a connection
	Expired   uint64 `json:"expired"`    // given up: no connection came in time
	GivenUp   uint64 `json:"given_up"`   // sent too often: each connection ended too soon to tell whether it arrived
	// Overflowed counts those that were given up because of the limit.
	Overflowed uint64 `json:"overflowed"`
}

// Budget limits the releases that the outboxes which share it hold together.
type Budget struct {
	Limit int
	used  int
}

// Exceeded reports whether the outboxes hold more than the limit.
func (b *Budget) Exceeded() bool { return b.used > b.Limit }

// Outbox holds the releases that are owed to one peer. C identifies a connection to the peer.
type Outbox[C comparable] struct {
	counts       *Counts
	budget       *Budget
	confirmAfter float64 // ms after which a release that was sent counts as delivered, if its connection is still open
	waiting      []*Release
	onConn       map[C][]*Release // in the order of sending
	lastOrdinal  uint64
}

// New returns an empty outbox. A release counts as delivered once its connection has stayed open for confirmAfter ms.
func New[C comparable](counts *Counts, budget *Budget, confirmAfter float64) *Outbox[C] {
	return &Outbox[C]{counts: counts, budget: budget, confirmAfter: confirmAfter, onConn: map[C][]*Release{}}
}

// Len returns the number of releases that the outbox holds.
func (o *Outbox[C]) Len() int {
	n := len(o.waiting)
	for _, releases := range o.onConn {
		n += len(releases)
	}
	return n
}

// Waiting returns the number of releases that wait for a connection.
func (o *Outbox[C]) Waiting() int { return len(o.waiting) }

// Owe counts a release that is owed from now on. Put or Wait follows.
func (o *Outbox[C]) Owe() { o.counts.Owed++ }

// Put records that a release is to be sent on a connection.
func (o *Outbox[C]) Put(conn C, r *Release) {
	o.lastOrdinal++
	r.ordinal, r.sentAt = o.lastOrdinal, math.Inf(1)
	o.onConn[conn] = append(o.onConn[conn], r)
	o.budget.used++
}

// Wait records that a release waits for the next connection.
func (o *Outbox[C]) Wait(r *Release) {
	o.counts.Waited++
	o.waiting = append(o.waiting, r)
	o.budget.used++
	r.reportSent()
}

// TakeWaiting removes and returns the releases that wait, the oldest first.
func (o *Outbox[C]) TakeWaiting() []*Release {
	releases := o.waiting
	o.waiting = nil
	o.budget.used -= len(releases)
	return releases
}

// Sent records that a release has been sent on its connection.
func (o *Outbox[C]) Sent(r *Release, now float64) {
	r.sentAt = now
	r.Sends++
	r.reportSent()
}

// Mark returns a mark for ConfirmUpTo: it stands for all releases that were put on a connection so far.
func (o *Outbox[C]) Mark() uint64 { return o.lastOrdinal }

// ConfirmUpTo records that the peer has read the releases that were put on a connection before the mark was taken: it
// has answered a message that was sent there after them.
func (o *Outbox[C]) ConfirmUpTo(conn C, mark uint64) {
	o.remove(conn, func(r *Release) bool { return r.ordinal <= mark && !math.IsInf(r.sentAt, 1) })
}

// Confirm records that the peer says that it has received the release of a call.
func (o *Outbox[C]) Confirm(conn C, callID uint64) {
	o.remove(conn, func(r *Release) bool { return r.CallID == callID })
}

// ConnEnded removes and returns the releases that may be lost with a connection, in the order of sending.
func (o *Outbox[C]) ConnEnded(conn C, now float64) []*Release {
	o.removeDelivered(conn, now)
	releases := o.onConn[conn]
	delete(o.onConn, conn)
	o.budget.used -= len(releases)
	o.counts.SentAgain += uint64(len(releases))
	return releases
}

// Expire forgets the releases that count as delivered, and gives up those that have waited too long.
func (o *Outbox[C]) Expire(now float64) {
	for conn := range o.onConn {
		o.removeDelivered(conn, now)
	}
	before := len(o.waiting)
	o.waiting = slices.DeleteFunc(o.waiting, func(r *Release) bool { return r.ExpiresAt < now })
	expired := before - len(o.waiting)
	o.budget.used -= expired
	o.counts.Expired += uint64(expired)
}

// GiveUpOldest removes one release to return below the limit: the oldest that was sent, which is most likely delivered,
// or else the oldest that waits. One that is unsent on a connection is kept.
func (o *Outbox[C]) GiveUpOldest() {
	var oldestConn C
	var oldest *Release
	for conn, releases := range o.onConn {
		if first := releases[0]; !math.IsInf(first.sentAt, 1) && (oldest == nil || first.ordinal < oldest.ordinal) {
			oldestConn, oldest = conn, first
		}
	}
	switch {
	case oldest != nil:
		o.removeFirst(oldestConn)
	case len(o.waiting) > 0:
		o.waiting = o.waiting[1:]
		o.budget.used--
	default:
		return
	}
	o.counts.Overflowed++
}

// Clear removes all releases: the peer is gone, and nothing is owed to it any more.
func (o *Outbox[C]) Clear() {
	for conn := range o.onConn {
		o.remove(conn, func(*Release) bool { return true })
	}
	o.TakeWaiting()
}

func (o *Outbox[C]) removeDelivered(conn C, now float64) {
	o.remove(conn, func(r *Release) bool { return r.sentAt+o.confirmAfter < now })
}

// removeFirst removes the oldest release on a connection, in a time that does not depend on how many there are.
func (o *Outbox[C]) removeFirst(conn C) {
	releases := o.onConn[conn]
	releases[0] = nil
	o.budget.used--
	if len(releases) == 1 {
		delete(o.onConn, conn)
		return
	}
	o.onConn[conn] = releases[1:]
}

func (o *Outbox[C]) remove(conn C, delivered func(*Release) bool) {
	before := o.onConn[conn]
	if len(before) == 0 {
		return
	}
	count := len(before)
	after := slices.DeleteFunc(before, delivered)
	o.budget.used -= count - len(after)
	if len(after) == 0 {
		delete(o.onConn, conn)
		return
	}
	o.onConn[conn] = after
}
