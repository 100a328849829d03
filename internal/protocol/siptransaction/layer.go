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

// User is the transaction user of a layer (RFC 3261, section 5).
type User interface {
	// OnRequest reports a new request: neither a retransmission, nor a CANCEL of a known transaction, nor an ACK.
	OnRequest(s *Server, req *sip.Request)
	// OnCancel reports a CANCEL for a request without a final response. The layer has answered the CANCEL itself.
	OnCancel(s *Server, req *sip.Request)
	// OnAck reports an ACK that matches no INVITE rejected here, such as the ACK of a 2xx.
	OnAck(req *sip.Request)
	// OnStrayResponse reports a 2xx to an INVITE that matches no transaction: the peer has a call that is unknown here.
	OnStrayResponse(res *sip.Response, from netip.AddrPort)
}

// TimerValues are a layer's timers (RFC 3261 17.1.1.1), in milliseconds.
type TimerValues struct {
	T1 float64 // the first interval between retransmissions
	T2 float64 // the longest interval, except for an INVITE request
	T4 float64 // the longest time that a message stays in the network
}

// Layer holds the transactions of one address.
type Layer struct {
	Address   netip.AddrPort
	Generator *Generator
	Timers    *timerqueue.Queue
	Times     TimerValues
	Now       float64 // the time of the latest event
	Malformed int     // datagrams that could not be parsed
	// Parse parses datagrams. The emulator sets a caching parser; it may, since parsed messages are never changed.
	Parse func([]byte) (sip.Message, error)
	// OnRetransmission, if set, is called for each retransmission of a request whose transaction is open. The layer
	// handles these itself.
	OnRetransmission func(*Server)

	user    User
	send    func(to netip.AddrPort, data []byte)
	clients map[string]*Client
	servers map[string]*Server
	merged  map[string]*Server // by Call-ID, From tag and CSeq (RFC 3261 8.2.2.2)
	ended   endedTransactions
	buffer  bytes.Buffer
}

// endedTransactions maps the hash of an ended transaction to the code of the final response that a retransmission gets,
// or 0 for none (RFC 6026 7.1). The maps are compact and hold no pointers, so the garbage collector doesn't scan them.
// Two generations are kept, each for as long as a retransmission may arrive.
type endedTransactions struct {
	recent, previous map[uint64]int16
	rotatedAt        float64
}

func (e *endedTransactions) rotate(now, keep float64) {
	if now-e.rotatedAt > keep {
		e.previous, e.recent, e.rotatedAt = e.recent, nil, now
	}
}

func (e *endedTransactions) add(now, keep float64, key string, code int) {
	e.rotate(now, keep)
	if e.recent == nil {
		e.recent = make(map[uint64]int16, len(e.previous))
	}
	e.recent[hashKey(key)] = int16(code)
}

func (e *endedTransactions) known(now, keep float64, key string) (int, bool) {
	e.rotate(now, keep)
	if len(e.recent)+len(e.previous) == 0 {
		return 0, false
	}
	h := hashKey(key)
	if c, ok := e.recent[h]; ok {
		return int(c), true
	}
	c, ok := e.previous[h]
	return int(c), ok
}

