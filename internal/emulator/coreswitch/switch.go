// Package coreswitch is a stand-in for a core switch: a SIP-over-UDP user agent in front of a simulated processor
// that serves one job at a time. It does no I/O and reads no clock. Its figures come from a model, not from a real
// switch.
package coreswitch

//tally:standin

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"

	"github.com/emiago/sipgo/sip"

	"cobaltpier/internal/protocol/siptransaction"
	"cobaltpier/internal/timerqueue"
)

// Model holds the parameters of a switch. Times are in milliseconds; processor times are those at full speed. Models
// are stored as JSON under the Go names of their fields; a renamed field keeps its old name in a tag.
type Model struct {
	Name           string
	Setup          float64 // processor time of a setup
	Answer         float64 // processor time of its answer
	Release        float64
	Repeat         float64 // processor time of a retransmitted INVITE whose setup is queued
	Reject         float64 // processor time of a rejection
	Probe          float64
	Lines          int
	WaitLimit      float64 // setups are rejected when the queueing delay is longer
	NamesWait      bool    // rejections carry Retry-After
	WorksOn        bool    // a canceled setup still takes its processor time
	ErrorRate      float64
	ColdShare      float64  // fraction of the full speed at the start
	Warm           float64  // time from the start to full speed
	OverloadFactor float64  `json:"TipTimes"`  // rule 4: a cold switch fails when work above this multiple of its capacity
	OverloadWindow float64  `json:"TipWindow"` // arrives within this window
	Reports        []string // reported values: util, queue, wait, rate, loss
	ReportInterval float64  `json:"Refresh"`
	ReportDelay    float64  `json:"Delay"` // age at which a report becomes visible
	ReportNoise    float64  `json:"Noise"`
	Times          siptransaction.TimerValues
	// Parse reads datagrams; nil: siptransaction.Parse.
	Parse func([]byte) (sip.Message, error) `json:"-"`
}

// Switch is a switch process with its processor. After it is killed or stopped, a new one may take over its address.
type Switch struct {
	Model
	Overloaded     bool // it failed by overload in slow start and stays down
	OverloadedAt   float64
	Slowdown       float64 // factor by which it is slower
	OtherLoad      float64 // share of the processor taken by other work
	SetupsReceived int
	SetupsDone     int
	now            float64
	startedAt      float64 // -Inf: long ago
	random         siptransaction.Generator
	timers         timerqueue.Queue
	sip            *siptransaction.Layer
	calls          map[string]*call // by local tag
	linesInUse     int
	linesLost      int    // lines out of service
	setupQueue     []*job // setups and probes, served first
	otherQueue     []*job // answers, releases and rejections
	busy           bool
	busySince      float64
	busyTime       float64 // since the last report
	lastReport     float64
	arrivals       []arrival // work received within OverloadWindow
	loadReports    []loadReport
	lastHeard      map[netip.AddrPort]float64
}

type arrival struct{ at, work float64 }

// loadReport is a load report with the time from which it is visible.
type loadReport struct {
	visibleAt  float64
	util       float64
	wait       float64
	queue      int
	rate, loss float64
}

type job struct {
	work     float64
	do       func()
	canceled bool
}

type call struct {
	sw          *Switch
	server      *siptransaction.Server
	req         *sip.Request
	tag         string
	session     string
	job         *job
	hasLine     bool
	established bool
	ended       bool
}

// New returns a switch that starts at now. If cold, its processor has just started and is in slow start.
func New(m Model, self netip.AddrPort, seed uint64, now float64, cold bool, send func(netip.AddrPort, []byte)) *Switch {
	s := &Switch{Model: m, Slowdown: 1, startedAt: math.Inf(-1), now: now, lastReport: now, calls: map[string]*call{},
		lastHeard: map[netip.AddrPort]float64{}}
	if cold {
		s.startedAt = now
	}
	s.random.Seed = seed
	s.sip = siptransaction.NewLayer(self, m.Times, &s.random, &s.timers, s, func(to netip.AddrPort, data []byte) {
		if !s.Overloaded {
			send(to, data)
		}
	})
	if m.Parse != nil {
		s.sip.Parse = m.Parse
	}
	s.sip.Now = now
	s.sip.OnRetransmission = s.onRetransmission
	s.timers.Schedule(now+s.random.Float64()*m.ReportInterval, s.makeReport)
	return s
}

// CapacityFraction returns the speed of the processor as a fraction of full speed, from ColdShare to 1 during slow
// start. Slowdown and OtherLoad are not included.
func (s *Switch) CapacityFraction(now float64) float64 {
	if now-s.startedAt >= s.Warm {
		return 1
	}
	return s.ColdShare + (1-s.ColdShare)*math.Max(0, now-s.startedAt)/s.Warm
}

