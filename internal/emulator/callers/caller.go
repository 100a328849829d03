// Package callers is a stand-in for the callers of one gateway: SIP user agents that call at planned times, give up
// after a timeout, hang up after the holding time and redial after a failure. Arrivals are planned ahead and don't
// depend on how earlier calls are answered. The package does no I/O and reads no clock.
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

// Arrival is a planned call with its redials. Times are in milliseconds.
type Arrival struct {
	At                 float64
	Number             string
	Class              string
	Tenant             string // domain of the caller's address
	Group              string // trunk group of the destination (RFC 4904)
	HoldingTime        float64
	LatencyObjective   float64
	Timeout            float64 // of all attempts together
	AttemptTimeout     float64 // of one attempt
	Weight             float64
	LateWeightFraction float64 // share of the weight if answered after the latency objective
	OverQuota          bool    // beyond the tenant's share; not counted in the service
}

// CallerRecord is the outcome of an arrival over all its attempts.
type CallerRecord struct {
	*Arrival
	Attempts   int
	AnsweredAt float64 // NaN: never
	Dropped    bool
	Answers    []int // final status codes by attempt; 0: no final response
	Ended      bool
	SessionID  string // of the latest attempt
}

// Behavior holds the parameters of the callers.
type Behavior struct {
	Redials            int                               // most redials of an arrival
	Pause              float64                           // before a redial, in ms
	ExponentialBackoff bool                              // each pause is twice the previous one
	RetryAfterShare    float64                           // share of the callers that follow Retry-After
	MaxRetryAfter      float64                           // upper limit of the pause taken from Retry-After
	Context            string                            // trunk-context
	Parse              func([]byte) (sip.Message, error) // nil: siptransaction.Parse
	HangUpDelay        float64                           // how long a caller stays on a dead line before hanging up
}

// Callers is the set of callers of one gateway.
type Callers struct {
	Behavior
	Records        []*CallerRecord
	ExtraResponses int // final responses after the final response
	gateway        netip.AddrPort
	now            float64
	random         siptransaction.Generator
	timers         timerqueue.Queue
	sip            *siptransaction.Layer
	byTag          map[string]*attempt // by local tag
	bySession      map[string]*attempt
}

type attempt struct {
	callers     *Callers
	record      *CallerRecord
	tx          *siptransaction.Client
	callID      string
	tag         string
	session     string
	answer      *sip.Response
	ack         []byte
	established bool
	ended       bool
	timer       *timerqueue.Timer
}

// New returns callers of a gateway.
func New(
	behavior Behavior,
	self, gateway netip.AddrPort,
	times siptransaction.TimerValues,
	seed uint64,
	send func(netip.AddrPort, []byte),
) *Callers {
	c := &Callers{Behavior: behavior, gateway: gateway, byTag: map[string]*attempt{}, bySession: map[string]*attempt{}}
	c.random.Seed = seed
	c.sip = siptransaction.NewLayer(self, times, &c.random, &c.timers, c, send)
	if behavior.Parse != nil {
		c.sip.Parse = behavior.Parse
	}
	return c
}

// Plan schedules an arrival.
func (c *Callers) Plan(a *Arrival) {
	s := &CallerRecord{Arrival: a, AnsweredAt: math.NaN()}
	c.Records = append(c.Records, s)
	c.timers.Schedule(a.At, func() { c.dial(s) })
}

// Receive handles a datagram.
func (c *Callers) Receive(now float64, from netip.AddrPort, data []byte) {
	c.now = now
	c.sip.Receive(now, from, data)
}

// Step runs the timers that are due.
func (c *Callers) Step(now float64) {
	c.now, c.sip.Now = now, now
	c.timers.Run(now)
}

// NextWakeup returns when Step must be called next.
func (c *Callers) NextWakeup() float64 { return c.timers.Next() }

func (c *Callers) uri() sip.Uri {
	return sip.Uri{Scheme: "sip", Host: c.sip.Address.Addr().String(), Port: int(c.sip.Address.Port())}
}

func (c *Callers) request(t *attempt, method sip.RequestMethod, seq uint32) *sip.Request {
	a := t.record.Arrival
	to := sip.Uri{Scheme: "sip", User: a.Number, Host: c.gateway.Addr().String(), Port: int(c.gateway.Port())}
	target := to
	if a.Group != "" {
		target.User += ";tgrp=" + a.Group + ";trunk-context=" + c.Context
	}
	r := sip.NewRequest(method, target)
	id := sip.CallIDHeader(t.callID)
	r.AppendHeader(&sip.FromHeader{Address: sip.Uri{Scheme: "sip", User: "staff", Host: a.Tenant},
		Params: sip.HeaderParams{{K: "tag", V: t.tag}}})
	toHeader := &sip.ToHeader{Address: to}
	if t.answer != nil {
		toHeader.Params = t.answer.To().Params
	}
	r.AppendHeader(toHeader)
	r.AppendHeader(&id)
	r.AppendHeader(&sip.CSeqHeader{SeqNo: seq, MethodName: method})
	r.AppendHeader(sip.NewHeader("Max-Forwards", "70"))
	r.AppendHeader(sip.NewHeader(siptransaction.SessionID, siptransaction.FormatSessionID(t.session)))
	return r
}

const sdpOffer = "v=0\r\no=- 0 0 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\nt=0 0\r\nm=audio 49170 RTP/AVP 0\r\n"

