// Package coreswitch is a stand-in for a core switch: SIP over UDP in front of a processor with one line that is
// modelled in time. It has no I/O and no clock. Its figures are of a model, not of a real switch.
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

// Model is how a switch behaves; works and times are milliseconds, works at full speed.
type Model struct {
	Name      string
	Setup     float64 // work of a setup
	Answer    float64 // work of its answer
	Release   float64
	Repeat    float64 // work of a repeat of a setup that waits
	Reject    float64 // work of turning one away
	Probe     float64
	Lines     int
	WaitLimit float64 // a longer wait turns setups away
	NamesWait bool    // it says for how long
	WorksOn   bool    // a setup that was canceled is still worked on
	ErrorRate float64
	ColdShare float64  // of its full speed at the start
	Warm      float64  // till full speed
	TipTimes  float64  // rule 4: more than this many times what it can do
	TipWindow float64  // within this: it falls over
	Reports   []string // util, queue, wait, rate, loss
	Refresh   float64
	Delay     float64 // reports are so old
	Noise     float64
	Times     siptransaction.Timers
	// Parse reads datagrams; nil: siptransaction.Parse.
	Parse func([]byte) (sip.Message, error) `json:"-"`
}

// Switch is one switch process with its processor. After Kill or Stop another one takes its address.
type Switch struct {
	Model
	Fell       bool // pushed over: it stays down
	FellAt     float64
	Slow       float64 // times slower
	Other      float64 // share of the processor that other work takes
	Taken      int     // setups that came
	SetupsDone int
	now        float64
	born       float64 // its start; -Inf: long ago
	names      siptransaction.Generator
	timers     timerqueue.Queue
	sip        *siptransaction.Layer
	calls      map[string]*call // by our tag
	lines      int              // in use
	lost       int              // lines that are gone
	first      []*job           // setups go before
	rest       []*job           // answers and releases
	busy       bool
	busySince  float64
	busySum    float64 // busy time since the last refresh
	since      float64
	arrivals   []arrival // rule 4's window
	shown      []shown
	senders    map[netip.AddrPort]float64
}

type arrival struct{ at, work float64 }

// shown is a report with the time at which it may be seen.
type shown struct {
	at         float64
	util       float64
	wait       float64
	queue      int
	rate, loss float64
}

type job struct {
	work float64
	do   func()
	off  bool
}

type call struct {
	sw      *Switch
	server  *siptransaction.Server
	req     *sip.Request
	tag     string
	session string
	job     *job
	line    bool
	stands  bool
	gone    bool
}

// New makes a switch that starts at a time; cold: with a processor that has just started.
func New(m Model, self netip.AddrPort, seed uint64, now float64, cold bool, send func(netip.AddrPort, []byte)) *Switch {
	s := &Switch{Model: m, Slow: 1, born: math.Inf(-1), now: now, since: now, calls: map[string]*call{},
		senders: map[netip.AddrPort]float64{}}
	if cold {
		s.born = now
	}
	s.names.Seed = seed
	s.sip = siptransaction.NewLayer(self, m.Times, &s.names, &s.timers, s, func(to netip.AddrPort, data []byte) {
		if !s.Fell {
			send(to, data)
		}
	})
	if m.Parse != nil {
		s.sip.Parse = m.Parse
	}
	s.sip.Now = now
	s.sip.OnRepeat = s.repeated
	s.timers.Schedule(now+s.names.Float64()*m.Refresh, s.refresh)
	return s
}

// Part is what the processor can do now, as a share of its full speed without slowing: cold share to 1.
func (s *Switch) Part(now float64) float64 {
	if now-s.born >= s.Warm {
		return 1
	}
	return s.ColdShare + (1-s.ColdShare)*math.Max(0, now-s.born)/s.Warm
}

func (s *Switch) speed() float64 { return s.Part(s.now) / s.Slow * (1 - s.Other) }

// Receive takes a datagram.
func (s *Switch) Receive(now float64, from netip.AddrPort, data []byte) {
	s.now = now
	if !s.Fell {
		s.sip.Receive(now, from, data)
	}
}

