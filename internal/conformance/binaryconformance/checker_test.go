package binaryconformance

import (
	"testing"

	"cobaltpier/internal/protocol/binarymessage"
)

// tape is traffic made by hand.
type tape struct {
	*Checker
	at float64
}

func begin() *tape {
	k := New(Rules{AnswerGrace: 50, DrainGrace: 250, HoldOff: 500, ReleaseWithin: 1000, ReleaseWithinSilent: 8000})
	k.SetClientConnected(0, true)
	return &tape{k, 0}
}

func (t *tape) wait(ms float64) *tape { t.at += ms; return t }
func (t *tape) setUp() *tape {
	t.OnClientMessage(
		t.at,
		binarymessage.Append(nil, binarymessage.Setup, 7, binarymessage.TextParam(binarymessage.Timeout, "2000")),
	)
	return t
}
func (t *tape) ring(who string, line int) *tape {
	t.OnMessageToEndpoint(t.at, who, line, binarymessage.Append(nil, binarymessage.Setup, 7))
	return t
}
func (t *tape) off(who string, line int) *tape {
	t.OnMessageToEndpoint(
		t.at,
		who,
		line,
		binarymessage.Append(nil, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal)),
	)
	return t
}
func (t *tape) stands(who string, line int) *tape {
	t.OnEndpointMessage(
		t.at,
		who,
		line,
		binarymessage.Append(nil, binarymessage.Answer, 7, binarymessage.TextParam(binarymessage.Description, "x")),
	)
	return t
}
func (t *tape) ends(who string, line int, cause byte) *tape {
	t.OnEndpointMessage(
		t.at,
		who,
		line,
		binarymessage.Append(nil, binarymessage.Release, 7, binarymessage.CauseParam(cause)),
	)
	return t
}
func (t *tape) answer() *tape {
	t.OnMessageToClient(t.at, binarymessage.Append(nil, binarymessage.Answer, 7))
	return t
}
func (t *tape) release() *tape {
	t.OnMessageToClient(
		t.at,
		binarymessage.Append(nil, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Congested)),
	)
	return t
}

// Traffic that keeps the rules is found good, and each way to break one is found.
func TestJudge(t *testing.T) {
	for what, c := range map[string]struct {
		of   *tape
		want int
	}{
		"a call": {begin().setUp().ring("a", 1).wait(50).stands("a", 1).answer().wait(500).ends("a", 1,
			binarymessage.Normal).release(), 0},
		"refused": {begin().setUp().release(), 0},
		"tried twice": {begin().setUp().ring("a", 1).ends("a", 1, binarymessage.NoCircuit).ring("b", 2).
			stands("b", 2).answer().ends("b", 2, binarymessage.Normal).release(), 0},
		"the clear wait kept": {begin().setUp().ring("a", 1).off("a", 1).wait(500).ring("b", 2).ends("b", 2,
			binarymessage.Fault).release(), 0},
		"never answered":            {begin().setUp().wait(3000), 1},
		"answered late":             {begin().setUp().wait(2051).release(), 1},
		"answered twice":            {begin().setUp().release().release(), 1},
		"served without a switch":   {begin().setUp().answer(), 1},
		"a set-up after the answer": {begin().setUp().release().ring("a", 1), 1},
		"released twice": {begin().setUp().ring("a", 1).stands("a", 1).answer().ends("a", 1,
			binarymessage.Normal).release().release(), 1},
		"a set-up nobody sent": {begin().ring("a", 1), 1},
		"two rings":            {begin().setUp().ring("a", 1).ring("b", 2).off("a", 1).off("b", 2).release(), 2},
		"the clear wait not kept": {begin().setUp().ring("a", 1).off("a", 1).wait(499).ring("b", 2).ends("b", 2,
			binarymessage.Fault).release(), 5},
		"the same after a reset": {begin().setUp().ring("a", 1).ends("a", 1, binarymessage.Failure).wait(499).ring("b", 2).
			ends("b", 2, binarymessage.Fault).release(), 5},
		"over, and nobody told": {begin().setUp().ring("a", 1).stands("a", 1).answer().ends("a", 1, binarymessage.Normal).
			wait(2000), 6},
	} {
		c.of.Finish(c.of.at)
		if got := c.of.Findings; (c.want == 0) != (len(got) == 0) || c.want > 0 && got[0].Rule != c.want {
			t.Errorf("%s: found %v, want rule %d", what, got, c.want)
		}
	}
	// what lies between them: lines, drains, deaths
	d := begin()
	d.OnEndpointState(0, "a", false)
	d.setUp().wait(251).ring("a", 1)
	if len(d.Findings) != 1 || d.Findings[0].Rule != 3 {
		t.Errorf("a drain: %v", d.Findings)
	}
	l := begin().setUp().ring("a", 1)
	l.OnConnClosed(l.at, "a", 1)
	l.wait(100).ring("b", 2)
	if len(l.Findings) != 1 || l.Findings[0].Rule != 5 {
		t.Errorf("a line that ended: %v", l.Findings)
	}
	x := begin().setUp().ring("a", 1).stands("a", 1).answer()
	x.OnEndpointDied(x.at, "a")
	late := begin().setUp().ring("a", 1).stands("a", 1).answer().ends("a", 1, binarymessage.Normal).wait(1100).release()
	if len(late.Findings) != 1 || late.Findings[0].Rule != 6 {
		t.Errorf("told late: %v", late.Findings)
	}
	x.wait(7900).Finish(x.at)
	if len(x.Findings) > 0 {
		t.Errorf("it is early: %v", x.Findings)
	}
	if x.wait(200).Finish(x.at); len(x.Findings) != 1 || x.Findings[0].Rule != 6 {
		t.Errorf("a switch that died: %v", x.Findings)
	}
}
