package binarygateway

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/protocol/dnsdiscovery"
	"cobaltpier/internal/routing"
)

// TestAnyMessages sends random well-formed messages from both sides in random order, while connections open and
// close and the endpoint list changes. Nothing may panic, and no state may remain once all connections and
// endpoints are gone.
func TestAnyMessages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &anyMessages{rt: rt, gateway: newTestGateway(t)}
		s.gateway.policy.retryAfterFailure = true
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			s.step()
			s.gateway.advance(rapid.SampledFrom([]float64{0, 1, 100, 700, 3000}).Draw(rt, "time"))
		}
		for _, client := range s.clients {
			s.gateway.gateway.OnClosed(s.gateway.now, client.gatewayConn, ClosedNormally)
		}
		s.gateway.advance(200)
		s.gateway.setEndpoints(3)
		s.gateway.advance(50000)
		if open := s.gateway.gateway.OpenCounts(); open.Calls+open.Upstreams+open.Clients+open.ClientConns > 0 {
			rt.Errorf("left open: %+v, want nothing", open)
		}
	})
}

// Generators of message contents and events.
var (
	anyID   = rapid.Uint64Range(0, 6)
	anyText = rapid.SampledFrom([]string{
		"", "voice", "video", "1500", "-1", "1e300", "NaN", "dest:0;width:1;via:-1", "dest:1;again:1", "at:a", "at:b",
		"at:nobody", "width:0", "free:3;size:40;busy:0.5;q:2", "free:x;:;;busy:NaN", "cpu_full", "number_busy",
		"all_trunks_busy",
	})
	anyCodes = rapid.SliceOfNDistinct(rapid.SampledFrom([]byte{
		binarymessage.Class, binarymessage.Timeout, binarymessage.Number, binarymessage.RoutingParams,
		binarymessage.RetryAfter, binarymessage.Note, binarymessage.QueueDelay, binarymessage.LoadReport,
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
	gateway *testGateway
	clients []*testConn
}

// step makes one event of the stream happen.
func (s *anyMessages) step() {
	rt, g := s.rt, s.gateway
	g.policy.attemptOrder = []int{rapid.IntRange(0, 1).Draw(rt, "target")}
	clients, dialed := openConns(s.clients), openConns(g.dialed)
	switch event := rapid.IntRange(0, 9).Draw(rt, "event"); {
	case event == 0 || len(clients) == 0:
		s.clients = append(s.clients, g.acceptClient())
	case event <= 3:
		g.deliverSetup(rapid.SampledFrom(clients).Draw(rt, "caller"), anyID.Draw(rt, "id"))
	case event == 4:
		s.receiveAny(clients)
	case event == 5:
		g.gateway.OnClosed(g.now, rapid.SampledFrom(clients).Draw(rt, "caller").gatewayConn, ClosedNormally)
	case event <= 7 && len(dialed) > 0:
		s.receiveAny(dialed)
	case event == 8 && len(dialed) > 0:
		conn := rapid.SampledFrom(dialed).Draw(rt, "conn").gatewayConn
		g.gateway.OnClosed(g.now, conn, anyCloseReason.Draw(rt, "close reason"))
	default:
		s.changeList()
	}
}

func openConns(conns []*testConn) []*testConn {
	return slices.DeleteFunc(slices.Clone(conns), func(c *testConn) bool { return c.closed || c.gatewayConn.closed })
}

// receiveAny delivers a random message on one of the connections.
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
	s.gateway.deliver(conn, kind, id, params...)
}

// changeList makes one endpoint drain or become ready, and adds or removes the other.
func (s *anyMessages) changeList() {
	b := readyEntry("b", addrB, 1)
	b.State = rapid.SampledFrom([]routing.State{routing.Ready, routing.Draining}).Draw(s.rt, "state")
	list := []dnsdiscovery.Entry{b}
	if rapid.Bool().Draw(s.rt, "a is listed") {
		list = append(list, readyEntry("a", addrA, 0))
	}
	s.gateway.setEndpoints(2, list...)
}

// TestLongestSetup: the timeout 9e5 takes more digits when it is rewritten for the endpoint, so a setup of the
// maximum length would no longer fit into a message. It is refused as invalid.
func TestLongestSetup(t *testing.T) {
	g := newTestGateway(t)
	g.policy.attemptOrder = []int{0}
	c := g.acceptClient()
	params := []binarymessage.Param{
		binarymessage.TextParam(binarymessage.Class, "voice"),
		binarymessage.TextParam(binarymessage.Timeout, "9e5"),
		binarymessage.TextParam(binarymessage.Number, "1"),
	}
	descriptionLength := binarymessage.MaxLength - 9 - 3 - 3*3 - len("voice9e51")
	g.deliver(
		c,
		binarymessage.Setup,
		7,
		append(params, binarymessage.Param{Code: binarymessage.Description, Value: make([]byte, descriptionLength)})...)
	g.expectMessage(c.lastMessage(7), binarymessage.Release, binarymessage.Invalid)
	g.deliver(
		c,
		binarymessage.Setup,
		8,
		append(params, binarymessage.Param{Code: binarymessage.Description, Value: make([]byte, descriptionLength-64)})...)
	g.setupConn(8)
}