// Step runs what is due.
func (s *Switch) Step(now float64) {
	s.now, s.sip.Now = now, now
	if !s.Fell {
		s.timers.Run(now)
	}
}

// NextWakeup is when Wake is wanted.
func (s *Switch) NextWakeup() float64 {
	if s.Fell {
		return math.Inf(1)
	}
	return s.timers.Next()
}

// EstablishedCalls are the established calls here, by their sessions.
func (s *Switch) EstablishedCalls() []string {
	var of []string
	for _, c := range s.calls {
		if c.stands && !c.gone {
			of = append(of, c.session)
		}
	}
	return of
}

// Stop releases all calls with a BYE that says that they were cut, in order of their coming.
func (s *Switch) Stop(now float64) {
	s.now, s.sip.Now = now, now
	for _, c := range s.sorted() {
		c.cut()
	}
}

// LoseCircuits takes lines away, so that a share of them is left; calls on lost ones are cut.
func (s *Switch) LoseCircuits(now, left float64) {
	s.now, s.sip.Now = now, now
	s.lost = int(float64(s.Lines) * (1 - left))
	for _, c := range s.sorted() {
		if s.lines > s.Lines-s.lost && c.line {
			c.cut()
		}
	}
}

func (s *Switch) sorted() []*call {
	var of []*call
	for _, c := range s.calls {
		if c.stands && !c.gone {
			of = append(of, c)
		}
	}
	sortBy(of, func(c *call) string { return c.tag })
	return of
}

func (c *call) cut() {
	if c.gone || !c.stands {
		return
	}
	s := c.sw
	c.gone = true
	c.free()
	req := sip.NewRequest(sip.BYE, c.req.Contact().Address)
	id := *c.req.CallID()
	to := c.req.To()
	req.AppendHeader(&sip.FromHeader{Address: to.Address, Params: sip.HeaderParams{{K: "tag", V: c.tag}}})
	req.AppendHeader(&sip.ToHeader{Address: c.req.From().Address, Params: c.req.From().Params})
	req.AppendHeader(&id)
	req.AppendHeader(&sip.CSeqHeader{SeqNo: 1, MethodName: sip.BYE})
	req.AppendHeader(sip.NewHeader("Max-Forwards", "70"))
	req.AppendHeader(sip.NewHeader(siptransaction.SessionID, siptransaction.FormatSessionID(c.session)))
	req.AppendHeader(sip.NewHeader(siptransaction.Reason, `Q.850;cause=41;text="Temporary failure"`))
	s.sip.Send(req, c.server.ResponseAddress(), nil, func(*sip.Response) {})
	delete(s.calls, c.tag)
}

func (c *call) free() {
	if c.line {
		c.line = false
		c.sw.lines--
	}
}

// wait is how long a setup that comes now will wait: those before it, without the answers and releases behind them.
func (s *Switch) wait() float64 {
	w := 0.0
	for _, j := range s.first {
		w += j.work
	}
	return w / math.Max(1e-6, s.speed())
}

// OnRequest implements siptransaction.User.
func (s *Switch) OnRequest(sv *siptransaction.Server, req *sip.Request) {
	switch req.Method {
	case sip.INVITE:
		if siptransaction.Tag(req.To().Params) != "" {
			sv.Respond(s.loaded(siptransaction.Response(req, 488, "Not Acceptable Here", "")))
			return
		}
		s.invited(sv, req)
	case sip.BYE:
		c := s.calls[siptransaction.Tag(req.To().Params)]
		if c == nil {
			sv.Respond(siptransaction.Response(req, 481, "Call/Transaction Does Not Exist", ""))
			return
		}
		sv.Respond(s.loaded(siptransaction.Response(req, 200, "OK", "")))
		c.gone = true
		c.server.Acknowledge() // a BYE may overtake the ACK
		delete(s.calls, c.tag)
		s.add(&s.rest, &job{work: s.Release, do: c.free})
	case sip.OPTIONS:
		s.add(&s.first, &job{work: s.Probe, do: func() {
			sv.Respond(s.loaded(siptransaction.Response(req, 200, "OK", s.names.Next())))
		}})
	default:
		sv.Respond(siptransaction.Response(req, 405, "Method Not Allowed", s.names.Next()))
	}
}

