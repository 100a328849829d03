// Package callers is a stand-in for the callers of one gateway: SIP user agents that come at planned times, wait as
// long as their timeout lasts, hang up when they are done, and dial again by themselves. Arrivals are planned ahead and
// do not wait for answers. No I/O, no clock.
package callers

//tally:standin

import (
	"fmt"
	"math"
	"net/netip"

	"github.com/emiago/sipgo/sip"

	"cobaltpier/internal/protocol/siptransaction"
	"cobaltpier/internal/timerqueue"
)

// Arrival is a caller's plan; times are milliseconds.
type Arrival struct {
	At                 float64
	Number             string
	Class              string
	Tenant             string // domain of the caller's address
	Group              string // trunk group of the destination (RFC 4904)
	HoldingTime        float64
	LatencyObjective   float64
	Timeout            float64 // over all tries
	AttemptTimeout     float64 // of one try
	Weight             float64
	LateWeightFraction float64 // share of the value after the target
	OverQuota          bool    // beyond its tenant's share
}

// CallerRecord is what became of a caller, over all its tries.
type CallerRecord struct {
	*Arrival
	Attempts   int
	AnsweredAt float64 // NaN: never
	Dropped    bool
	Answers    []int // the final answers, 0: none came
	Ended      bool
	SessionID  string // of the latest try
}

// Behavior are how callers behave.
type Behavior struct {
	Redials int                               // at most
	Pause   float64                           // before a redial, ms
	Grows   bool                              // each pause twice as long
	Honour  float64                           // share that heeds Retry-After
	MaxWait float64                           // but no longer than this
	Context string                            // trunk-context
	Parse   func([]byte) (sip.Message, error) // nil: siptransaction.Parse
	Silence float64                           // a caller hears for so long that the line is dead, then hangs up
}

// Callers are those of one gateway.
type Callers struct {
	Behavior
	Stories []*CallerRecord
	Extra   int // final answers after the final answer
	edge    netip.AddrPort
	now     float64
	names   siptransaction.Generator
	timers  timerqueue.Queue
	sip     *siptransaction.Layer
	open    map[string]*try // by our tag
	bySess  map[string]*try
}

type try struct {
	of      *Callers
	story   *CallerRecord
	tx      *siptransaction.Client
	callID  string
	tag     string
	session string
	answer  *sip.Response
	ack     []byte
	stands  bool
	over    bool
	timer   *timerqueue.Timer
}

// New makes callers that dial a gateway.
func New(
	m Behavior,
	self, edge netip.AddrPort,
	times siptransaction.Timers,
	seed uint64,
	send func(netip.AddrPort, []byte),
) *Callers {
	c := &Callers{Behavior: m, edge: edge, open: map[string]*try{}, bySess: map[string]*try{}}
	c.names.Seed = seed
	c.sip = siptransaction.NewLayer(self, times, &c.names, &c.timers, c, send)
	if m.Parse != nil {
		c.sip.Parse = m.Parse
	}
	return c
}

// Plan adds an arrival.
func (c *Callers) Plan(a *Arrival) {
	s := &CallerRecord{Arrival: a, AnsweredAt: math.NaN()}
	c.Stories = append(c.Stories, s)
	c.timers.Schedule(a.At, func() { c.dial(s) })
}

// Receive takes a datagram.
func (c *Callers) Receive(now float64, from netip.AddrPort, data []byte) {
	c.now = now
	c.sip.Receive(now, from, data)
}

// Step runs what is due.
func (c *Callers) Step(now float64) {
	c.now, c.sip.Now = now, now
	c.timers.Run(now)
}

// NextWakeup is when Wake is wanted.
func (c *Callers) NextWakeup() float64 { return c.timers.Next() }

func (c *Callers) uri() sip.Uri {
	return sip.Uri{Scheme: "sip", Host: c.sip.Address.Addr().String(), Port: int(c.sip.Address.Port())}
}

func (c *Callers) request(t *try, method sip.RequestMethod, seq uint32) *sip.Request {
	a := t.story.Arrival
	to := sip.Uri{Scheme: "sip", User: a.Number, Host: c.edge.Addr().String(), Port: int(c.edge.Port())}
	target := to
	if a.Group != "" {
		target.User += ";tgrp=" + a.Group + ";trunk-context=" + c.Context
	}
	r := sip.NewRequest(method, target)
	id := sip.CallIDHeader(t.callID)
	r.AppendHeader(&sip.FromHeader{Address: sip.Uri{Scheme: "sip", User: "staff", Host: a.Tenant},
		Params: sip.HeaderParams{{K: "tag", V: t.tag}}})
	th := &sip.ToHeader{Address: to}
	if t.answer != nil {
		th.Params = t.answer.To().Params
	}
	r.AppendHeader(th)
	r.AppendHeader(&id)
	r.AppendHeader(&sip.CSeqHeader{SeqNo: seq, MethodName: method})
	r.AppendHeader(sip.NewHeader("Max-Forwards", "70"))
	r.AppendHeader(sip.NewHeader(siptransaction.SessionID, siptransaction.FormatSessionID(t.session)))
	return r
}

const body = "v=0\r\no=- 0 0 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=audio 49170 RTP/AVP 0\r\n"

