package connlimit

import "testing"

func TestShouldClose(t *testing.T) {
	for _, c := range []struct {
		name string
		l    ConnState
		at   float64
		want bool
	}{
		{"new, no data", ConnState{OpenedAt: 0}, 1000, false},
		{"no data for too long", ConnState{OpenedAt: 0}, 2001, true},
		{"incomplete for too long", ConnState{ReceivedMessage: true, PartialMessage: true, LastUsedAt: 0}, 2001, true},
		{"message begun after a long idle time", ConnState{ReceivedMessage: true, PartialMessage: true,
			LastUsedAt: 0, PartialSince: 8000}, 9000, false},
		{"message begun after a long idle time, never completed", ConnState{
			ReceivedMessage: true, PartialMessage: true, LastUsedAt: 0, PartialSince: 8000},
			10001, true},
		{"first message begun late", ConnState{PartialMessage: true, PartialSince: 1900}, 2500, false},
		{"first message begun late, arrives slowly", ConnState{PartialMessage: true, PartialSince: 1900}, 2801, true},
		{"unsent answer", ConnState{ReceivedMessage: true, LastUsedAt: 0, HasUnsentData: true, BlockedFor: 9000},
			60000, false},
		{"unsent answer, client does not read", ConnState{
			ReceivedMessage: true, LastUsedAt: 0, HasUnsentData: true, BlockedFor: 10000}, 60000,
			true},
		{"incomplete message, pending call", ConnState{ReceivedMessage: true, PartialMessage: true, PendingCalls: 1}, 9000,
			false},
		{"used recently", ConnState{ReceivedMessage: true, LastUsedAt: 0}, 8000, false},
		{"idle for too long", ConnState{ReceivedMessage: true, LastUsedAt: 0}, 12001, true},
		{"established call", ConnState{ReceivedMessage: true, LastUsedAt: 0, EstablishedCalls: 1}, 60000, false},
		{"pending call", ConnState{ReceivedMessage: true, LastUsedAt: 0, PendingCalls: 1}, 60000, false},
	} {
		if got := c.l.ShouldClose(c.at); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// TestChooseEviction checks that connections without data are closed first, then idle ones, and never one with a
// pending response.
func TestChooseEviction(t *testing.T) {
	busy, established := ConnState{
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
		conns []ConnState
		want  int
	}{
		{[]ConnState{busy, established, idle, later, silent, fresh}, 4},
		{[]ConnState{busy, fresh, silent}, 2},
		{[]ConnState{busy, established, later, idle}, 3},
		{[]ConnState{busy, idle, fresh, established}, 1}, // an idle connection does not exclude a new one
		{[]ConnState{busy, fresh, established}, 1},
		{[]ConnState{busy, established}, 1},
		{[]ConnState{begun, further, unsent, established}, 0}, // later messages rank last, unsent answers never
		{[]ConnState{begun, idle, unsent}, 1},
		{[]ConnState{further, unsent, established}, 2},
		{[]ConnState{further, unsent}, 0},
		{[]ConnState{unsent, busy}, -1},
		{[]ConnState{busy}, -1},
		{nil, -1},
	} {
		if got := ChooseEviction(1000, c.conns); got != c.want {
			t.Errorf("%v: %d, want %d", c.conns, got, c.want)
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
		t.Errorf("%d client connections of 256 descriptors", n)
	}
}
