package binarygateway

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/protocol/dnsdiscovery"
	"cobaltpier/internal/routing"
)

// TestAnyMessages: whatever well-formed messages come from either side, in whatever order, with connections that come
// and go and lists that change, nothing panics, no client gets two answers for a call, and nothing is left when all
// have gone.
func TestAnyMessages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &anyMessages{rt: rt, r: newTestGateway(t)}
		s.r.policy.retries = true
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			s.step()
			s.r.advance(rapid.SampledFrom([]float64{0, 1, 100, 700, 3000}).Draw(rt, "time"))
		}
		for _, client := range s.clients {
			s.r.gateway.OnClosed(s.r.now, client.conn, ClosedNormally)
		}
		s.r.advance(200)
		s.r.setEndpoints(3)
		s.r.advance(50000)
		if open := s.r.gateway.OpenCounts(); open.Calls+open.Upstreams+open.Clients+open.ClientConns > 0 {
			rt.Errorf("left open: %+v", open)
		}
	})
}

// What anyMessages draws from.
var (
	anyID   = rapid.Uint64Range(0, 6)
	anyText = rapid.SampledFrom([]string{
		"", "voice", "video", "1500", "-1", "1e300", "NaN", "dest:0;width:1;via:-1", "dest:1;again:1", "at:a", "at:b",
		"at:nobody", "width:0", "free:3;size:40;busy:0.5;q:2", "free:x;:;;busy:NaN", "cpu_full", "number_busy",
		"all_trunks_busy",
	})
	anyCodes = rapid.SliceOfNDistinct(rapid.SampledFrom([]byte{
		binarymessage.Class, binarymessage.Timeout, binarymessage.Number, binarymessage.Figures,
		binarymessage.RetryAfter, binarymessage.Note, binarymessage.QueueDelay, binarymessage.Report,
		binarymessage.Cause, binarymessage.Description,
	}), 0, 5, rapid.ID[byte])
	anyCause = rapid.SampledFrom([]byte{0, 16, 17, 34, 41, 42, 47, 102})
	anyKind  = rapid.SampledFrom([]byte{
		binarymessage.Setup, binarymessage.Progress, binarymessage.Answer, binarymessage.Release,
		binarymessage.ReleaseComplete, binarymessage.LoadState, binarymessage.HealthCheck,
		binarymessage.HealthResult, 99,
	})
	anyCloseReason = rapid.SampledFrom([]CloseReason{ClosedNormally, ClosedRefused, ClosedReset})
)

// anyMessages is a generated stream of events.
type anyMessages struct {
	rt      *rapid.T
	r       *testGateway
	clients []*testConn
}

func (s *anyMessages) step() {
	rt, r := s.rt, s.r
	r.policy.targets = []int{rapid.IntRange(0, 1).Draw(rt, "pool")}
	clients, dialed := openConns(s.clients), openConns(r.dialed)
	switch what := rapid.IntRange(0, 9).Draw(rt, "what"); {
	case what == 0 || len(clients) == 0:
		s.clients = append(s.clients, r.newClient())
	case what <= 3:
		r.receiveSetup(rapid.SampledFrom(clients).Draw(rt, "caller"), anyID.Draw(rt, "id"))
	case what == 4:
		s.receiveAny(clients)
	case what == 5:
		r.gateway.OnClosed(r.now, rapid.SampledFrom(clients).Draw(rt, "caller").conn, ClosedNormally)
	case what <= 7 && len(dialed) > 0:
		s.receiveAny(dialed)
	case what == 8 && len(dialed) > 0:
		conn := rapid.SampledFrom(dialed).Draw(rt, "conn").conn
		r.gateway.OnClosed(r.now, conn, anyCloseReason.Draw(rt, "how"))
	default:
		s.changeList()
	}
}

func openConns(conns []*testConn) []*testConn {
	return slices.DeleteFunc(slices.Clone(conns), func(c *testConn) bool { return c.closed || c.conn.closed })
}

// receiveAny has any message come on one of the connections.
func (s *anyMessages) receiveAny(conns []*testConn) {
	conn, kind := rapid.SampledFrom(conns).Draw(s.rt, "conn"), anyKind.Draw(s.rt, "kind")
	id := anyID.Draw(s.rt, "id")
	var params []binarymessage.Param
	for _, code := range anyCodes.Draw(s.rt, "codes") {
		if code == binarymessage.Cause {
			params = append(params, binarymessage.CauseParam(anyCause.Draw(s.rt, "cause")))
			continue
		}
		params = append(params, binarymessage.TextParam(code, anyText.Draw(s.rt, "text")))
	}
	s.r.receive(conn, kind, id, params...)
}

// changeList has one endpoint drain or return, and the other come or go.
func (s *anyMessages) changeList() {
	b := readyTarget("b", addrB, 1)
	b.State = rapid.SampledFrom([]routing.State{routing.Ready, routing.Draining}).Draw(s.rt, "state")
	list := []dnsdiscovery.Target{b}
	if rapid.Bool().Draw(s.rt, "a is there") {
		list = append(list, readyTarget("a", addrA, 0))
	}
	s.r.setEndpoints(2, list...)
}

// The longest setup whose timeout is written shorter than it is said again does not fit any more: it is refused.
func TestLongestSetup(t *testing.T) {
	r := newTestGateway(t)
	r.policy.targets = []int{0}
	c := r.newClient()
	of := []binarymessage.Param{
		binarymessage.TextParam(binarymessage.Class, "voice"),
		binarymessage.TextParam(binarymessage.Timeout, "9e5"),
		binarymessage.TextParam(binarymessage.Number, "1"),
	}
	room := binarymessage.MaxLength - 9 - 3 - 3*3 - len("voice9e51")
	r.receive(
		c,
		binarymessage.Setup,
		7,
		append(of, binarymessage.Param{Code: binarymessage.Description, Value: make([]byte, room)})...)
	r.expect(c.lastMessage(7), binarymessage.Release, binarymessage.Invalid)
	r.receive(
		c,
		binarymessage.Setup,
		8,
		append(of, binarymessage.Param{Code: binarymessage.Description, Value: make([]byte, room-64)})...)
	r.connOf(8)
}
