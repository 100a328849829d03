package binaryconformance

import (
	"testing"

	"cobaltpier/internal/protocol/binarymessage"
)

// traffic reports events of call 7 to a checker, at a time that wait advances.
type traffic struct {
	*Checker
	at         float64
	clientConn int // on which the gateway releases the call
}

func begin() *traffic {
	k := New(Rules{AnswerGrace: 50, DrainGrace: 250, HoldOff: 500, ReleaseWithin: 1000, ReleaseWithinSilent: 8000})
	k.SetClientConnected(0, true)
	return &traffic{k, 0, 1}
}

func (t *traffic) wait(ms float64) *traffic { t.at += ms; return t }
func (t *traffic) setup() *traffic {
	t.OnClientMessage(
		t.at,
		binarymessage.Append(nil, binarymessage.Setup, 7, binarymessage.TextParam(binarymessage.Timeout, "2000")),
	)
	return t
}
func (t *traffic) attempt(endpoint string, conn int) *traffic {
	t.OnMessageToEndpoint(t.at, endpoint, conn, binarymessage.Append(nil, binarymessage.Setup, 7))
	return t
}
func (t *traffic) cancel(endpoint string, conn int) *traffic {
	t.OnMessageToEndpoint(
		t.at,
		endpoint,
		conn,
		binarymessage.Append(nil, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal)),
	)
	return t
}
func (t *traffic) answered(endpoint string, conn int) *traffic {
	t.OnEndpointMessage(
		t.at,
		endpoint,
		conn,
		binarymessage.Append(nil, binarymessage.Answer, 7, binarymessage.TextParam(binarymessage.Description, "x")),
	)
	return t
}
func (t *traffic) released(endpoint string, conn int, cause byte) *traffic {
	t.OnEndpointMessage(
		t.at,
		endpoint,
		conn,
		binarymessage.Append(nil, binarymessage.Release, 7, binarymessage.CauseParam(cause)),
	)
	return t
}
func (t *traffic) answer() *traffic {
	t.OnMessageToClient(t.at, 1, binarymessage.Append(nil, binarymessage.Answer, 7))
	return t
}
func (t *traffic) release() *traffic {
	t.OnMessageToClient(
		t.at,
		t.clientConn,
		binarymessage.Append(nil, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Congested)),
	)
	return t
}

func (t *traffic) newClientConn() *traffic {
	t.OnClientConnClosed(t.clientConn)
	t.clientConn++
	return t
}
func (t *traffic) hangUp() *traffic {
	t.OnClientMessage(
		t.at,
		binarymessage.Append(nil, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal)),
	)
	return t
}
func (t *traffic) unreadable(endpoint string) *traffic {
	t.OnUnreadableRelease(t.at, endpoint, 7)
	return t
}
func (t *traffic) nonIdempotent() *traffic {
	t.Rules.NonIdempotent = map[string]bool{"": true} // the class of setup
	return t
}

// findingCase is traffic and the rule that it breaks; 0: none.
type findingCase struct {
	traffic *traffic
	want    int
}

func (c findingCase) check(t *testing.T, name string) {
	t.Helper()
	c.traffic.Finish(c.traffic.at)
	if got := c.traffic.Findings; (c.want == 0) != (len(got) == 0) || c.want > 0 && got[0].Rule != c.want {
		t.Errorf("%s: found %v, want rule %d", name, got, c.want)
	}
}

// TestReleaseAndExecutionFindings checks the same for the rules of this package.
func TestReleaseAndExecutionFindings(t *testing.T) {
	for name, c := range map[string]findingCase{
		"released again on another connection": {begin().setup().attempt("a", 1).answered("a", 1).answer().
			released("a", 1, binarymessage.Normal).release().newClientConn().release(), 0},
		"released twice on another connection": {begin().setup().attempt("a", 1).answered("a", 1).answer().
			released("a", 1, binarymessage.Normal).release().newClientConn().release().release(), 1},
		"rejected after an attempt": {begin().setup().attempt("a", 1).cancel("a", 1).release(), 0},
		"the same, not idempotent":  {begin().nonIdempotent().setup().attempt("a", 1).cancel("a", 1).release(), 7},
		"rejected, not idempotent": {begin().nonIdempotent().setup().attempt("a", 1).
			released("a", 1, binarymessage.NoCircuit).release(), 0},
		"attempted again, not idempotent": {begin().nonIdempotent().setup().attempt("a", 1).cancel("a", 1).wait(500).
			attempt("b", 2).answered("b", 2).answer().released("b", 2, binarymessage.Normal).release(), 7},
		"released by the caller": {begin().setup().attempt("a", 1).answered("a", 1).answer().hangUp().wait(100).
			cancel("a", 1).wait(9000), 0},
		"released by the caller alone": {begin().setup().attempt("a", 1).answered("a", 1).answer().hangUp().
			wait(8100), 8},
		"told to be over while it stands": {begin().setup().attempt("a", 1).answered("a", 1).answer().release().
			wait(8100), 8},
		"told to be over, and released at the switch": {begin().setup().attempt("a", 1).answered("a", 1).answer().
			release().wait(5000).cancel("a", 1).wait(9000), 0},
		"ended long after its caller released it": {begin().setup().attempt("a", 1).answered("a", 1).answer().hangUp().
			wait(8100).released("a", 1, binarymessage.Normal), 8},
		"an unreadable release": {begin().setup().attempt("a", 1).answered("a", 1).answer().unreadable("a").
			wait(2000), 6},
		"an unreadable release, repeated": {begin().setup().attempt("a", 1).answered("a", 1).answer().unreadable("a").
			wait(900).released("a", 1, binarymessage.Normal).release(), 0},
	} {
		c.check(t, name)
	}
}