func (s *Switch) speed() float64 { return s.CapacityFraction(s.now) / s.Slowdown * (1 - s.OtherLoad) }

// Receive handles a datagram.
func (s *Switch) Receive(now float64, from netip.AddrPort, data []byte) {
	s.now = now
	if !s.Overloaded {
		s.sip.Receive(now, from, data)
	}
}

// Step runs the timers that are due.
func (s *Switch) Step(now float64) {
	s.now, s.sip.Now = now, now
	if !s.Overloaded {
		s.timers.Run(now)
	}
}

// NextWakeup returns when Step must be called next.
func (s *Switch) NextWakeup() float64 {
	if s.Overloaded {
		return math.Inf(1)
	}
	return s.timers.Next()
}

// EstablishedCalls returns the session IDs of the established calls, in no particular order.
func (s *Switch) EstablishedCalls() []string {
	var sessions []string
	for _, c := range s.calls {
		if c.established && !c.ended {
			sessions = append(sessions, c.session)
		}
	}
	return sessions
}

// ReleaseAll releases all established calls with a BYE whose Reason is a temporary failure, in order of their tags.
func (s *Switch) ReleaseAll(now float64) {
	s.now, s.sip.Now = now, now
	for _, c := range s.sortedCalls() {
		c.release()
	}
}

// LoseCircuits takes lines out of service so that the fraction left of them remains, and releases calls until the
// remaining lines suffice.
func (s *Switch) LoseCircuits(now, fraction float64) {
	s.now, s.sip.Now = now, now
	s.linesLost = int(float64(s.Lines) * (1 - fraction))
	for _, c := range s.sortedCalls() {
		if s.linesInUse > s.Lines-s.linesLost && c.hasLine {
			c.release()
		}
	}
}

func (s *Switch) sortedCalls() []*call {
	var calls []*call
	for _, c := range s.calls {
		if c.established && !c.ended {
			calls = append(calls, c)
		}
	}
	sortBy(calls, func(c *call) string { return c.tag })
	return calls
}

func (c *call) release() {
	if c.ended || !c.established {
		return
	}
	s := c.sw
	c.ended = true
	c.freeLine()
	req := sip.NewRequest(sip.BYE, c.req.Contact().Address)
	id := *c.req.CallID()
	to := c.req.To()
	req.AppendHeader(&sip.FromHeader{Address: to.Address, Params: sip.HeaderParams{{K: "tag", V: c.tag}}})
	req.AppendHeader(&sip.ToHeader{Address: c.req.From().Address, Params: c.req.From().Params})
	req.AppendHeader(&id)
	req.AppendHeader(&sip.CSeqHeader{SeqNo: 1, MethodName: sip.BYE})
	req.AppendHeader(sip.NewHeader("Max-Forwards", "70"))
	req.AppendHeader(sip.NewHeader(siptransaction.SessionID, siptransaction.FormatSessionID(c.session)))
	req.AppendHeader(sip.NewHeader(siptransaction.ReasonHeader, `Q.850;cause=41;text="Temporary failure"`))
	s.sip.Send(req, c.server.ResponseAddress(), nil, func(*sip.Response) {})
	delete(s.calls, c.tag)
}

func (c *call) freeLine() {
	if c.hasLine {
		c.hasLine = false
		c.sw.linesInUse--
	}
}

// queueingDelay returns how long a setup that arrives now will wait. Setups are served before answers and releases,
// so only queued setups and probes count.
func (s *Switch) queueingDelay() float64 {
	w := 0.0
	for _, j := range s.setupQueue {
		w += j.work
	}
	return w / math.Max(1e-6, s.speed())
}

// OnRequest implements siptransaction.User.
func (s *Switch) OnRequest(sv *siptransaction.Server, req *sip.Request) {
	switch req.Method {
	case sip.INVITE:
		if siptransaction.Tag(req.To().Params) != "" {
			sv.Respond(s.withLoadReport(siptransaction.Response(req, 488, "Not Acceptable Here", "")))
			return
		}
		s.onInvite(sv, req)
	case sip.BYE:
		c := s.calls[siptransaction.Tag(req.To().Params)]
		if c == nil {
			sv.Respond(siptransaction.Response(req, 481, "Call/Transaction Does Not Exist", ""))
			return
		}
		sv.Respond(s.withLoadReport(siptransaction.Response(req, 200, "OK", "")))
		c.ended = true
		c.server.Acknowledge() // the BYE may overtake the ACK
		delete(s.calls, c.tag)
		s.enqueue(&s.otherQueue, &job{work: s.Release, do: c.freeLine})
	case sip.OPTIONS:
		s.enqueue(&s.setupQueue, &job{work: s.Probe, do: func() {
			sv.Respond(s.withLoadReport(siptransaction.Response(req, 200, "OK", s.random.Next())))
		}})
	default:
		sv.Respond(siptransaction.Response(req, 405, "Method Not Allowed", s.random.Next()))
	}
}

