// Package enumclient is a stand-in for the ENUM clients of one gateway. For each planned call a client looks up by ENUM
// which endpoint to call, repeats the query while no response arrives, and calls the endpoint named in the response.
// The package does no I/O and reads no clock.
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

// Visit is one planned call and its outcome.
type Visit struct {
	At      float64 // ms, planned time
	Number  string  // digits
	Hold    float64 // ms, planned holding time
	Asks    int     // look-ups, repeated queries not counted
	Named   float64 // when a response named an endpoint; NaN: never
	None    bool    // the number does not exist
	Answers int
}

// Config configures the look-ups of ENUM clients; times are in ms.
type Config struct {
	Apex    string
	Wait    float64 // time without a response until the query is repeated
	Repeats int     // repeated queries of one look-up
	Asks    int     // most look-ups after the first, if look-ups fail
	Pause   float64 // mean time before a further look-up
}

// Kiosks are the ENUM clients of one gateway.
type Kiosks struct {
	Config
	Visits  []*Visit
	Silent  int                                                         // look-ups that got no response
	Call    func(now float64, v *Visit, user string, to netip.AddrPort) // calls the endpoint that a response named
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

// New returns ENUM clients that send queries over UDP, and over TCP after a truncated response.
func New(m Config, seed uint64, sendUDP, sendTCP func([]byte)) *Kiosks {
	return &Kiosks{
		Config:  m,
		sendUDP: sendUDP,
		sendTCP: sendTCP,
		rng:     siptransaction.Generator{Seed: seed},
		pending: map[uint16]*query{},
	}
}

// Plan schedules a visit.
func (k *Kiosks) Plan(v *Visit) {
	v.Named = math.NaN()
	k.Visits = append(k.Visits, v)
	k.timers.Schedule(v.At, func() { k.startQuery(v) })
}

// Step runs the timers that are due.
func (k *Kiosks) Step(now float64) {
	k.now = now
	k.timers.Run(now)
}

// NextWakeup returns when Step has to be called next.
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

// Receive handles a response.
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

// Named returns the endpoint that a response names: the user part of its SIP URI and its address.
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
