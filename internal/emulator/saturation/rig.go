// Package saturation measures the maximum throughput of one gateway. Its callers and its endpoint do next to nothing
// for each message, so that the gateway is what is measured. Setups are sent by the clock and do not wait for answers.
// For comparison, Echo measures a plain echo server on the same reactor, which shows the limit of the machine's
// sockets.
package saturation

//tally:standin

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Load is the load that a run sends.
type Load struct {
	Rate        float64       // calls a second
	Duration    time.Duration // how long setups are sent
	HoldingTime time.Duration
}

// Result holds the measurements of a run.
type Result struct {
	Sent, Answered, Ended, Refused int64
	Retransmissions                int64                   // setups that the gateway retransmitted
	SetupDelay                     *hdrhistogram.Histogram // µs from sending a setup to its arrival at the endpoint
	AnswerDelay                    *hdrhistogram.Histogram // µs from the endpoint's answer to its arrival at the caller
	Late                           time.Duration           // maximum lateness of the sender
}

// Rig holds the sockets and the state of both sides, callers and endpoint.
type Rig struct {
	callers, trunk *net.UDPConn
	gateway        netip.AddrPort
	mu             sync.Mutex
	result         *Result
	sentAt         []atomic.Int64 // ns, by call ID
	answeredAt     []atomic.Int64
	established    []atomic.Bool
	received       []atomic.Bool
	holdingTime    time.Duration
	start          time.Time
	done           chan struct{}
	wg             sync.WaitGroup
}

const maxCalls = 1 << 20 // call IDs are reused after this many calls

// NewRig opens the sockets of both sides and starts serving them.
func NewRig(callers, trunk, gateway netip.AddrPort) (*Rig, error) {
	r := &Rig{gateway: gateway, start: time.Now(), done: make(chan struct{})}
	var err error
	if r.callers, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(callers)); err != nil {
		return nil, fmt.Errorf("saturation: callers: %w", err)
	}
	if r.trunk, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(trunk)); err != nil {
		r.callers.Close()
		return nil, fmt.Errorf("saturation: endpoint: %w", err)
	}
	_ = r.callers.SetReadBuffer(8 << 20)
	_ = r.trunk.SetReadBuffer(8 << 20)
	r.sentAt, r.answeredAt = make([]atomic.Int64, maxCalls), make([]atomic.Int64, maxCalls)
	r.established, r.received = make([]atomic.Bool, maxCalls), make([]atomic.Bool, maxCalls)
	r.result = newResult()
	r.wg.Add(2)
	go r.serveTrunk()
	go r.serveCallers()
	return r, nil
}

func newResult() *Result {
	return &Result{SetupDelay: hdrhistogram.New(1, 60_000_000, 3), AnswerDelay: hdrhistogram.New(1, 60_000_000, 3)}
}

// Close closes the sockets.
func (r *Rig) Close() {
	close(r.done)
	r.callers.Close()
	r.trunk.Close()
	r.wg.Wait()
}

func (r *Rig) now() int64 { return int64(time.Since(r.start)) }