func hashKey(s string) uint64 {
	h := uint64(14695981039346656037) // FNV-1a, without an allocation
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// encode returns a message in wire format.
func (l *Layer) encode(m interface{ StringWrite(io.StringWriter) }) []byte {
	l.buffer.Reset()
	m.StringWrite(&l.buffer)
	return bytes.Clone(l.buffer.Bytes())
}

// NewLayer returns a layer for a local address that sends datagrams through send.
func NewLayer(address netip.AddrPort, times TimerValues, generator *Generator, timers *timerqueue.Queue, user User,
	send func(netip.AddrPort, []byte)) *Layer {
	return &Layer{Parse: Parse, Address: address, Generator: generator, Timers: timers, Times: times, user: user,
		send: send, clients: map[string]*Client{}, servers: map[string]*Server{}, merged: map[string]*Server{}}
}

// OpenCounts returns the number of open client and server transactions.
func (l *Layer) OpenCounts() (clients, servers int) { return len(l.clients), len(l.servers) }

// Receive handles a datagram. One that is not a SIP message is counted in Malformed and dropped.
func (l *Layer) Receive(now float64, from netip.AddrPort, data []byte) {
	l.Now = now
	m, err := l.Parse(data)
	if err != nil {
		l.Malformed++
		return
	}
	branch, _ := m.Via().Params.Get("branch")
	switch m := m.(type) {
	case *sip.Response:
		if c := l.clients[string(m.CSeq().MethodName)+branch]; c != nil {
			c.receive(m)
		} else if m.CSeq().MethodName == sip.INVITE && m.StatusCode >= 200 && m.StatusCode < 300 {
			l.user.OnStrayResponse(m, from)
		}
	case *sip.Request:
		key := branch + "|" + m.Via().SentBy()
		switch m.Method {
		case sip.ACK:
			if s := l.servers["INVITE"+key]; s != nil && s.final >= 300 {
				s.onAck()
				return
			}
			l.user.OnAck(m)
		case sip.CANCEL:
			l.onCancel(from, m, key)
		default:
			l.onRequest(from, m, string(m.Method)+key)
		}
	}
}

func (l *Layer) onRequest(from netip.AddrPort, m *sip.Request, key string) {
	if s := l.servers[key]; s != nil {
		if l.OnRetransmission != nil {
			l.OnRetransmission(s)
		}
		s.onRetransmission()
		return
	}
	s := &Server{layer: l, key: key, request: m, to: responseAddress(from, m.Via())}
	if code, ended := l.ended.known(l.Now, 64*l.Times.T1, key); ended {
		if code != 0 {
			l.send(s.to, l.encode(Response(m, code, "OK", l.Generator.Next())))
		}
		return
	}
	if m.Method == sip.INVITE && Tag(m.To().Params) == "" {
		mergeKey := string(*m.CallID()) + "|" + Tag(m.From().Params) + "|" + strconv.Itoa(int(m.CSeq().SeqNo))
		if l.merged[mergeKey] != nil {
			l.servers[key] = s
			s.Respond(Response(m, 482, "Loop Detected", l.Generator.Next()))
			return
		}
		l.merged[mergeKey], s.mergeKey = s, mergeKey
	}
	l.servers[key] = s
	l.user.OnRequest(s, m)
}

func (l *Layer) onCancel(from netip.AddrPort, m *sip.Request, key string) {
	if s := l.servers["CANCEL"+key]; s != nil {
		s.onRetransmission()
		return
	}
	s := &Server{layer: l, key: "CANCEL" + key, request: m, to: responseAddress(from, m.Via())}
	if _, ended := l.ended.known(l.Now, 64*l.Times.T1, s.key); ended {
		l.send(s.to, l.encode(Response(m, 200, "OK", l.Generator.Next())))
		return
	}
	l.servers[s.key] = s
	invite := l.servers["INVITE"+key]
	if invite == nil {
		s.Respond(Response(m, 481, "Call/Transaction Does Not Exist", l.Generator.Next()))
		return
	}
	s.Respond(Response(m, 200, "OK", l.Generator.Next()))
	if invite.final == 0 {
		l.user.OnCancel(invite, m)
	}
}

// Server is a server transaction.
type Server struct {
	User             any // data that the transaction user attaches
	layer            *Layer
	key              string
	mergeKey         string
	request          *sip.Request
	to               netip.AddrPort
	final            int    // code of the final response, or 0 before it
	lastResponse     []byte // the latest response
	interval         float64
	timer            *timerqueue.Timer // of the next retransmission
	expiry           *timerqueue.Timer
	archived         bool
	onUnacknowledged func() // called if a 2xx to an INVITE is not acknowledged within 64 T1
}

// Request returns the request.
func (s *Server) Request() *sip.Request { return s.request }

// Final returns the code of the final response, or 0 before it.
func (s *Server) Final() int { return s.final }

// ResponseAddress returns the address to which responses are sent.
func (s *Server) ResponseAddress() netip.AddrPort { return s.to }

// Respond sends a response, unless a final one was sent before. A final response to an INVITE is retransmitted
// until its ACK (RFC 3261 17.2.1 and 13.3.1.4).
func (s *Server) Respond(res *sip.Response) {
	if s.final != 0 {
		return
	}
	l := s.layer
	s.lastResponse = l.encode(res)
	l.send(s.to, s.lastResponse)
	if res.StatusCode < 200 {
		return
	}
	s.final = res.StatusCode
	if s.request.Method != sip.INVITE { // timer J: retransmissions get the stored response
		if s.final < 300 {
			s.archive(s.final)
		} else {
			s.expiry = l.Timers.Schedule(l.Now+64*l.Times.T1, s.discard)
		}
		return
	}
	s.interval = l.Times.T1
	s.timer = l.Timers.Schedule(l.Now+s.interval, s.retransmit)
	s.expiry = l.Timers.Schedule(l.Now+64*l.Times.T1, s.onTimeout) // timer H
}

// RespondStateless sends a final response and discards the transaction at once (RFC 3261 8.2.7). It is for floods,
// where the user keeps its own, smaller record of the request.
func (s *Server) RespondStateless(res *sip.Response) {
	if s.final != 0 {
		return
	}
	s.final = res.StatusCode
	s.layer.send(s.to, s.layer.encode(res))
	s.discard()
}

// OnUnacknowledged sets a function to call if a 2xx is not acknowledged within 64 T1.
func (s *Server) OnUnacknowledged(do func()) { s.onUnacknowledged = do }

// Acknowledge stops the retransmission of a 2xx, after its ACK or once the call is released.
func (s *Server) Acknowledge() {
	s.onUnacknowledged = nil
	s.archive(0)
}

func (s *Server) onAck() { s.archive(0) }

// archive discards a transaction and keeps only the code that a retransmission gets.
func (s *Server) archive(code int) {
	if s.archived {
		return
	}
	s.archived = true
	l := s.layer
	l.ended.add(l.Now, 64*l.Times.T1, s.key, code)
	s.discard()
}

func (s *Server) onTimeout() {
	if s.onUnacknowledged != nil {
		s.onUnacknowledged()
	}
	s.discard()
}

func (s *Server) retransmit() {
	l := s.layer
	l.send(s.to, s.lastResponse)
	s.interval = min(2*s.interval, l.Times.T2)
	s.timer = l.Timers.Schedule(l.Now+s.interval, s.retransmit)
}

// onRetransmission answers a retransmission of the request with the latest response, except a 2xx to an INVITE, which
// has its own timer (RFC 6026 7.1).
func (s *Server) onRetransmission() {
	hasOwnTimer := s.request.Method == sip.INVITE && s.final >= 200 && s.final < 300
	if s.lastResponse != nil && !hasOwnTimer {
		s.layer.send(s.to, s.lastResponse)
	}
}

func (s *Server) discard() {
	l := s.layer
	l.Timers.Cancel(s.timer)
	l.Timers.Cancel(s.expiry)
	delete(l.servers, s.key)
	if s.mergeKey != "" {
		delete(l.merged, s.mergeKey)
	}
}