func (s *Switch) onInvite(sv *siptransaction.Server, req *sip.Request) {
	s.SetupsReceived++
	s.lastHeard[sv.ResponseAddress()] = s.now
	if s.overloads(s.Setup) {
		return
	}
	c := &call{sw: s, server: sv, req: req, tag: s.random.Next(), session: siptransaction.SessionIDOf(req)}
	sv.User = c
	if w := s.queueingDelay(); w > s.WaitLimit {
		s.enqueue(&s.otherQueue, &job{work: s.Reject, do: func() {
			res := s.withLoadReport(siptransaction.Response(req, 503, "Service Unavailable", c.tag))
			if s.NamesWait {
				res.AppendHeader(sip.NewHeader(siptransaction.RetryAfter, siptransaction.FormatRetryAfter(w/4)))
			}
			sv.Respond(res)
		}})
		return
	}
	c.job = &job{work: s.Setup, do: c.setUp}
	s.enqueue(&s.setupQueue, c.job)
}

// setUp runs when the processor has finished the setup.
func (c *call) setUp() {
	s, sv, req := c.sw, c.server, c.req
	c.job = nil
	s.SetupsDone++
	switch {
	case sv.Final() != 0: // canceled, but WorksOn had it processed
	case s.ErrorRate > 0 && s.random.Float64() < s.ErrorRate:
		sv.Respond(s.withLoadReport(siptransaction.Response(req, 500, "Server Internal Error", c.tag)))
	case s.linesInUse >= s.Lines-s.linesLost:
		sv.Respond(s.withLoadReport(siptransaction.Response(req, 486, "Busy Here", c.tag)))
	default:
		c.hasLine = true
		s.linesInUse++
		sv.Respond(s.withLoadReport(siptransaction.Response(req, 180, "Ringing", c.tag)))
		s.enqueue(&s.otherQueue, &job{work: s.Answer, do: c.answer})
	}
}

func (c *call) answer() {
	s, sv := c.sw, c.server
	if sv.Final() != 0 {
		c.freeLine()
		return
	}
	res := s.withLoadReport(siptransaction.Response(c.req, 200, "OK", c.tag))
	res.AppendHeader(
		&sip.ContactHeader{
			Address: sip.Uri{Scheme: "sip", Host: s.sip.Address.Addr().String(), Port: int(s.sip.Address.Port())},
		},
	)
	if b := c.req.Body(); len(b) > 0 {
		res.AppendHeader(sip.NewHeader("Content-Type", "application/sdp"))
		res.SetBody(b)
	}
	c.established = true
	s.calls[c.tag] = c
	sv.OnUnacknowledged(func() { c.release() })
	sv.Respond(res)
}

// OnCancel implements siptransaction.User.
func (s *Switch) OnCancel(sv *siptransaction.Server, req *sip.Request) {
	c, ok := sv.User.(*call)
	if !ok {
		return
	}
	if c.job != nil && !s.WorksOn {
		c.job.canceled = true
	}
	if c.job == nil && c.hasLine {
		s.enqueue(&s.otherQueue, &job{work: s.Release, do: c.freeLine})
	}
	sv.Respond(s.withLoadReport(siptransaction.Response(c.req, 487, "Request Terminated", c.tag)))
}

// OnAck implements siptransaction.User.
func (s *Switch) OnAck(req *sip.Request) {
	if c := s.calls[siptransaction.Tag(req.To().Params)]; c != nil {
		c.server.Acknowledge()
	}
}

func (s *Switch) onRetransmission(sv *siptransaction.Server) {
	if c, ok := sv.User.(*call); ok && c.job != nil && sv.Final() == 0 {
		if !s.overloads(s.Repeat) {
			s.enqueue(&s.setupQueue, &job{work: s.Repeat, do: func() {}})
		}
	}
}

// overloads records work that arrives at a processor in slow start and reports whether that has overloaded the
// switch, which then stays down.
func (s *Switch) overloads(work float64) bool {
	if s.now-s.startedAt >= s.Warm || s.OverloadFactor <= 0 {
		return false
	}
	s.arrivals = append(s.arrivals, arrival{s.now, work})
	sum, keep := 0.0, s.arrivals[:0]
	for _, a := range s.arrivals {
		if a.at > s.now-s.OverloadWindow {
			keep = append(keep, a)
			sum += a.work
		}
	}
	s.arrivals = keep
	limit := s.OverloadFactor * s.CapacityFraction(s.now) * s.OverloadWindow
	if sum > limit+math.Sqrt(limit*s.Setup)+s.Setup { // allows for random variation of arrivals
		s.Overloaded, s.OverloadedAt = true, s.now
	}
	return s.Overloaded
}

