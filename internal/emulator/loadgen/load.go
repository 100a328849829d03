// Package loadgen sends planned calls to gateways at their planned times, regardless of earlier calls, and measures
// waits from the planned times: a stalled gateway does not slow the load, and the calls due during a stall count with
// their whole wait. It measures its own lateness and reports when it was itself the bottleneck.
package loadgen

//tally:standin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/netip"
	"runtime"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"cobaltpier/api"
)

// Histograms hold waits in µs, from 1 µs to ten minutes, with three significant digits.
const (
	minWaitMicros     = 1
	maxWaitMicros     = 600_000_000
	significantDigits = 3
)

// ErrBottleneck reports that the generator itself was late, so the measured waits include its own lateness.
var ErrBottleneck = errors.New("the generator was the bottleneck")

// Options configure a run of the generator.
type Options struct {
	LocalAddr netip.AddrPort
	Targets   []netip.AddrPort // by gateway number, modulo the number of targets
	Context   string           // trunk-context
	T1        time.Duration    // time until the first retransmission of a setup
	Late      time.Duration    // allowed lateness at the 99.9th percentile; Run does not read it
	Start     time.Time        // the time from which the times of calls count; if zero, shortly after Run is called
}

// Result holds the measurements of a run. Its histograms are in µs and can be merged.
type Result struct {
	// waits until the call was established, from its planned time; of an unanswered call, its timeout
	WaitFromPlanned *hdrhistogram.Histogram
	// the same waits, from the time the setup was sent
	WaitFromSent *hdrhistogram.Histogram
	// from the planned time to the time the setup was sent
	SendDelay                                                           *hdrhistogram.Histogram
	Planned, Answered, Refused, Unanswered, Retransmissions, OutOfRange int64
}

// NewResult returns an empty result.
func NewResult() *Result {
	h := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(minWaitMicros, maxWaitMicros, significantDigits)
	}
	return &Result{WaitFromPlanned: h(), WaitFromSent: h(), SendDelay: h()}
}

// record adds a wait to a histogram. A wait above the range counts as the highest value, and in OutOfRange.
func (r *Result) record(h *hdrhistogram.Histogram, d time.Duration) {
	v := max(minWaitMicros, d.Microseconds())
	if v > maxWaitMicros {
		v = maxWaitMicros
		r.OutOfRange++
	}
	if err := h.RecordValue(v); err != nil {
		r.OutOfRange++
	}
}

// Merge adds the result of another process.
func (r *Result) Merge(o *Result) {
	r.WaitFromPlanned.Merge(o.WaitFromPlanned)
	r.WaitFromSent.Merge(o.WaitFromSent)
	r.SendDelay.Merge(o.SendDelay)
	r.Planned += o.Planned
	r.Answered += o.Answered
	r.Refused += o.Refused
	r.Unanswered += o.Unanswered
	r.Retransmissions += o.Retransmissions
	r.OutOfRange += o.OutOfRange
}

// CheckLateness returns ErrBottleneck if the generator's lateness at the 99.9th percentile is more than allowed.
func (r *Result) CheckLateness(allowed time.Duration) error {
	late := time.Duration(r.SendDelay.ValueAtQuantile(99.9)) * time.Microsecond
	if late > allowed {
		return fmt.Errorf("%w: 99.9th percentile of its lateness is %v, %v is allowed", ErrBottleneck, late, allowed)
	}
	return nil
}

type call struct {
	*api.Call
	index              int
	due                time.Time
	sentAt             time.Time
	responded          bool // any response was received
	finished           bool
	retransmitTimer    *time.Timer
	timeoutTimer       *time.Timer
	retransmitInterval time.Duration
	invite             []byte
}

type runner struct {
	options Options
	conn    *net.UDPConn
	mu      sync.Mutex
	calls   []call
	result  *Result
	pending sync.WaitGroup
	runID   string
}