// TestFindings checks that traffic that keeps the rules has no findings, and that each way to break one is found.
func TestFindings(t *testing.T) {
	for name, c := range map[string]findingCase{
		"an established call": {begin().setup().attempt("a", 1).wait(50).answered("a", 1).answer().wait(500).
			released("a", 1, binarymessage.Normal).release(), 0},
		"rejected": {begin().setup().release(), 0},
		"a second attempt": {begin().setup().attempt("a", 1).released("a", 1, binarymessage.NoCircuit).
			attempt("b", 2).answered("b", 2).answer().released("b", 2, binarymessage.Normal).release(), 0},
		"an attempt after the hold-off": {begin().setup().attempt("a", 1).cancel("a", 1).wait(500).attempt("b", 2).
			released("b", 2, binarymessage.Fault).release(), 0},
		"never answered":            {begin().setup().wait(3000), 1},
		"answered late":             {begin().setup().wait(2051).release(), 1},
		"answered twice":            {begin().setup().release().release(), 1},
		"answered without a switch": {begin().setup().answer(), 1},
		"a setup after the answer":  {begin().setup().release().attempt("a", 1), 1},
		"released twice": {begin().setup().attempt("a", 1).answered("a", 1).answer().
			released("a", 1, binarymessage.Normal).release().release(), 1},
		"a setup of an unknown call": {begin().attempt("a", 1), 1},
		"two attempts in flight": {begin().setup().attempt("a", 1).attempt("b", 2).cancel("a", 1).cancel("b", 2).
			release(), 2},
		"an attempt within the hold-off": {begin().setup().attempt("a", 1).cancel("a", 1).wait(499).attempt("b", 2).
			released("b", 2, binarymessage.Fault).release(), 5},
		"an attempt within the hold-off after a reset": {begin().setup().attempt("a", 1).
			released("a", 1, binarymessage.Failure).wait(499).attempt("b", 2).released("b", 2, binarymessage.Fault).
			release(), 5},
		"ended, and the caller not told": {begin().setup().attempt("a", 1).answered("a", 1).answer().
			released("a", 1, binarymessage.Normal).wait(2000), 6},
	} {
		c.check(t, name)
	}
	// events other than messages: draining, closed connections, switches that end
	drain := begin()
	drain.OnEndpointState(0, "a", false)
	drain.setup().wait(251).attempt("a", 1)
	if len(drain.Findings) != 1 || drain.Findings[0].Rule != 3 {
		t.Errorf("a draining switch: %v", drain.Findings)
	}
	lost := begin().setup().attempt("a", 1)
	lost.OnConnClosed(lost.at, "a", 1)
	lost.wait(100).attempt("b", 2)
	if len(lost.Findings) != 1 || lost.Findings[0].Rule != 5 {
		t.Errorf("a closed connection: %v", lost.Findings)
	}
	died := begin().setup().attempt("a", 1).answered("a", 1).answer()
	died.OnEndpointDied(died.at, "a")
	late := begin().setup().attempt("a", 1).answered("a", 1).answer().released("a", 1, binarymessage.Normal).
		wait(1100).release()
	if len(late.Findings) != 1 || late.Findings[0].Rule != 6 {
		t.Errorf("a late release: %v", late.Findings)
	}
	died.wait(7900).Finish(died.at)
	if len(died.Findings) > 0 {
		t.Errorf("a switch that died, before the limit: %v", died.Findings)
	}
	if died.wait(200).Finish(died.at); len(died.Findings) != 1 || died.Findings[0].Rule != 6 {
		t.Errorf("a switch that died, after the limit: %v", died.Findings)
	}
}
