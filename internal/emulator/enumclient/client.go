// Package enumclient is a stand-in for the kiosks of one gateway: each call asks by ENUM which endpoint to call,
// repeats the question while no answer comes, and calls the endpoint that is named. Calls are planned ahead. No I/O, no
// clock.
package enumclient

//tally:standin

import (
	"math"
	"net/netip"
	"strings"

	"github.com/miekg/dns"

	"cobaltpier/internal/decision/enum"
	"cobaltpier/internal/protocol/siptransaction"
	"cobaltpier/internal/timerqueue"
)

// Visit is one call's plan and what became of it.
type Visit struct {
	At      float64
	Number  string // digits
	Hold    float64
	Asks    int     // questions, repeats not counted
	Named   float64 // when an endpoint was named, NaN: never
	None    bool    // there is no such number
	Answers int
}

// Manners are how kiosks behave; times are ms.
type Manners struct {
	Apex    string
	Wait    float64 // then the question is repeated
	Repeats int
	Asks    int // questions anew after a failure
	Pause   float64
}

// Kiosks are those of one gateway.
type Kiosks struct {
	Manners
	Visits  []*Visit
	Silent  int                                                         // questions that had no answer, repeats and all
	Call    func(now float64, v *Visit, user string, to netip.AddrPort) // calls the endpoint that was named
	sendUDP func(data []byte)
	sendTCP func(data []byte)
	now     float64
	rng     siptransaction.Generator
	timers  timerqueue.Queue
	pending map[uint16]*query
}

type query struct {
	visit       *Visit
	id          uint16
	data        []byte
	repeatsLeft int
	timer       *timerqueue.Timer
}

// New makes kiosks that send questions by datagram, and by stream where an answer was truncated.
func New(m Manners, seed uint64, sendUDP, sendTCP func([]byte)) *Kiosks {
	return &Kiosks{
		Manners: m,
		sendUDP: sendUDP,
		sendTCP: sendTCP,
		rng:     siptransaction.Generator{Seed: seed},
		pending: map[uint16]*query{},
	}
}

// Plan adds a visit.
func (k *Kiosks) Plan(v *Visit) {
	v.Named = math.NaN()
	k.Visits = append(k.Visits, v)
	k.timers.Schedule(v.At, func() { k.startQuery(v) })
}

// Step runs what is due.
func (k *Kiosks) Step(now float64) {
	k.now = now
	k.timers.Run(now)
}

// NextWakeup is when Wake is wanted.
func (k *Kiosks) NextWakeup() float64 { return k.timers.Next() }

func (k *Kiosks) startQuery(v *Visit) {
	d, err := enum.Domain(v.Number, k.Apex)
	if err != nil {
		return
	}
	v.Asks++
	m := new(dns.Msg)
	m.SetQuestion(d, dns.TypeNAPTR)
	m.SetEdns0(1232, false)
	for {
		m.Id = uint16(k.rng.Float64() * 65536)
		if k.pending[m.Id] == nil {
			break
		}
	}
	data, err := m.Pack()
	if err != nil {
		return
	}
	q := &query{visit: v, id: m.Id, data: data, repeatsLeft: k.Repeats}
	k.pending[q.id] = q
	k.sendQuery(q)
}

func (k *Kiosks) sendQuery(q *query) {
	k.sendUDP(q.data)
	q.timer = k.timers.Schedule(k.now+k.Wait, func() {
		if q.repeatsLeft == 0 {
			delete(k.pending, q.id)
			k.Silent++
			k.retryAfterPause(q.visit)
			return
		}
		q.repeatsLeft--
		k.sendQuery(q)
	})
}

func (k *Kiosks) retryAfterPause(v *Visit) {
	if v.Asks <= k.Asks {
		k.timers.Schedule(k.now+k.Pause*(0.5+k.rng.Float64()), func() { k.startQuery(v) })
	}
}

// Receive takes an answer.
func (k *Kiosks) Receive(now float64, _ netip.AddrPort, data []byte) {
	k.now = now
	m := new(dns.Msg)
	if m.Unpack(data) != nil || !m.Response {
		return
	}
	q := k.pending[m.Id]
	if q == nil {
		return
	}
	if m.Truncated {
		k.sendTCP(q.data)
		return
	}
	q.visit.Answers++
	delete(k.pending, q.id)
	k.timers.Cancel(q.timer)
	user, to, ok := Named(m)
	switch {
	case ok:
		q.visit.Named = now
		k.Call(now, q.visit, user, to)
	case m.Rcode == dns.RcodeNameError:
		q.visit.None = true
	default:
		k.retryAfterPause(q.visit)
	}
}

// Named is the endpoint that an answer names: the user part of its SIP URI, and where to call.
func Named(m *dns.Msg) (user string, to netip.AddrPort, ok bool) {
	for _, rr := range m.Answer {
		record, isNAPTR := rr.(*dns.NAPTR)
		if !isNAPTR {
			continue
		}
		parts := strings.Split(record.Regexp, "!")
		if len(parts) != 4 {
			continue
		}
		uri, isSIP := strings.CutPrefix(parts[2], "sip:")
		user, host, hasHost := strings.Cut(uri, "@")
		addr, err := netip.ParseAddrPort(host)
		if isSIP && hasHost && err == nil {
			return user, addr, true
		}
	}
	return "", netip.AddrPort{}, false
}