// Run sends the calls and waits until each has ended. A call that is not answered within its timeout counts with the
// timeout as its wait, rather than being left out, and is canceled if a provisional response has arrived.
func Run(ctx context.Context, calls []*api.Call, o Options) (*Result, error) {
	if len(o.Targets) == 0 {
		return nil, fmt.Errorf("load: no gateway to send to")
	}
	if o.T1 == 0 {
		o.T1 = 500 * time.Millisecond
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(o.LocalAddr))
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	defer conn.Close()
	_ = conn.SetReadBuffer(8 << 20)
	if o.Start.IsZero() {
		o.Start = time.Now().Add(50 * time.Millisecond)
	}
	r := &runner{
		options: o,
		conn:    conn,
		calls:   make([]call, len(calls)),
		result:  NewResult(),
		runID:   strconv.FormatInt(time.Now().UnixNano()%1e9, 36),
	}
	receiveDone := make(chan struct{})
	go func() { defer close(receiveDone); r.receive() }()
	r.result.Planned = int64(len(calls))
	sentCount := r.sendCalls(ctx, calls)
	done := make(chan struct{})
	go func() { r.pending.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	}
	time.Sleep(50 * time.Millisecond) // time for the last releases to be sent
	conn.Close()
	<-receiveDone
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.calls[:sentCount] { // stops timers and ignores later responses
		for _, t := range []*time.Timer{r.calls[i].retransmitTimer, r.calls[i].timeoutTimer} {
			if t != nil {
				t.Stop()
			}
		}
		r.calls[i].finished = true
	}
	return r.result, ctx.Err()
}

// sendCalls sends each setup at its planned time and returns the number sent. It sleeps with nanosleep, since the Go
// runtime's timers round up to a millisecond.
func (r *runner) sendCalls(ctx context.Context, calls []*api.Call) int {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for i, c := range calls {
		due := r.options.Start.Add(time.Duration(c.AtMs * 1e6))
		k := &r.calls[i]
		k.Call, k.index, k.due, k.retransmitInterval = c, i, due, r.options.T1
		k.invite = r.request("INVITE", k, nil)
		for {
			if ctx.Err() != nil {
				return i
			}
			wait := time.Until(due)
			if wait <= 0 {
				break
			}
			ts := unix.NsecToTimespec(int64(min(wait, 50*time.Millisecond)))
			_ = unix.Nanosleep(&ts, nil)
		}
		r.pending.Add(1)
		r.mu.Lock()
		k.sentAt = time.Now()
		r.result.record(r.result.SendDelay, k.sentAt.Sub(due))
		k.retransmitTimer = time.AfterFunc(k.retransmitInterval, func() { r.retransmit(k) })
		k.timeoutTimer = time.AfterFunc(time.Until(due)+time.Duration(c.PatienceMs*1e6), func() { r.onTimeout(k) })
		r.mu.Unlock()
		r.write(k, k.invite)
	}
	return len(calls)
}

func (r *runner) target(k *call) netip.AddrPort {
	return r.options.Targets[int(k.Gateway)%len(r.options.Targets)]
}

func (r *runner) write(k *call, data []byte) { _, _ = r.conn.WriteToUDPAddrPort(data, r.target(k)) }

// retransmit repeats a setup that got no response (RFC 3261 17.1.1.2).
func (r *runner) retransmit(k *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k.responded || k.finished {
		return
	}
	r.result.Retransmissions++
	k.retransmitInterval *= 2
	k.retransmitTimer = time.AfterFunc(k.retransmitInterval, func() { r.retransmit(k) })
	r.write(k, k.invite)
}

// onTimeout ends a call that was not answered within the caller's timeout.
func (r *runner) onTimeout(k *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k.finished {
		return
	}
	k.finished = true
	r.result.Unanswered++
	wait := time.Duration(k.PatienceMs * 1e6)
	r.result.record(r.result.WaitFromPlanned, wait)
	r.result.record(r.result.WaitFromSent, wait-k.sentAt.Sub(k.due))
	if k.responded {
		r.write(k, r.request("CANCEL", k, nil))
	}
	r.pending.Done()
}

func (r *runner) receive() {
	buf := make([]byte, 1<<16)
	for {
		n, _, err := r.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		r.onDatagram(buf[:n], time.Now())
	}
}