func (s *Switch) invited(sv *siptransaction.Server, req *sip.Request) {
	s.Taken++
	s.senders[sv.ResponseAddress()] = s.now
	if s.push(s.Setup) {
		return
	}
	c := &call{sw: s, server: sv, req: req, tag: s.names.Next(), session: siptransaction.SessionIDOf(req)}
	sv.User = c
	if w := s.wait(); w > s.WaitLimit {
		s.add(&s.rest, &job{work: s.Reject, do: func() {
			res := s.loaded(siptransaction.Response(req, 503, "Service Unavailable", c.tag))
			if s.NamesWait {
				res.AppendHeader(sip.NewHeader(siptransaction.RetryAfter, siptransaction.FormatRetryAfter(w/4)))
			}
			sv.Respond(res)
		}})
		return
	}
	c.job = &job{work: s.Setup, do: c.setUp}
	s.add(&s.first, c.job)
}

// setUp is the end of a setup's work.
func (c *call) setUp() {
	s, sv, req := c.sw, c.server, c.req
	c.job = nil
	s.SetupsDone++
	switch {
	case sv.Final() != 0: // canceled, and still worked on
	case s.ErrorRate > 0 && s.names.Float64() < s.ErrorRate:
		sv.Respond(s.loaded(siptransaction.Response(req, 500, "Server Internal Error", c.tag)))
	case s.lines >= s.Lines-s.lost:
		sv.Respond(s.loaded(siptransaction.Response(req, 486, "Busy Here", c.tag)))
	default:
		c.line = true
		s.lines++
		sv.Respond(s.loaded(siptransaction.Response(req, 180, "Ringing", c.tag)))
		s.add(&s.rest, &job{work: s.Answer, do: c.answer})
	}
}

func (c *call) answer() {
	s, sv := c.sw, c.server
	if sv.Final() != 0 {
		c.free()
		return
	}
	res := s.loaded(siptransaction.Response(c.req, 200, "OK", c.tag))
	res.AppendHeader(
		&sip.ContactHeader{
			Address: sip.Uri{Scheme: "sip", Host: s.sip.Address.Addr().String(), Port: int(s.sip.Address.Port())},
		},
	)
	if b := c.req.Body(); len(b) > 0 {
		res.AppendHeader(sip.NewHeader("Content-Type", "application/sdp"))
		res.SetBody(b)
	}
	c.stands = true
	s.calls[c.tag] = c
	sv.OnUnacknowledged(func() { c.cut() })
	sv.Respond(res)
}

// OnCancel implements siptransaction.User.
func (s *Switch) OnCancel(sv *siptransaction.Server, req *sip.Request) {
	c, ok := sv.User.(*call)
	if !ok {
		return
	}
	if c.job != nil && !s.WorksOn {
		c.job.off = true
	}
	if c.job == nil && c.line {
		s.add(&s.rest, &job{work: s.Release, do: c.free})
	}
	sv.Respond(s.loaded(siptransaction.Response(c.req, 487, "Request Terminated", c.tag)))
}

// OnAck implements siptransaction.User.
func (s *Switch) OnAck(req *sip.Request) {
	if c := s.calls[siptransaction.Tag(req.To().Params)]; c != nil {
		c.server.Acknowledge()
	}
}

func (s *Switch) repeated(sv *siptransaction.Server) {
	if c, ok := sv.User.(*call); ok && c.job != nil && sv.Final() == 0 {
		if !s.push(s.Repeat) {
			s.add(&s.first, &job{work: s.Repeat, do: func() {}})
		}
	}
}

// push counts work that reaches a cold processor; it tells whether that pushed it over.
func (s *Switch) push(work float64) bool {
	if s.now-s.born >= s.Warm || s.TipTimes <= 0 {
		return false
	}
	s.arrivals = append(s.arrivals, arrival{s.now, work})
	sum, keep := 0.0, s.arrivals[:0]
	for _, a := range s.arrivals {
		if a.at > s.now-s.TipWindow {
			keep = append(keep, a)
			sum += a.work
		}
	}
	s.arrivals = keep
	most := s.TipTimes * s.Part(s.now) * s.TipWindow
	if sum > most+math.Sqrt(most*s.Setup)+s.Setup { // some slack for chance
		s.Fell, s.FellAt = true, s.now
	}
	return s.Fell
}

