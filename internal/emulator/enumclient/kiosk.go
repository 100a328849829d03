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
	Visits []*Visit
	Silent int                                                         // questions that had no answer, repeats and all
	Call   func(now float64, v *Visit, user string, to netip.AddrPort) // calls the endpoint that was named
	send   func(data []byte)
	stream func(data []byte)
	now    float64
	names  siptransaction.Generator
	timers timerqueue.Queue
	open   map[uint16]*ask
}

type ask struct {
	visit *Visit
	id    uint16
	data  []byte
	left  int
	timer *timerqueue.Timer
}

// New makes kiosks that send questions by datagram, and by stream where an answer was truncated.
func New(m Manners, seed uint64, send, stream func([]byte)) *Kiosks {
	return &Kiosks{
		Manners: m,
		send:    send,
		stream:  stream,
		names:   siptransaction.Generator{Seed: seed},
		open:    map[uint16]*ask{},
	}
}

// Plan adds a visit.
func (k *Kiosks) Plan(v *Visit) {
	v.Named = math.NaN()
	k.Visits = append(k.Visits, v)
	k.timers.Schedule(v.At, func() { k.ask(v) })
}

// Step runs what is due.
func (k *Kiosks) Step(now float64) {
	k.now = now
	k.timers.Run(now)
}

// NextWakeup is when Wake is wanted.
func (k *Kiosks) NextWakeup() float64 { return k.timers.Next() }

func (k *Kiosks) ask(v *Visit) {
	d, err := enum.Domain(v.Number, k.Apex)
	if err != nil {
		return
	}
	v.Asks++
	m := new(dns.Msg)
	m.SetQuestion(d, dns.TypeNAPTR)
	m.SetEdns0(1232, false)
	for {
		m.Id = uint16(k.names.Float64() * 65536)
		if k.open[m.Id] == nil {
			break
		}
	}
	data, err := m.Pack()
	if err != nil {
		return
	}
	a := &ask{visit: v, id: m.Id, data: data, left: k.Repeats}
	k.open[a.id] = a
	k.put(a)
}

func (k *Kiosks) put(a *ask) {
	k.send(a.data)
	a.timer = k.timers.Schedule(k.now+k.Wait, func() {
		if a.left == 0 {
			delete(k.open, a.id)
			k.Silent++
			k.again(a.visit)
			return
		}
		a.left--
		k.put(a)
	})
}

func (k *Kiosks) again(v *Visit) {
	if v.Asks <= k.Asks {
		k.timers.Schedule(k.now+k.Pause*(0.5+k.names.Float64()), func() { k.ask(v) })
	}
}

// Receive takes an answer.
func (k *Kiosks) Receive(now float64, _ netip.AddrPort, data []byte) {
	k.now = now
	m := new(dns.Msg)
	if m.Unpack(data) != nil || !m.Response {
		return
	}
	a := k.open[m.Id]
	if a == nil {
		return
	}
	if m.Truncated {
		k.stream(a.data)
		return
	}
	a.visit.Answers++
	delete(k.open, a.id)
	k.timers.Cancel(a.timer)
	user, to, ok := Named(m)
	switch {
	case ok:
		a.visit.Named = now
		k.Call(now, a.visit, user, to)
	case m.Rcode == dns.RcodeNameError:
		a.visit.None = true
	default:
		k.again(a.visit)
	}
}

// Named is the endpoint that an answer names: the user part of its SIP URI, and where to call.
func Named(m *dns.Msg) (user string, to netip.AddrPort, ok bool) {
	for _, rr := range m.Answer {
		n, is := rr.(*dns.NAPTR)
		if !is {
			continue
		}
		parts := strings.Split(n.Regexp, "!")
		if len(parts) != 4 {
			continue
		}
		uri, found := strings.CutPrefix(parts[2], "sip:")
		user, host, cut := strings.Cut(uri, "@")
		a, err := netip.ParseAddrPort(host)
		if found && cut && err == nil {
			return user, a, true
		}
	}
	return "", netip.AddrPort{}, false
}
