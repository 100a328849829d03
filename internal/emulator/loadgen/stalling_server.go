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

// StallingServer is a stand-in for a gateway that answers each setup with 200 after Delay and stalls at planned times.
// Answers due during a stall are sent at its end, in order, so the wait of every call is known beforehand. A BYE is
// answered at once.
type StallingServer struct {
	Delay  time.Duration
	Stalls []Stall // in order, not overlapping
	conn   *net.UDPConn
	start  time.Time
	queue  chan delayedResponse
	wg     sync.WaitGroup
}

// Stall begins at From after the start and lasts Duration.
type Stall struct{ From, Duration time.Duration }

type delayedResponse struct {
	sendAt time.Time
	to     netip.AddrPort
	data   []byte
}

// ExpectedWait returns the expected wait of a call that arrives at the given time after the start.
func (s *StallingServer) ExpectedWait(at time.Duration) time.Duration {
	end := at + s.Delay
	for _, stall := range s.Stalls {
		if end >= stall.From && end < stall.From+stall.Duration {
			end = stall.From + stall.Duration
		}
	}
	return end - at
}

// Serve answers at an address until Close is called. start is the time from which Stalls and the times of calls count.
func (s *StallingServer) Serve(addr netip.AddrPort, start time.Time) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return fmt.Errorf("load: stalling server: listen: %w", err)
	}
	_ = conn.SetReadBuffer(8 << 20)
	s.conn, s.start, s.queue = conn, start, make(chan delayedResponse, 1<<20)
	s.wg.Add(2)
	go func() {
		defer s.wg.Done()
		defer close(s.queue)
		s.receive()
	}()
	go func() {
		defer s.wg.Done()
		for response := range s.queue {
			for wait := time.Until(response.sendAt); wait > 0; wait = time.Until(response.sendAt) {
				ts := unix.NsecToTimespec(int64(min(wait, 50*time.Millisecond)))
				_ = unix.Nanosleep(&ts, nil)
			}
			_, _ = conn.WriteToUDPAddrPort(response.data, response.to)
		}
	}()
	return nil
}

// Close closes the socket and waits until both goroutines have ended.
func (s *StallingServer) Close() {
	s.conn.Close()
	s.wg.Wait()
}

func (s *StallingServer) receive() {
	buf := make([]byte, 1<<16)
	seenCalls := map[string]bool{}
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		request := buf[:n]
		newResponse := func(status string) []byte {
			var b []byte
			b = append(append(b, "SIP/2.0 "...), status...)
			for _, name := range []string{"Via", "From", "To", "Call-ID", "CSeq"} {
				b = append(append(append(append(b, "\r\n"...), name...), ": "...), headerField(request, name)...)
				if name == "To" && !bytes.Contains(headerField(request, "To"), []byte(";tag=")) {
					b = append(b, ";tag=still"...)
				}
			}
			return append(b, "\r\nContent-Length: 0\r\n\r\n"...)
		}
		switch {
		case bytes.HasPrefix(request, []byte("INVITE ")):
			id := string(headerField(request, "Call-ID"))
			if seenCalls[id] {
				continue // a retransmission
			}
			seenCalls[id] = true
			now := time.Since(s.start)
			s.queue <- delayedResponse{s.start.Add(now + s.ExpectedWait(now)), from, newResponse("200 OK")}
		case bytes.HasPrefix(request, []byte("BYE ")):
			_, _ = s.conn.WriteToUDPAddrPort(newResponse("200 OK"), from)
		}
	}
}
