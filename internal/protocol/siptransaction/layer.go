package siptransaction

//tally:decisions

import (
	"bytes"
	"io"
	"net/netip"
	"strconv"

	"github.com/emiago/sipgo/sip"

	"cobaltpier/internal/timerqueue"
)

// User is who speaks over a layer.
type User interface {
	// Asked brings a request that is new: no repeat of one, no CANCEL of a transaction that is known (see Called
	// Off), no ACK.
	Asked(s *Server, req *sip.Request)
	// CalledOff says that a CANCEL came for a request that has no final answer yet; the CANCEL is answered already.
	CalledOff(s *Server, req *sip.Request)
	// Acked brings the ACK of a 2xx.
	Acked(req *sip.Request)
	// Stray brings a 2xx of an INVITE that no transaction waits for: somebody thinks that a call stands.
	Stray(res *sip.Response, from netip.AddrPort)
}

// Times are a layer's timers (RFC 3261 17.1.1.1), in milliseconds.
type Times struct {
	T1 float64 // the first gap between repeats
	T2 float64 // the longest gap of anything but an INVITE
	T4 float64 // so long a message stays in the network
}

// Layer holds the transactions of one address.
type Layer struct {
	Self   netip.AddrPort
	Names  *Names
	Timers *timerqueue.Queue
	Times  Times
	Now    float64 // the time as last handed in
	Bad    int     // datagrams that were no messages
	// Parse reads datagrams; a laboratory may set one that remembers, for messages are only read.
	Parse func([]byte) (sip.Message, error)
	// OnRepeat, if set, hears of repeats of a request; they are answered here.
	OnRepeat func(*Server)

	user    User
	out     func(to netip.AddrPort, data []byte)
	clients map[string]*Client
	servers map[string]*Server
	merged  map[string]*Server // by Call-ID, From tag and CSeq (RFC 3261 8.2.2.2)
	over    ended
	buf     bytes.Buffer
}

// ended remembers what was asked and is over, in little space that the garbage collector need not look through: by the
// hash of the transaction, the final answer of a request that may be asked again, or 0 for one whose repeats get none
// any more (RFC 6026 7.1). Two generations, each for as long as a repeat may come.
type ended struct {
	new, old map[uint64]int16
	since    float64
}

func (e *ended) turn(now, keep float64) {
	if now-e.since > keep {
		e.old, e.new, e.since = e.new, nil, now
	}
}

func (e *ended) add(now, keep float64, key string, code int) {
	e.turn(now, keep)
	if e.new == nil {
		e.new = make(map[uint64]int16, len(e.old))
	}
	e.new[hash(key)] = int16(code)
}

func (e *ended) known(now, keep float64, key string) (int, bool) {
	e.turn(now, keep)
	if len(e.new)+len(e.old) == 0 {
		return 0, false
	}
	h := hash(key)
	if c, ok := e.new[h]; ok {
		return int(c), true
	}
	c, ok := e.old[h]
	return int(c), ok
}