func (c *Callers) dial(s *CallerRecord) {
	left := s.At + s.Timeout - c.now
	if left < 1000 {
		c.end(s)
		return
	}
	wait := math.Floor(math.Min(left, s.AttemptTimeout)/1000) * 1000 // Expires is in whole seconds
	s.Attempts++
	t := &attempt{
		callers: c,
		record:  s,
		callID:  c.random.Next() + "@caller",
		tag:     c.random.Next(),
		session: siptransaction.NewSessionID(&c.random),
	}
	s.SessionID = t.session
	c.byTag[t.tag], c.bySession[t.session] = t, t
	r := c.request(t, sip.INVITE, 1)
	r.AppendHeader(&sip.ContactHeader{Address: c.uri()})
	r.AppendHeader(sip.NewHeader(siptransaction.ServiceHeader, "urn:urn-7:"+s.Class))
	r.AppendHeader(sip.NewHeader("Expires", fmt.Sprint(int(wait/1000))))
	r.AppendHeader(sip.NewHeader("Content-Type", "application/sdp"))
	r.SetBody([]byte(sdpOffer))
	t.timer = c.timers.Schedule(c.now+wait, t.onTimeout)
	t.tx = c.sip.Send(r, c.gateway, sip.HeaderParams{{K: "rport"}}, t.onResponse)
}

// onTimeout cancels the attempt when its timeout is over.
func (t *attempt) onTimeout() {
	if t.ended || t.established {
		return
	}
	t.tx.Cancel()
	t.record.Answers = append(t.record.Answers, 0)
	t.finish()
	t.callers.scheduleRedial(t.record, 0)
}

func (t *attempt) finish() {
	t.ended = true
	t.callers.timers.Cancel(t.timer)
	delete(t.callers.bySession, t.session)
}

func (t *attempt) onResponse(res *sip.Response) {
	c := t.callers
	c.now = c.sip.Now
	switch {
	case res == nil:
		if !t.ended {
			t.record.Answers = append(t.record.Answers, 0)
			t.finish()
			c.scheduleRedial(t.record, 0)
		}
	case res.StatusCode < 200:
	case res.StatusCode < 300 && t.ack != nil:
		c.sip.SendAck(t.acknowledgement(), c.gateway)
	case res.StatusCode < 300:
		t.answer = res
		t.ack = c.sip.SendAck(t.acknowledgement(), c.gateway)
		if t.ended { // the response crossed our CANCEL
			t.bye(`Q.850;cause=16`)
			return
		}
		t.established = true
		c.timers.Cancel(t.timer)
		t.record.Answers = append(t.record.Answers, res.StatusCode)
		t.record.AnsweredAt = c.now
		t.timer = c.timers.Schedule(c.now+t.record.HoldingTime, func() {
			t.bye(`Q.850;cause=16`)
			c.end(t.record)
		})
	case t.ended:
		if res.StatusCode != 487 {
			c.ExtraResponses++
		}
	default:
		t.record.Answers = append(t.record.Answers, res.StatusCode)
		t.finish()
		delete(c.byTag, t.tag)
		c.scheduleRedial(t.record, siptransaction.ParseRetryAfter(siptransaction.HeaderValue(res, siptransaction.RetryAfter)))
	}
}

func (t *attempt) acknowledgement() *sip.Request { return t.callers.request(t, sip.ACK, 1) }

func (t *attempt) bye(reason string) {
	c := t.callers
	t.finish()
	delete(c.byTag, t.tag)
	r := c.request(t, sip.BYE, 2)
	r.AppendHeader(sip.NewHeader(siptransaction.ReasonHeader, reason))
	c.sip.Send(r, c.gateway, sip.HeaderParams{{K: "rport"}}, func(*sip.Response) {})
}

// scheduleRedial redials after a pause, or ends the arrival if its redials are used up.
func (c *Callers) scheduleRedial(s *CallerRecord, retryAfter float64) {
	if s.Attempts > c.Redials {
		c.end(s)
		return
	}
	pause := c.Pause
	if c.ExponentialBackoff {
		pause *= math.Pow(2, float64(s.Attempts-1))
	}
	pause *= 0.5 + c.random.Float64()
	if retryAfter > 0 && c.random.Float64() < c.RetryAfterShare {
		pause = math.Min(retryAfter, c.MaxRetryAfter)
	}
	c.timers.Schedule(c.now+pause, func() { c.dial(s) })
}

func (c *Callers) end(s *CallerRecord) { s.Ended = true }

// OnLineDead tells the caller of a session that its line has gone dead; it hangs up after HangUpDelay.
func (c *Callers) OnLineDead(now float64, session string) {
	t := c.bySession[session]
	if t == nil || !t.established || t.ended {
		return
	}
	t.record.Dropped = true
	c.timers.Schedule(now+c.HangUpDelay, func() {
		if !t.ended {
			t.bye(`Q.850;cause=41;text="Temporary failure"`)
			c.end(t.record)
		}
	})
}

// OnRequest implements siptransaction.User. A BYE means that the other side has hung up.
func (c *Callers) OnRequest(s *siptransaction.Server, req *sip.Request) {
	t := c.byTag[siptransaction.Tag(req.To().Params)]
	if t == nil || req.Method != sip.BYE {
		s.Respond(siptransaction.Response(req, 481, "Call/Transaction Does Not Exist", c.random.Next()))
		return
	}
	s.Respond(siptransaction.Response(req, 200, "OK", ""))
	if t.established && !t.ended {
		t.record.Dropped = true // the caller would have stayed on the line
		t.finish()
		c.end(t.record)
	}
	delete(c.byTag, t.tag)
}

// OnCancel implements siptransaction.User.
func (c *Callers) OnCancel(*siptransaction.Server, *sip.Request) {}

// OnAck implements siptransaction.User.
func (c *Callers) OnAck(*sip.Request) {}

// OnStrayResponse implements siptransaction.User.
func (*Callers) OnStrayResponse(*sip.Response, netip.AddrPort) {}
