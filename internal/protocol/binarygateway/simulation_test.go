package binarygateway_test

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"testing"

	"pgregory.net/rapid"

	"cobaltpier/internal/conformance/binaryconformance"
	"cobaltpier/internal/decision/loadshed"
	"cobaltpier/internal/deployment"
	"cobaltpier/internal/detrand"
	"cobaltpier/internal/emulator/binarystandin"
	"cobaltpier/internal/protocol/binarygateway"
	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/router"
	"cobaltpier/internal/routing"
)

func scriptedPolicy(s *routing.Settings, host routing.Host) routing.Policy {
	return router.New(s, host)
}

func newSimulation(seed uint64, mk routing.PolicyFactory, off routing.Rule) *binarystandin.World {
	set := &routing.Settings{
		Gateways:           1,
		Seed:               seed,
		TickInterval:       1,
		MaxAttempts:        5,
		CancelEnabled:      true,
		RetryAfterEnabled:  true,
		MaxRetryAfter:      2000,
		RetransmitInterval: 400,
		RetryHoldOff:       300,
		AnswerGrace:        20,
		SlowStartFraction:  0.4,
		SlowStartDuration:  3000,
		OverloadFactor:     2.5,
		OverloadWindow:     1000,
		Classes: []*routing.Class{
			{Name: "voice", LatencyObjective: 1000, Timeout: 3000, Weight: 1, MeanHoldingTime: 800, Idempotent: true},
		},
	}
	j := binaryconformance.New(
		binaryconformance.Rules{
			AnswerGrace:         50,
			DrainGrace:          250,
			HoldOff:             300,
			ReleaseWithin:       1000,
			ReleaseWithinSilent: 8000,
		},
	)
	return binarystandin.New(
		seed,
		&binarygateway.Config{Settings: set, Connections: deployment.Connections{ConnectTimeout: 500},
			MaxDescriptors: 256, AnswerMargin: 5, LoadShedding: loadshed.Gate{MaxPending: 500}, DisabledGuard: off},
		mk,
		3,
		j,
	)
}

// share draws a share of something going wrong: often none.
func share(t *rapid.T, what string, most float64) float64 {
	if rapid.Bool().Draw(t, what+" none") {
		return 0
	}
	return rapid.Float64Range(0, most).Draw(t, what)
}

// Whatever callers, switches and the network do, the traffic keeps the rules.
func TestRulesInTrouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), scriptedPolicy, 0)
		w.Faults = binarystandin.Faults{
			Malformed:     share(t, "spoilt", 0.1),
			Late:          share(t, "late", 0.2),
			Unanswered:    share(t, "never", 0.2),
			Duplicate:     share(t, "twice", 0.3),
			Unsolicited:   share(t, "ahead", 0.3),
			Reset:         share(t, "reset", 0.1),
			Overloaded:    share(t, "full", 0.3),
			Failed:        share(t, "bad", 0.2),
			Cut:           share(t, "cut", 0.5),
			CallerLeaves:  share(t, "leaves", 0.5),
			CallerHangsUp: share(t, "hangs", 0.5),
			ClientCloses:  share(t, "closes", 0.1),
			Blocked:       share(t, "stuck", 0.2),
			Fragmented:    rapid.Bool().Draw(t, "split"),
			Drains:        share(t, "drains", 0.3),
			Crashes:       share(t, "deaths", 0.2),
			Vanish:        share(t, "silents", 0.2),
		}
		w.StopAt = 8000
		w.Run(22000)
		for i, f := range w.Checker.Findings {
			if i < 5 {
				t.Errorf("%v", f)
			}
		}
		if w.Checker.Totals.SetUps < 20 {
			t.Errorf("only %d setups came", w.Checker.Totals.SetUps)
		}
	})
}

// reckless is a module that keeps no rule: it attempts whatever it knows whenever it likes, and answers late or never.
type reckless struct {
	h     routing.Host
	pools []*routing.Endpoint
	seed  uint64
	draws uint64
}

func (m *reckless) chance() float64 {
	m.draws++
	return detrand.Float64(m.seed, m.draws)
}

func (m *reckless) act(now float64, c *routing.Call) {
	if m.chance() < 0.3 && c.InFlight != nil {
		m.h.CancelAttempt(c.InFlight)
	}
	if len(m.pools) > 0 && m.chance() < 0.8 {
		m.h.StartAttempt(c, m.pools[int(m.chance()*float64(len(m.pools)))], 200*m.chance())
	}
	if m.chance() < 0.1 {
		m.h.Fail(c)
		m.h.Reject(c, 100)
	}
	if m.draws < 40000 {
		m.h.ScheduleWakeup(now+400*m.chance(), c)
	}
}
func (m *reckless) OnEndpoints(_ float64, of []*routing.Endpoint)  { m.pools = append(m.pools, of...) }
func (m *reckless) OnCall(now float64, c *routing.Call)            { m.act(now, c) }
func (m *reckless) OnAnswer(now float64, attempt *routing.Attempt) { m.act(now, attempt.Call) }
func (m *reckless) OnAttemptEnd(now float64, attempt *routing.Attempt, _ bool) {
	m.act(now, attempt.Call)
}
func (m *reckless) OnHangup(now float64, c *routing.Call)               { m.act(now, c) }
func (m *reckless) OnLoadReport(float64, *routing.Endpoint, bool, bool) {}
func (m *reckless) OnGossip(float64, int, []byte)                       {}
func (m *reckless) OnWakeup(now float64, c *routing.Call)               { m.act(now, c) }

