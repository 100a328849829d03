package loadgen

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Still is a stand-in that answers each setup after a fixed delay, and stalls at planned times: what would be
// answered then is answered at the end of the pause, in order. So the true wait of every call is known beforehand.
type Still struct {
	Delay  time.Duration
	Pauses []Pause // in order, not overlapping
	conn   *net.UDPConn
	start  time.Time
	queue  chan late
	wait   sync.WaitGroup
}

// Pause is from a time after the start, for so long.
type Pause struct{ From, For time.Duration }

type late struct {
	at   time.Time
	to   netip.AddrPort
	data []byte
}

// True is the wait of a call that comes at a time after the start.
func (s *Still) True(at time.Duration) time.Duration {
	end := at + s.Delay
	for _, p := range s.Pauses {
		if end >= p.From && end < p.From+p.For {
			end = p.From + p.For
		}
	}
	return end - at
}

// Serve answers at an address until Close; start is the plan's time 0.
func (s *Still) Serve(at netip.AddrPort, start time.Time) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return fmt.Errorf("load: stand-in: %w", err)
	}
	_ = conn.SetReadBuffer(8 << 20)
	s.conn, s.start, s.queue = conn, start, make(chan late, 1<<20)
	s.wait.Add(2)
	go func() {
		defer s.wait.Done()
		defer close(s.queue)
		s.read()
	}()
	go func() {
		defer s.wait.Done()
		for l := range s.queue {
			for wait := time.Until(l.at); wait > 0; wait = time.Until(l.at) {
				ts := unix.NsecToTimespec(int64(min(wait, 50*time.Millisecond)))
				_ = unix.Nanosleep(&ts, nil)
			}
			_, _ = conn.WriteToUDPAddrPort(l.data, l.to)
		}
	}()
	return nil
}

// Close ends it.
func (s *Still) Close() {
	s.conn.Close()
	s.wait.Wait()
}

func (s *Still) read() {
	buf := make([]byte, 1<<16)
	seen := map[string]bool{}
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		d := buf[:n]
		answer := func(status string) []byte {
			var b []byte
			b = append(append(b, "SIP/2.0 "...), status...)
			for _, name := range []string{"Via", "From", "To", "Call-ID", "CSeq"} {
				b = append(append(append(append(b, "\r\n"...), name...), ": "...), field(d, name)...)
				if name == "To" && !bytes.Contains(field(d, "To"), []byte(";tag=")) {
					b = append(b, ";tag=still"...)
				}
			}
			return append(b, "\r\nContent-Length: 0\r\n\r\n"...)
		}
		switch {
		case bytes.HasPrefix(d, []byte("INVITE ")):
			id := string(field(d, "Call-ID"))
			if seen[id] {
				continue // a repeat
			}
			seen[id] = true
			now := time.Since(s.start)
			s.queue <- late{s.start.Add(now + s.True(now)), from, answer("200 OK")}
		case bytes.HasPrefix(d, []byte("BYE ")):
			_, _ = s.conn.WriteToUDPAddrPort(answer("200 OK"), from)
		}
	}
}
