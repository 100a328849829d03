package binarygateway

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/protocol/dnsdiscovery"
	"cobaltpier/internal/routing"
)

// Whatever well-formed messages come from either side, in whatever order, with connections that come and go and lists
// that change: nothing falls over, no caller hears two answers for a call, and nothing is left when all have gone.
func TestAnyMessages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newTestGateway(t)
		r.policy.retries = true
		var callers []*testConn
		ids := rapid.Uint64Range(0, 6)
		text := rapid.SampledFrom(
			[]string{
				"",
				"voice",
				"video",
				"1500",
				"-1",
				"1e300",
				"NaN",
				"dest:0;width:1;via:-1",
				"dest:1;again:1",
				"at:a",
				"at:b",
				"at:nobody",
				"width:0",
				"free:3;size:40;busy:0.5;q:2",
				"free:x;:;;busy:NaN",
				"cpu_full",
				"number_busy",
				"all_trunks_busy",
			},
		)
		codes := []byte{
			binarymessage.Class,
			binarymessage.Timeout,
			binarymessage.Number,
			binarymessage.Figures,
			binarymessage.RetryAfter,
			binarymessage.Note,
			binarymessage.QueueDelay,
			binarymessage.Report,
			binarymessage.Cause,
			binarymessage.Description,
		}
		kinds := rapid.SampledFrom(
			[]byte{
				binarymessage.Setup,
				binarymessage.Progress,
				binarymessage.Answer,
				binarymessage.Release,
				binarymessage.ReleaseComplete,
				binarymessage.LoadState,
				binarymessage.HealthCheck,
				binarymessage.HealthResult,
				99,
			},
		)
		some := func() (of []binarymessage.Param) {
			for _, c := range rapid.SliceOfNDistinct(rapid.SampledFrom(codes), 0, 5, rapid.ID[byte]).Draw(rt, "codes") {
				if c == binarymessage.Cause {
					of = append(
						of,
						binarymessage.CauseParam(rapid.SampledFrom([]byte{0, 16, 17, 34, 41, 42, 47, 102}).Draw(rt, "cause")),
					)
					continue
				}
				of = append(of, binarymessage.TextParam(c, text.Draw(rt, "text")))
			}
			return
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			r.policy.targets = []int{rapid.IntRange(0, 1).Draw(rt, "pool")}
			live := slices.DeleteFunc(slices.Clone(callers), func(w *testConn) bool { return w.closed || w.conn.closed })
			lines := slices.DeleteFunc(slices.Clone(r.dialed), func(w *testConn) bool { return w.closed || w.conn.closed })
			switch what := rapid.IntRange(0, 9).Draw(rt, "what"); {
			case what == 0 || len(live) == 0:
				callers = append(callers, r.newClient())
			case what <= 3:
				r.receiveSetup(rapid.SampledFrom(live).Draw(rt, "caller"), ids.Draw(rt, "id"))
			case what == 4:
				r.receive(rapid.SampledFrom(live).Draw(rt, "caller"), kinds.Draw(rt, "kind"), ids.Draw(rt, "id"), some()...)
			case what == 5:
				r.gateway.OnClosed(r.now, rapid.SampledFrom(live).Draw(rt, "caller").conn, ClosedNormally)
			case what <= 7 && len(lines) > 0:
				r.receive(rapid.SampledFrom(lines).Draw(rt, "line"), kinds.Draw(rt, "kind"), ids.Draw(rt, "id"), some()...)
			case what == 8 && len(lines) > 0:
				r.gateway.OnClosed(
					r.now,
					rapid.SampledFrom(lines).Draw(rt, "line").conn,
					rapid.SampledFrom([]CloseReason{ClosedNormally, ClosedRefused, ClosedReset}).Draw(rt, "how"),
				)
			default:
				b := readyTarget("b", addrB, 1)
				b.State = rapid.SampledFrom([]routing.State{routing.Ready, routing.Draining}).Draw(rt, "state")
				l := []dnsdiscovery.Target{b}
				if rapid.Bool().Draw(rt, "a is there") {
					l = append(l, readyTarget("a", addrA, 0))
				}
				r.setEndpoints(2, l...)
			}
			r.advance(rapid.SampledFrom([]float64{0, 1, 100, 700, 3000}).Draw(rt, "time"))
		}
		for _, w := range callers {
			r.gateway.OnClosed(r.now, w.conn, ClosedNormally)
		}
		r.advance(200)
		r.setEndpoints(3)
		r.advance(50000)
		if open := r.gateway.OpenCounts(); open.Calls+open.Upstreams+open.Clients+open.ClientConns > 0 {
			rt.Errorf("left open: %+v", open)
		}
	})
}

// The longest setup whose timeout is written shorter than it is said again does not fit any more: it is refused.
func TestLongestSetUp(t *testing.T) {
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
