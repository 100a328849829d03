package connlimit

import "testing"

func TestShouldClose(t *testing.T) {
	for _, c := range []struct {
		what string
		l    ConnState
		at   float64
		want bool
	}{
		{"new and silent", ConnState{OpenedAt: 0}, 1000, false},
		{"silent for long", ConnState{OpenedAt: 0}, 2001, true},
		{"half a message", ConnState{ReceivedMessage: true, PartialMessage: true, LastUsedAt: 0}, 2001, true},
		{"quiet for long, and a message has just begun", ConnState{ReceivedMessage: true, PartialMessage: true,
			LastUsedAt: 0, PartialSince: 8000}, 9000, false},
		{"and does not go on", ConnState{ReceivedMessage: true, PartialMessage: true, LastUsedAt: 0, PartialSince: 8000},
			10001, true},
		{"new, and a first message has begun late", ConnState{PartialMessage: true, PartialSince: 1900}, 2500, false},
		{"and drips", ConnState{PartialMessage: true, PartialSince: 1900}, 2801, true},
		{"an answer has not left", ConnState{ReceivedMessage: true, LastUsedAt: 0, HasUnsentData: true, BlockedFor: 9000},
			60000, false},
		{"and never will", ConnState{ReceivedMessage: true, LastUsedAt: 0, HasUnsentData: true, BlockedFor: 10000}, 60000,
			true},
		{"half a message under a setup", ConnState{ReceivedMessage: true, PartialMessage: true, PendingCalls: 1}, 9000,
			false},
		{"it asked lately", ConnState{ReceivedMessage: true, LastUsedAt: 0}, 8000, false},
		{"nothing since", ConnState{ReceivedMessage: true, LastUsedAt: 0}, 12001, true},
		{"a call stands", ConnState{ReceivedMessage: true, LastUsedAt: 0, EstablishedCalls: 1}, 60000, false},
		{"a setup is open", ConnState{ReceivedMessage: true, LastUsedAt: 0, PendingCalls: 1}, 60000, false},
	} {
		if got := c.l.ShouldClose(c.at); got != c.want {
			t.Errorf("%s: %v", c.what, got)
		}
	}
}

// TestChooseEviction: silent connections go first, then idle ones; one with a pending response never.
func TestChooseEviction(t *testing.T) {
	busy, stands := ConnState{
		ReceivedMessage: true,
		LastUsedAt:      1,
		PendingCalls:    1,
	}, ConnState{
		ReceivedMessage:  true,
		LastUsedAt:       2,
		EstablishedCalls: 1,
	}
	idle, later, silent := ConnState{
		ReceivedMessage: true,
		LastUsedAt:      500,
	}, ConnState{
		ReceivedMessage: true,
		LastUsedAt:      600,
	}, ConnState{
		OpenedAt:   700,
		LastUsedAt: 700,
	}
	fresh := ConnState{OpenedAt: 990, LastUsedAt: 990}
	begun, further := ConnState{
		LastUsedAt:     100,
		PartialMessage: true,
		PartialSince:   1000,
	}, ConnState{
		ReceivedMessage: true,
		LastUsedAt:      100,
		PartialMessage:  true,
		PartialSince:    1000,
	}
	unsent := ConnState{ReceivedMessage: true, LastUsedAt: 1, HasUnsentData: true}
	for _, c := range []struct {
		of   []ConnState
		want int
	}{
		{[]ConnState{busy, stands, idle, later, silent, fresh}, 4},
		{[]ConnState{busy, fresh, silent}, 2},
		{[]ConnState{busy, stands, later, idle}, 3},
		{[]ConnState{busy, idle, fresh, stands}, 1}, // who has just come is not shut out by who keeps an idle connection
		{[]ConnState{busy, fresh, stands}, 1},
		{[]ConnState{busy, stands}, 1},
		{[]ConnState{begun, further, unsent, stands}, 0}, // a message has begun: a further one goes last, and an answer never
		{[]ConnState{begun, idle, unsent}, 1},
		{[]ConnState{further, unsent, stands}, 2},
		{[]ConnState{further, unsent}, 0},
		{[]ConnState{unsent, busy}, -1},
		{[]ConnState{busy}, -1},
		{nil, -1},
	} {
		if got := ChooseEviction(1000, c.of); got != c.want {
			t.Errorf("%v: %d, want %d", c.of, got, c.want)
		}
	}
}

func TestMaxConns(t *testing.T) {
	for _, c := range [][4]int{{256, 2, 4, 4}, {256, 30, 4, 2}, {256, 100, 4, 1}, {1024, 0, 4, 4}} {
		if got := MaxConnsPerEndpoint(c[0], c[1], c[2]); got != c[3] {
			t.Errorf("%d descriptors, %d endpoints: %d connections", c[0], c[1], got)
		}
	}
	if n := MaxClientConns(256); n < 256/3 || n+64 > 256-64 {
		t.Errorf("%d callers' connections of 256 descriptors", n)
	}
}