func hash(s string) uint64 {
	h := uint64(14695981039346656037) // FNV-1a, without an allocation
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// bytes is a message as it goes on the wire.
func (l *Layer) bytes(m interface{ StringWrite(io.StringWriter) }) []byte {
	l.buf.Reset()
	m.StringWrite(&l.buf)
	return bytes.Clone(l.buf.Bytes())
}

// NewLayer makes a layer that answers as self and sends through out.
func NewLayer(self netip.AddrPort, t Times, names *Names, timers *timerqueue.Queue, user User,
	out func(netip.AddrPort, []byte)) *Layer {
	return &Layer{Parse: Parse, Self: self, Names: names, Timers: timers, Times: t, user: user, out: out,
		clients: map[string]*Client{}, servers: map[string]*Server{}, merged: map[string]*Server{}}
}

// Open is the number of transactions held.
func (l *Layer) Open() (clients, servers int) { return len(l.clients), len(l.servers) }

// Receive takes a datagram. What is no message is counted in Bad and otherwise passed over.
func (l *Layer) Receive(now float64, from netip.AddrPort, data []byte) {
	l.Now = now
	m, err := l.Parse(data)
	if err != nil {
		l.Bad++
		return
	}
	branch, _ := m.Via().Params.Get("branch")
	switch m := m.(type) {
	case *sip.Response:
		if c := l.clients[string(m.CSeq().MethodName)+branch]; c != nil {
			c.answered(m)
		} else if m.CSeq().MethodName == sip.INVITE && m.StatusCode >= 200 && m.StatusCode < 300 {
			l.user.Stray(m, from)
		}
	case *sip.Request:
		key := branch + "|" + m.Via().SentBy()
		switch m.Method {
		case sip.ACK:
			if s := l.servers["INVITE"+key]; s != nil && s.final >= 300 {
				s.acked()
				return
			}
			l.user.Acked(m)
		case sip.CANCEL:
			l.cancelled(from, m, key)
		default:
			l.asked(from, m, string(m.Method)+key)
		}
	}
}

func (l *Layer) asked(from netip.AddrPort, m *sip.Request, key string) {
	if s := l.servers[key]; s != nil {
		if l.OnRepeat != nil {
			l.OnRepeat(s)
		}
		s.repeated()
		return
	}
	s := &Server{layer: l, key: key, req: m, to: returnTo(from, m.Via())}
	if code, was := l.over.known(l.Now, 64*l.Times.T1, key); was {
		if code != 0 {
			l.out(s.to, l.bytes(Response(m, code, "OK", l.Names.Next())))
		}
		return
	}
	if m.Method == sip.INVITE && Tag(m.To().Params) == "" {
		once := string(*m.CallID()) + "|" + Tag(m.From().Params) + "|" + strconv.Itoa(int(m.CSeq().SeqNo))
		if l.merged[once] != nil {
			l.servers[key] = s
			s.Respond(Response(m, 482, "Loop Detected", l.Names.Next()))
			return
		}
		l.merged[once], s.once = s, once
	}
	l.servers[key] = s
	l.user.Asked(s, m)
}

func (l *Layer) cancelled(from netip.AddrPort, m *sip.Request, key string) {
	if s := l.servers["CANCEL"+key]; s != nil {
		s.repeated()
		return
	}
	s := &Server{layer: l, key: "CANCEL" + key, req: m, to: returnTo(from, m.Via())}
	if _, was := l.over.known(l.Now, 64*l.Times.T1, s.key); was {
		l.out(s.to, l.bytes(Response(m, 200, "OK", l.Names.Next())))
		return
	}
	l.servers[s.key] = s
	invite := l.servers["INVITE"+key]
	if invite == nil {
		s.Respond(Response(m, 481, "Call/Transaction Does Not Exist", l.Names.Next()))
		return
	}
	s.Respond(Response(m, 200, "OK", l.Names.Next()))
	if invite.final == 0 {
		l.user.CalledOff(invite, m)
	}
}

// Server is a transaction that somebody asked for.
type Server struct {
	User   any // the user's own
	layer  *Layer
	key    string
	once   string
	req    *sip.Request
	to     netip.AddrPort
	final  int    // the final answer, 0 before
	last   []byte // the latest answer
	gap    float64
	timer  *timerqueue.Timer // the next repeat
	end    *timerqueue.Timer
	buried bool
	lost   func() // a 2xx of an INVITE that nobody acknowledged
}

// Request is what was asked.
func (s *Server) Request() *sip.Request { return s.req }

// Final is the code of the final answer, 0 before it.
func (s *Server) Final() int { return s.final }

// To is where answers go.
func (s *Server) To() netip.AddrPort { return s.to }

// Respond sends an answer. After a final one nothing is sent any more. A final answer to an INVITE is repeated until
// its ACK (RFC 3261 17.2.1 and 13.3.1.4).
func (s *Server) Respond(res *sip.Response) {
	if s.final != 0 {
		return
	}
	l := s.layer
	s.last = l.bytes(res)
	l.out(s.to, s.last)
	if res.StatusCode < 200 {
		return
	}
	s.final = res.StatusCode
	if s.req.Method != sip.INVITE { // timer J: a repeat is answered from what is remembered
		if s.final < 300 {
			s.bury(s.final)
		} else {
			s.end = l.Timers.Schedule(l.Now+64*l.Times.T1, s.forget)
		}
		return
	}
	s.gap = l.Times.T1
	s.timer = l.Timers.Schedule(l.Now+s.gap, s.again)
	s.end = l.Timers.Schedule(l.Now+64*l.Times.T1, s.unacked) // timer H
}

// Refuse sends a final answer and forgets the transaction at once (RFC 3261 8.2.7): for floods, where the user keeps
// account of repeats in less space.
func (s *Server) Refuse(res *sip.Response) {
	if s.final != 0 {
		return
	}
	s.final = res.StatusCode
	s.layer.out(s.to, s.layer.bytes(res))
	s.forget()
}

// Lost calls back when nobody acknowledged a 2xx within 64 T1.
func (s *Server) Lost(do func()) { s.lost = do }

// Acked is told by the user when the ACK of a 2xx came: repeats end.
func (s *Server) Acked() {
	s.lost = nil
	s.bury(0)
}

func (s *Server) acked() { s.bury(0) }

// bury forgets a transaction but for its answer.
func (s *Server) bury(code int) {
	if s.buried {
		return
	}
	s.buried = true
	l := s.layer
	l.over.add(l.Now, 64*l.Times.T1, s.key, code)
	s.forget()
}

func (s *Server) unacked() {
	if s.lost != nil {
		s.lost()
	}
	s.forget()
}

func (s *Server) again() {
	l := s.layer
	l.out(s.to, s.last)
	s.gap = min(2*s.gap, l.Times.T2)
	s.timer = l.Timers.Schedule(l.Now+s.gap, s.again)
}

// repeated answers a repeat of the request with the latest answer; a 2xx goes by its own timer (RFC 6026 7.1).
func (s *Server) repeated() {
	if s.last != nil && !(s.req.Method == sip.INVITE && s.final >= 200 && s.final < 300) {
		s.layer.out(s.to, s.last)
	}
}

func (s *Server) forget() {
	l := s.layer
	l.Timers.Cancel(s.timer)
	l.Timers.Cancel(s.end)
	delete(l.servers, s.key)
	if s.once != "" {
		delete(l.merged, s.once)
	}
}