func (s *Switch) add(to *[]*job, j *job) {
	*to = append(*to, j)
	s.serve()
}

func (s *Switch) serve() {
	if s.busy {
		return
	}
	var j *job
	for j == nil {
		switch {
		case len(s.first) > 0:
			j, s.first = s.first[0], s.first[1:]
		case len(s.rest) > 0:
			j, s.rest = s.rest[0], s.rest[1:]
		default:
			return
		}
		if j.off {
			j = nil
		}
	}
	s.busy, s.busySince = true, s.now
	s.timers.Schedule(s.now+j.work/math.Max(1e-6, s.speed()), func() {
		s.busy = false
		s.busySum += s.now - math.Max(s.since, s.busySince)
		j.do()
		s.serve()
	})
}

// refresh makes a report that will be seen when it has aged.
func (s *Switch) refresh() {
	span := math.Max(1, s.now-s.since)
	sum := s.busySum
	if s.busy {
		sum += s.now - math.Max(s.since, s.busySince)
	}
	noisy := func(v float64) float64 { return math.Max(0, v*(1+s.Noise*(2*s.names.Float64()-1))) }
	r := shown{
		at:    s.now + s.Delay,
		util:  math.Min(1, noisy(sum/span)),
		wait:  noisy(s.wait()),
		queue: int(noisy(float64(len(s.first))) + 0.5),
	}
	full := 1000 / (s.Setup + s.Answer + s.Release)
	r.rate = noisy(full * s.speed())
	r.loss = math.Max(0, math.Min(100, 100*noisy(s.wait()/s.WaitLimit)))
	s.shown = append(s.shown, r)
	s.busySum, s.since = 0, s.now
	s.timers.Schedule(s.now+s.Refresh, s.refresh)
}

// loaded puts the report into an answer.
func (s *Switch) loaded(res *sip.Response) *sip.Response {
	for len(s.shown) > 1 && s.shown[1].at <= s.now {
		s.shown = s.shown[1:]
	}
	v := "lines=" + strconv.Itoa(s.Lines) + ";free=" + strconv.Itoa(max(0, s.Lines-s.lost-s.lines))
	if len(s.shown) > 0 && s.shown[0].at <= s.now {
		r := s.shown[0]
		via := res.Via()
		for _, name := range s.Reports {
			switch name {
			case "util":
				v += fmt.Sprintf(";util=%.3f", r.util)
			case "queue":
				v += fmt.Sprintf(";queue=%d", r.queue)
			case "wait":
				v += fmt.Sprintf(";wait=%.0f", r.wait)
			case "rate", "loss":
				p := via.Params.Clone()
				p.Remove("oc")
				p.Remove("oc-algo")
				if name == "loss" {
					p.Add("oc", fmt.Sprintf("%.0f", r.loss))
				} else {
					p.Add("oc", fmt.Sprintf("%.3f", r.rate/float64(s.active())))
				}
				p.Add("oc-algo", `"`+name+`"`)
				p.Add("oc-validity", "1000")
				p.Add("oc-seq", fmt.Sprintf("%.1f", r.at/1000))
				res.ReplaceHeader(&sip.ViaHeader{ProtocolName: via.ProtocolName, ProtocolVersion: via.ProtocolVersion,
					Transport: via.Transport, Host: via.Host, Port: via.Port, Params: p})
			}
		}
	}
	res.AppendHeader(sip.NewHeader(siptransaction.Load, v))
	return res
}

// active is the number of senders heard within ten seconds, at least one.
func (s *Switch) active() int {
	n := 0
	for a, at := range s.senders {
		if s.now-at < 10000 {
			n++
		} else {
			delete(s.senders, a)
		}
	}
	return max(1, n)
}

// OnStrayResponse implements siptransaction.User.
func (*Switch) OnStrayResponse(*sip.Response, netip.AddrPort) {}