// Run sends a load, waits for the holding time and half a second more, and returns the measurements.
func (r *Rig) Run(l Load) *Result {
	r.mu.Lock()
	r.result, r.holdingTime = newResult(), l.HoldingTime
	res := r.result
	r.mu.Unlock()
	begin := time.Now()
	for n := 0; ; {
		at := time.Since(begin)
		if at >= l.Duration {
			break
		}
		due := int(l.Rate * at.Seconds())
		if due > n {
			late := at - time.Duration(float64(n)/l.Rate*1e9)
			r.mu.Lock()
			res.Late = max(res.Late, late)
			r.mu.Unlock()
		}
		for ; n < due; n++ {
			r.invite(n)
		}
		time.Sleep(200 * time.Microsecond)
	}
	time.Sleep(l.HoldingTime + 500*time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result = newResult()
	return res
}

var lastID atomic.Int64

func (r *Rig) invite(int) {
	id := lastID.Add(1) % maxCalls
	r.sentAt[id].Store(r.now())
	r.answeredAt[id].Store(0)
	r.established[id].Store(false)
	r.received[id].Store(false)
	r.mu.Lock()
	r.result.Sent++
	r.mu.Unlock()
	r.write(r.callers, r.gateway, r.request("INVITE", id, nil))
}

func (r *Rig) write(c *net.UDPConn, to netip.AddrPort, data []byte) {
	_, _ = c.WriteToUDPAddrPort(data, to)
}

var runID = strconv.FormatInt(time.Now().UnixNano()%1e6, 36)

func (r *Rig) request(method string, id int64, to []byte) []byte {
	callID := fmt.Sprintf("%s%08x", runID, id)
	b := make([]byte, 0, 768)
	b = append(b, method...)
	b = append(b, " sip:+1418"...)
	b = append(b, fmt.Sprintf("%010d", id)...)
	b = append(b, ";tgrp=TG-0;trunk-context=rush.example@127.0.0.1 SIP/2.0\r\nVia: SIP/2.0/UDP "...)
	b = append(b, r.callers.LocalAddr().String()...)
	b = append(b, ";rport;branch=z9hG4bK"...)
	b = append(b, callID...)
	if method != "INVITE" {
		b = append(b, method[0])
	}
	b = append(b, "\r\nFrom: <sip:staff@rush.example>;tag="...)
	b = append(b, callID...)
	b = append(b, "\r\nTo: "...)
	if to == nil {
		to = []byte("<sip:staff@127.0.0.1>")
	}
	b = append(b, to...)
	b = append(b, "\r\nCall-ID: "...)
	b = append(b, callID...)
	b = append(b, "\r\nCSeq: "...)
	if method == "BYE" {
		b = append(b, '2')
	} else {
		b = append(b, '1')
	}
	b = append(b, ' ')
	b = append(b, method...)
	b = append(b, "\r\nContact: <sip:"...)
	b = append(b, r.callers.LocalAddr().String()...)
	b = append(b, ">\r\nMax-Forwards: 70\r\nSession-ID: "...)
	b = append(b, fmt.Sprintf("%032x;remote=%032x", id+1<<40, 0)...)
	b = append(b, "\r\nExpires: 9\r\n"...)
	if method == "INVITE" {
		b = append(b, "Content-Type: application/sdp\r\nContent-Length: 3\r\n\r\nv=0"...)
	} else {
		b = append(b, "Content-Length: 0\r\n\r\n"...)
	}
	return b
}

// headerField returns the value of a header field, or nil if the message has none of that name.
func headerField(data []byte, name string) []byte {
	i := bytes.Index(data, []byte("\r\n"+name+": "))
	if i < 0 {
		return nil
	}
	v := data[i+len(name)+4:]
	if j := bytes.IndexByte(v, '\r'); j >= 0 {
		v = v[:j]
	}
	return v
}

func (r *Rig) serveCallers() {
	defer r.wg.Done()
	buf := make([]byte, 1<<16)
	for {
		n, _, err := r.callers.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		d := buf[:n]
		if n < 16 || d[0] != 'S' || !bytes.HasSuffix(headerField(d, "CSeq"), []byte("INVITE")) {
			if n > 16 && bytes.HasPrefix(d, []byte("SIP/2.0 200")) {
				r.mu.Lock()
				r.result.Ended++
				r.mu.Unlock()
			}
			continue
		}
		call := headerField(d, "Call-ID")
		if !bytes.HasPrefix(call, []byte(runID)) {
			continue
		}
		id, err := strconv.ParseInt(string(call[len(runID):]), 16, 64)
		if err != nil || id < 0 || id >= maxCalls {
			continue
		}
		switch code := string(d[8:11]); {
		case code[0] == '1':
		case code == "200":
			to := append([]byte(nil), headerField(d, "To")...)
			r.write(r.callers, r.gateway, r.request("ACK", id, to))
			if r.established[id].Swap(true) {
				continue
			}
			at := r.now()
			r.mu.Lock()
			r.result.Answered++
			_ = r.result.AnswerDelay.RecordValue(max(1, (at-r.answeredAt[id].Load())/1000))
			r.mu.Unlock()
			if r.holdingTime == 0 {
				r.write(r.callers, r.gateway, r.request("BYE", id, to))
			} else {
				time.AfterFunc(r.holdingTime, func() { r.write(r.callers, r.gateway, r.request("BYE", id, to)) })
			}
		default:
			to := append([]byte(nil), headerField(d, "To")...)
			r.write(r.callers, r.gateway, r.request("ACK", id, to))
			r.mu.Lock()
			r.result.Refused++
			r.mu.Unlock()
		}
	}
}

func (r *Rig) serveTrunk() {
	defer r.wg.Done()
	buf := make([]byte, 1<<16)
	var out []byte
	for {
		n, from, err := r.trunk.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		d := buf[:n]
		reply := func(status, extraHeader string) {
			out = append(append(append(out[:0], "SIP/2.0 "...), status...), "\r\nVia: "...)
			out = append(append(out, headerField(d, "Via")...), "\r\nFrom: "...)
			out = append(append(out, headerField(d, "From")...), "\r\nTo: "...)
			out = append(out, headerField(d, "To")...)
			if !bytes.Contains(headerField(d, "To"), []byte(";tag=")) {
				out = append(out, ";tag=sw"...)
			}
			out = append(append(out, "\r\nCall-ID: "...), headerField(d, "Call-ID")...)
			out = append(append(out, "\r\nCSeq: "...), headerField(d, "CSeq")...)
			out = append(append(out, extraHeader...), "\r\nContent-Length: 0\r\n\r\n"...)
			r.write(r.trunk, from, out)
		}
		switch d[0] {
		case 'I':
			id, _ := strconv.ParseInt(string(d[len("INVITE sip:+1418"):][:10]), 10, 64)
			if id < 0 || id >= maxCalls {
				continue
			}
			at := r.now()
			r.mu.Lock()
			if r.received[id].Swap(true) {
				r.result.Retransmissions++
			} else {
				_ = r.result.SetupDelay.RecordValue(max(1, (at-r.sentAt[id].Load())/1000))
			}
			r.mu.Unlock()
			reply("180 Ringing", "")
			r.answeredAt[id].Store(r.now())
			reply(
				"200 OK",
				"\r\nContact: <sip:"+r.trunk.LocalAddr().String()+">\r\nCobalt-Load: util=0.1;queue=0;lines=1000000;free=900000",
			)
		case 'B':
			reply("200 OK", "")
		}
	}
}

// Echo sends datagrams of 600 bytes, about the size of a SIP message, to an echo server at a rate a second. It returns
// the numbers sent and received back, and the round-trip times in µs.
func Echo(echo netip.AddrPort, rate float64, duration time.Duration) (sent, back int64, times *hdrhistogram.Histogram,
	err error) {
	c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(echo))
	if err != nil {
		return 0, 0, nil, fmt.Errorf("saturation: echo: %w", err)
	}
	defer c.Close()
	_ = c.SetReadBuffer(8 << 20)
	times = hdrhistogram.New(1, 60_000_000, 3)
	var receivedCount atomic.Int64
	begin := time.Now()
	read := make(chan struct{})
	go func() {
		defer close(read)
		b := make([]byte, 2048)
		for {
			n, err := c.Read(b)
			if err != nil || n < 16 {
				return
			}
			at, _ := strconv.ParseInt(string(b[:16]), 16, 64)
			_ = times.RecordValue(max(1, (int64(time.Since(begin))-at)/1000))
			receivedCount.Add(1)
		}
	}()
	data := bytes.Repeat([]byte("x"), 600)
	for {
		at := time.Since(begin)
		if at >= duration {
			break
		}
		for due := int64(rate * at.Seconds()); sent < due; sent++ {
			copy(data, fmt.Sprintf("%016x", int64(time.Since(begin))))
			_, _ = c.Write(data)
		}
		time.Sleep(200 * time.Microsecond)
	}
	time.Sleep(300 * time.Millisecond)
	c.Close()
	<-read
	return sent, receivedCount.Load(), times, nil
}