func (s *Switch) enqueue(queue *[]*job, j *job) {
	*queue = append(*queue, j)
	s.serve()
}

func (s *Switch) serve() {
	if s.busy {
		return
	}
	var j *job
	for j == nil {
		switch {
		case len(s.setupQueue) > 0:
			j, s.setupQueue = s.setupQueue[0], s.setupQueue[1:]
		case len(s.otherQueue) > 0:
			j, s.otherQueue = s.otherQueue[0], s.otherQueue[1:]
		default:
			return
		}
		if j.canceled {
			j = nil
		}
	}
	s.busy, s.busySince = true, s.now
	s.timers.Schedule(s.now+j.work/math.Max(1e-6, s.speed()), func() {
		s.busy = false
		s.busyTime += s.now - math.Max(s.lastReport, s.busySince)
		j.do()
		s.serve()
	})
}

// makeReport makes a load report, which becomes visible after ReportDelay.
func (s *Switch) makeReport() {
	interval := math.Max(1, s.now-s.lastReport)
	busyTime := s.busyTime
	if s.busy {
		busyTime += s.now - math.Max(s.lastReport, s.busySince)
	}
	noisy := func(v float64) float64 { return math.Max(0, v*(1+s.ReportNoise*(2*s.random.Float64()-1))) }
	r := loadReport{
		visibleAt: s.now + s.ReportDelay,
		util:      math.Min(1, noisy(busyTime/interval)),
		wait:      noisy(s.queueingDelay()),
		queue:     int(noisy(float64(len(s.setupQueue))) + 0.5),
	}
	maxRate := 1000 / (s.Setup + s.Answer + s.Release)
	r.rate = noisy(maxRate * s.speed())
	r.loss = math.Max(0, math.Min(100, 100*noisy(s.queueingDelay()/s.WaitLimit)))
	s.loadReports = append(s.loadReports, r)
	s.busyTime, s.lastReport = 0, s.now
	s.timers.Schedule(s.now+s.ReportInterval, s.makeReport)
}

// withLoadReport adds the visible load report to a response.
func (s *Switch) withLoadReport(res *sip.Response) *sip.Response {
	for len(s.loadReports) > 1 && s.loadReports[1].visibleAt <= s.now {
		s.loadReports = s.loadReports[1:]
	}
	value := "lines=" + strconv.Itoa(s.Lines) + ";free=" + strconv.Itoa(max(0, s.Lines-s.linesLost-s.linesInUse))
	if len(s.loadReports) > 0 && s.loadReports[0].visibleAt <= s.now {
		r := s.loadReports[0]
		via := res.Via()
		for _, name := range s.Reports {
			switch name {
			case "util":
				value += fmt.Sprintf(";util=%.3f", r.util)
			case "queue":
				value += fmt.Sprintf(";queue=%d", r.queue)
			case "wait":
				value += fmt.Sprintf(";wait=%.0f", r.wait)
			case "rate", "loss":
				params := via.Params.Clone()
				params.Remove("oc")
				params.Remove("oc-algo")
				if name == "loss" {
					params.Add("oc", fmt.Sprintf("%.0f", r.loss))
				} else {
					params.Add("oc", fmt.Sprintf("%.3f", r.rate/float64(s.activeSenders())))
				}
				params.Add("oc-algo", `"`+name+`"`)
				params.Add("oc-validity", "1000")
				params.Add("oc-seq", fmt.Sprintf("%.1f", r.visibleAt/1000))
				res.ReplaceHeader(&sip.ViaHeader{ProtocolName: via.ProtocolName, ProtocolVersion: via.ProtocolVersion,
					Transport: via.Transport, Host: via.Host, Port: via.Port, Params: params})
			}
		}
	}
	res.AppendHeader(sip.NewHeader(siptransaction.LoadHeader, value))
	return res
}

// activeSenders returns the number of senders heard from within the last ten seconds, at least 1.
func (s *Switch) activeSenders() int {
	n := 0
	for a, at := range s.lastHeard {
		if s.now-at < 10000 {
			n++
		} else {
			delete(s.lastHeard, a)
		}
	}
	return max(1, n)
}

// OnStrayResponse implements siptransaction.User.
func (*Switch) OnStrayResponse(*sip.Response, netip.AddrPort) {}
