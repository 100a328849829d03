package delivery

import (
	"testing"

	"pgregory.net/rapid"
)

const (
	confirmAfter = 100.0
	limit        = 20
)

// peer is a model of a peer that reads, on each connection, the releases that were sent before a point in time.
type peer struct {
	outbox  *Outbox[int]
	counts  Counts
	budget  Budget
	now     float64
	open    []int
	conns   int
	unsent  map[int][]*Release
	sent    map[int][]*Release
	read    map[uint64]bool
	owed    map[uint64]bool
	reports map[uint64]int
	calls   uint64
}

func newPeer() *peer {
	p := &peer{unsent: map[int][]*Release{}, sent: map[int][]*Release{}, read: map[uint64]bool{},
		owed: map[uint64]bool{}, reports: map[uint64]int{}, budget: Budget{Limit: limit}}
	p.outbox = New[int](&p.counts, &p.budget, confirmAfter)
	return p
}

func (p *peer) deliver(r *Release) {
	if len(p.open) == 0 {
		p.outbox.Wait(r)
	} else {
		conn := p.open[len(p.open)-1]
		p.outbox.Put(conn, r)
		p.unsent[conn] = append(p.unsent[conn], r)
	}
	if p.budget.Exceeded() {
		p.outbox.GiveUpOldest()
	}
}

func (p *peer) owe() {
	p.calls++
	id := p.calls
	p.owed[id] = true
	p.outbox.Owe()
	p.deliver(&Release{CallID: id, ExpiresAt: p.now + 1e6, OnSent: func() { p.reports[id]++ }})
}

func (p *peer) flush(conn int) {
	for _, r := range p.unsent[conn] {
		p.outbox.Sent(r, p.now)
	}
	p.sent[conn] = append(p.sent[conn], p.unsent[conn]...)
	p.unsent[conn] = nil
}

// readSome makes the peer read the first n releases on a connection.
func (p *peer) readSome(conn, n int) {
	for _, r := range p.sent[conn][:min(n, len(p.sent[conn]))] {
		p.read[r.CallID] = true
	}
}

func (p *peer) connect() {
	p.conns++
	p.open = append(p.open, p.conns)
	for _, r := range p.outbox.TakeWaiting() {
		p.deliver(r)
	}
}

func (p *peer) disconnect(i int) {
	conn := p.open[i]
	p.open = append(p.open[:i:i], p.open[i+1:]...)
	for _, r := range p.outbox.ConnEnded(conn, p.now) {
		p.deliver(r)
	}
}

// step advances the time and does something at random.
func (p *peer) step(t *rapid.T) {
	p.now += rapid.Float64Range(0, 2*confirmAfter).Draw(t, "pause")
	p.readWhatIsOld()
	p.outbox.Expire(p.now)
	switch rapid.SampledFrom([]string{"owe", "owe", "connect", "flush", "read", "disconnect"}).Draw(t, "step") {
	case "owe":
		if p.outbox.Len() < limit {
			p.owe()
		}
	case "connect":
		p.connect()
	case "flush":
		for _, conn := range p.open {
			p.flush(conn)
		}
	case "read":
		for _, conn := range p.open {
			p.readSome(conn, rapid.IntRange(0, 5).Draw(t, "read"))
		}
	case "disconnect":
		if len(p.open) > 0 {
			p.disconnect(rapid.IntRange(0, len(p.open)-1).Draw(t, "connection"))
		}
	}
}

// readWhatIsOld makes the peer read what was sent more than confirmAfter ms ago.
func (p *peer) readWhatIsOld() {
	for _, conn := range p.open {
		for _, r := range p.sent[conn] {
			p.read[r.CallID] = p.read[r.CallID] || r.sentAt+confirmAfter < p.now
		}
	}
}

// TestNothingOwedIsLost guards against a release that the peer never reads: whenever connections end, unsent or unread
// releases go out again, while no more are held than the limit.
func TestNothingOwedIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPeer()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			p.step(t)
			if p.outbox.Len() > limit || p.outbox.Len() != p.budget.used {
				t.Fatalf("%d releases are held and %d counted, want %d at most", p.outbox.Len(), p.budget.used, limit)
			}
		}
		p.connect()
		for _, conn := range p.open {
			p.flush(conn)
			p.readSome(conn, len(p.sent[conn]))
		}
		for id := range p.owed {
			if !p.read[id] || p.reports[id] != 1 {
				t.Errorf("the release of call %d was read %v and reported as sent %d times, want true and once",
					id, p.read[id], p.reports[id])
			}
		}
		p.now += 2 * confirmAfter
		if p.outbox.Expire(p.now); p.outbox.Len() != 0 || p.budget.used != 0 {
			t.Errorf("%d releases are held at the end, %d counted", p.outbox.Len(), p.budget.used)
		}
	})
}

// TestConfirmation checks that a release is not sent again once the peer has answered a later message or has confirmed
// the release, and that one which was sent after the answered message still is.
func TestConfirmation(t *testing.T) {
	p := newPeer()
	p.connect()
	p.owe()
	mark := p.outbox.Mark()
	p.owe()
	p.owe()
	p.flush(1)
	p.outbox.ConfirmUpTo(1, mark)
	p.outbox.Confirm(1, 3)
	again := p.outbox.ConnEnded(1, p.now)
	if len(again) != 1 || again[0].CallID != 2 {
		t.Errorf("%d releases are sent again, want the one of call 2", len(again))
	}
	if p.counts != (Counts{Owed: 3, SentAgain: 1}) {
		t.Errorf("counts %+v", p.counts)
	}
}

// TestLimit checks that the releases that were sent are given up first, the oldest before others, then the oldest that
// wait, and that each is counted.
func TestLimit(t *testing.T) {
	p := newPeer()
	p.owe() // call 1 waits
	p.owe() // call 2 waits
	p.outbox.Put(1, &Release{CallID: 3})
	p.outbox.Put(1, &Release{CallID: 4})
	for _, r := range p.outbox.onConn[1] {
		p.outbox.Sent(r, 0)
	}
	for want := 3; want >= 1; want-- {
		p.outbox.GiveUpOldest()
		if p.outbox.Len() != want || p.budget.used != want {
			t.Errorf("%d releases are held and %d counted, want %d", p.outbox.Len(), p.budget.used, want)
		}
	}
	if waiting := p.outbox.TakeWaiting(); len(waiting) != 1 || waiting[0].CallID != 2 || p.counts.Overflowed != 3 {
		t.Errorf("%d releases wait and %d were given up, want that of call 2 and 3", len(waiting), p.counts.Overflowed)
	}
	p.owe()
	p.now += 2e6
	if p.outbox.Expire(p.now); p.outbox.Len() != 0 || p.counts.Expired != 1 {
		t.Errorf("%d releases are held after their time, %d have expired", p.outbox.Len(), p.counts.Expired)
	}
	p.owe()
	if p.outbox.Clear(); p.outbox.Len() != 0 || p.budget.used != 0 {
		t.Errorf("%d releases are held after Clear", p.outbox.Len())
	}
}