func (r *runner) onDatagram(d []byte, at time.Time) {
	if len(d) < 16 {
		return
	}
	if bytes.HasPrefix(d, []byte("BYE ")) {
		r.answerBye(d)
		return
	}
	id := headerField(d, "Call-ID")
	if !bytes.HasPrefix(d, []byte("SIP/2.0 ")) || !bytes.HasPrefix(id, []byte(r.runID)) ||
		!bytes.HasSuffix(headerField(d, "CSeq"), []byte("INVITE")) {
		return
	}
	i, err := strconv.ParseInt(string(id[len(r.runID)+1:]), 16, 64)
	if err != nil || i < 0 || int(i) >= len(r.calls) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	k := &r.calls[i]
	if k.Call == nil {
		return
	}
	k.responded = true
	switch d[8] {
	case '1':
		return
	case '2':
		to := bytes.Clone(headerField(d, "To"))
		r.write(k, r.request("ACK", k, to))
		if k.finished {
			return
		}
		r.finish(k)
		r.result.Answered++
		r.result.record(r.result.WaitFromPlanned, at.Sub(k.due))
		r.result.record(r.result.WaitFromSent, at.Sub(k.sentAt))
		time.AfterFunc(time.Duration(k.HoldMs*1e6), func() {
			r.write(k, r.request("BYE", k, to))
			r.pending.Done()
		})
	default:
		r.write(k, r.request("ACK", k, bytes.Clone(headerField(d, "To"))))
		if k.finished {
			return
		}
		r.finish(k)
		r.result.Refused++
		r.pending.Done()
	}
}

func (r *runner) finish(k *call) {
	k.finished = true
	k.retransmitTimer.Stop()
	k.timeoutTimer.Stop()
}

// answerBye answers a BYE from the gateway.
func (r *runner) answerBye(d []byte) {
	var b []byte
	b = append(b, "SIP/2.0 200 OK"...)
	for _, name := range []string{"Via", "From", "To", "Call-ID", "CSeq"} {
		b = append(append(append(append(b, "\r\n"...), name...), ": "...), headerField(d, name)...)
	}
	b = append(b, "\r\nContent-Length: 0\r\n\r\n"...)
	for _, t := range r.options.Targets { // the topmost Via holds the sender's address
		if bytes.Contains(headerField(d, "Via"), []byte(t.String())) {
			_, _ = r.conn.WriteToUDPAddrPort(b, t)
		}
	}
}

func headerField(d []byte, name string) []byte {
	i := bytes.Index(d, []byte("\r\n"+name+": "))
	if i < 0 {
		return nil
	}
	v := d[i+len(name)+4:]
	if j := bytes.IndexByte(v, '\r'); j >= 0 {
		v = v[:j]
	}
	return v
}

// request encodes a SIP request of a call. It formats the message directly, since the generator must cost less than
// the gateway that it measures.
func (r *runner) request(method string, k *call, to []byte) []byte {
	callID := fmt.Sprintf("%s.%08x", r.runID, k.index)
	b := make([]byte, 0, 900)
	at := r.target(k).String()
	b = fmt.Appendf(b, "%s sip:%s", method, k.Number)
	if k.Group != "" {
		b = fmt.Appendf(b, ";tgrp=%s;trunk-context=%s", k.Group, r.options.Context)
	}
	branch, seq := callID, 1
	switch method {
	case "BYE":
		branch, seq = callID+"b", 2
	case "ACK":
		branch = callID + "a"
	}
	b = fmt.Appendf(
		b,
		"@%s SIP/2.0\r\nVia: SIP/2.0/UDP %s;rport;branch=z9hG4bK%s\r\nFrom: <sip:staff@%s>;tag=%s\r\nTo: ",
		at,
		r.conn.LocalAddr(),
		branch,
		k.Customer,
		callID,
	)
	if to == nil {
		b = fmt.Appendf(b, "<sip:%s@%s>", k.Number, at)
	} else {
		b = append(b, to...)
	}
	b = fmt.Appendf(
		b,
		"\r\nCall-ID: %s\r\nCSeq: %d %s\r\nContact: <sip:%s>\r\nMax-Forwards: 70\r\nSession-ID: %032x;remote=%032x\r\n",
		callID,
		seq,
		method,
		r.conn.LocalAddr(),
		uint64(k.index)+1<<40,
		0,
	)
	if method == "INVITE" {
		b = fmt.Appendf(
			b,
			"P-Preferred-Service: urn:urn-7:%s\r\nExpires: %d\r\nContent-Type: application/sdp\r\nContent-Length: 3\r\n\r\nv=0",
			k.Skill,
			int(math.Ceil(k.PatienceMs/1000)),
		)
	} else {
		b = append(b, "Content-Length: 0\r\n\r\n"...)
	}
	return b
}