func (c *Callers) dial(s *CallerRecord) {
	left := s.At + s.Timeout - c.now
	if left < 1000 {
		c.end(s)
		return
	}
	wait := math.Floor(math.Min(left, s.AttemptTimeout)/1000) * 1000 // Expires counts whole seconds
	s.Attempts++
	t := &try{
		of:      c,
		story:   s,
		callID:  c.names.Next() + "@caller",
		tag:     c.names.Next(),
		session: siptransaction.NewSessionID(&c.names),
	}
	s.SessionID = t.session
	c.open[t.tag], c.bySess[t.session] = t, t
	r := c.request(t, sip.INVITE, 1)
	r.AppendHeader(&sip.ContactHeader{Address: c.uri()})
	r.AppendHeader(sip.NewHeader(siptransaction.Service, "urn:urn-7:"+s.Class))
	r.AppendHeader(sip.NewHeader("Expires", fmt.Sprint(int(wait/1000))))
	r.AppendHeader(sip.NewHeader("Content-Type", "application/sdp"))
	r.SetBody([]byte(body))
	t.timer = c.timers.Schedule(c.now+wait, t.giveUp)
	t.tx = c.sip.Send(r, c.edge, sip.HeaderParams{{K: "rport"}}, t.heard)
}

// giveUp: the timeout of this try is over.
func (t *try) giveUp() {
	if t.over || t.stands {
		return
	}
	t.tx.Cancel()
	t.story.Answers = append(t.story.Answers, 0)
	t.done()
	t.of.again(t.story, 0)
}

func (t *try) done() {
	t.over = true
	t.of.timers.Cancel(t.timer)
	delete(t.of.bySess, t.session)
}

func (t *try) heard(res *sip.Response) {
	c := t.of
	c.now = c.sip.Now
	switch {
	case res == nil:
		if !t.over {
			t.story.Answers = append(t.story.Answers, 0)
			t.done()
			c.again(t.story, 0)
		}
	case res.StatusCode < 200:
	case res.StatusCode < 300 && t.ack != nil:
		c.sip.SendAck(t.acknowledgement(), c.edge)
	case res.StatusCode < 300:
		t.answer = res
		t.ack = c.sip.SendAck(t.acknowledgement(), c.edge)
		if t.over { // it crossed our CANCEL
			t.bye(`Q.850;cause=16`)
			return
		}
		t.stands = true
		c.timers.Cancel(t.timer)
		t.story.Answers = append(t.story.Answers, res.StatusCode)
		t.story.AnsweredAt = c.now
		t.timer = c.timers.Schedule(c.now+t.story.HoldingTime, func() {
			t.bye(`Q.850;cause=16`)
			c.end(t.story)
		})
	case t.over:
		if res.StatusCode != 487 {
			c.Extra++
		}
	default:
		t.story.Answers = append(t.story.Answers, res.StatusCode)
		t.done()
		delete(c.open, t.tag)
		c.again(t.story, siptransaction.ParseRetryAfter(siptransaction.HeaderValue(res, siptransaction.RetryAfter)))
	}
}

func (t *try) acknowledgement() *sip.Request { return t.of.request(t, sip.ACK, 1) }

func (t *try) bye(why string) {
	c := t.of
	t.done()
	delete(c.open, t.tag)
	r := c.request(t, sip.BYE, 2)
	r.AppendHeader(sip.NewHeader(siptransaction.Reason, why))
	c.sip.Send(r, c.edge, sip.HeaderParams{{K: "rport"}}, func(*sip.Response) {})
}

// again dials once more after a pause, or not.
func (c *Callers) again(s *CallerRecord, told float64) {
	if s.Attempts > c.Redials {
		c.end(s)
		return
	}
	pause := c.Pause
	if c.Grows {
		pause *= math.Pow(2, float64(s.Attempts-1))
	}
	pause *= 0.5 + c.names.Float64()
	if told > 0 && c.names.Float64() < c.Honour {
		pause = math.Min(told, c.MaxWait)
	}
	c.timers.Schedule(c.now+pause, func() { c.dial(s) })
}

func (c *Callers) end(s *CallerRecord) { s.Ended = true }

// Cut tells a caller that its line went dead: it hangs up after a while.
func (c *Callers) Cut(now float64, session string) {
	t := c.bySess[session]
	if t == nil || !t.stands || t.over {
		return
	}
	t.story.Dropped = true
	c.timers.Schedule(now+c.Silence, func() {
		if !t.over {
			t.bye(`Q.850;cause=41;text="Temporary failure"`)
			c.end(t.story)
		}
	})
}

// OnRequest implements siptransaction.User: the other side hangs up.
func (c *Callers) OnRequest(s *siptransaction.Server, req *sip.Request) {
	t := c.open[siptransaction.Tag(req.To().Params)]
	if t == nil || req.Method != sip.BYE {
		s.Respond(siptransaction.Response(req, 481, "Call/Transaction Does Not Exist", c.names.Next()))
		return
	}
	s.Respond(siptransaction.Response(req, 200, "OK", ""))
	if t.stands && !t.over {
		t.story.Dropped = true // whoever hung up, it was not the caller
		t.done()
		c.end(t.story)
	}
	delete(c.open, t.tag)
}

// OnCancel implements siptransaction.User.
func (c *Callers) OnCancel(*siptransaction.Server, *sip.Request) {}

// OnAck implements siptransaction.User.
func (c *Callers) OnAck(*sip.Request) {}

// OnStrayResponse implements siptransaction.User.
func (*Callers) OnStrayResponse(*sip.Response, netip.AddrPort) {}