// A module that keeps no rule breaks none past the guards; each guard switched off is seen by the judge.
func TestGuards(t *testing.T) {
	for off := range 6 {
		t.Run(fmt.Sprint(off), func(t *testing.T) {
			found := map[int]int{}
			for seed := range uint64(4) {
				w := newSimulation(
					seed,
					func(_ *routing.Settings, h routing.Host) routing.Policy { return &reckless{h: h, seed: seed} },
					routing.Rule(off),
				)
				w.Faults = binarystandin.Faults{Late: 0.2, Overloaded: 0.3, Drains: 0.4, Unanswered: 0.2}
				w.StopAt = 6000
				w.Run(12000)
				for i, f := range w.Checker.Findings {
					found[f.Rule]++
					if off == 0 && i < 3 {
						t.Error(f)
					}
				}
			}
			// rule 1 has no such switch here: a call that has its answer has let go of what could be sent
			if off > 1 && off != 4 && found[off] == 0 {
				t.Errorf("the guard of rule %d is off, and the judge found %v", off, found)
			}
		})
	}
}

// Ids, connections and switches are ever new: what is held afterwards is what is held at the start.
func TestNothingIsLeft(t *testing.T) {
	w := newSimulation(5, scriptedPolicy, 0)
	w.Rate = 60
	w.Faults = binarystandin.Faults{
		Late:         0.05,
		Unanswered:   0.02,
		Duplicate:    0.1,
		Reset:        0.02,
		Cut:          0.2,
		CallerLeaves: 0.1,
		ClientCloses: 0.1,
		Drains:       0.3,
		Crashes:      0.1,
		Malformed:    0.02,
	}
	w.StopAt = 40000
	w.Run(100000)
	open := w.Gateway.OpenCounts()
	if open.Calls > 0 || open.Upstreams > 4 || open.Clients > 1 || open.ClientConns > 4 || open.Timers > 40 {
		t.Errorf("left open: %+v", open)
	}
	if late, ends := w.Gateway.RememberedCounts(); late+ends > 0 {
		t.Errorf("%d and %d are remembered", late, ends)
	}
	for _, f := range w.Checker.Findings {
		t.Error(f)
	}
}

// Two runs with the same seed exchange the same messages at the same times, byte for byte. The checksum is logged, so
// that a change which must not alter behaviour can be compared with the commit before it.
func TestSameSeedSameTraffic(t *testing.T) {
	for seed := range uint64(3) {
		first, messages := trafficChecksum(seed)
		second, _ := trafficChecksum(seed)
		t.Logf("seed %d: %d messages, checksum %016x", seed, messages, first)
		if first != second {
			t.Errorf("seed %d: checksums %016x and %016x differ", seed, first, second)
		}
		if messages < 1000 {
			t.Errorf("seed %d: only %d messages were exchanged", seed, messages)
		}
	}
}

// trafficChecksum plays a run with faults and hashes every message that crosses the gateway's sockets.
func trafficChecksum(seed uint64) (checksum uint64, messages int) {
	w := newSimulation(seed, scriptedPolicy, 0)
	w.Rate = 60
	w.Faults = binarystandin.Faults{
		Late:          0.05,
		Unanswered:    0.02,
		Duplicate:     0.1,
		Unsolicited:   0.05,
		Reset:         0.02,
		Overloaded:    0.1,
		Failed:        0.1,
		Cut:           0.2,
		CallerLeaves:  0.1,
		CallerHangsUp: 0.1,
		ClientCloses:  0.05,
		Blocked:       0.1,
		Fragmented:    true,
		Drains:        0.3,
		Crashes:       0.1,
		Vanish:        0.1,
		Malformed:     0.02,
	}
	w.StopAt = 20000
	h := fnv.New64a()
	w.Gateway.OnMessage = func(conn *binarygateway.Conn, out bool, msg binarymessage.Message) {
		header := binary.LittleEndian.AppendUint64(nil, math.Float64bits(w.Now()))
		if out {
			header = append(header, 1)
		}
		h.Write(header)
		h.Write([]byte(conn.PeerName()))
		h.Write(msg)
		messages++
	}
	w.Run(40000)
	return h.Sum64(), messages
}
