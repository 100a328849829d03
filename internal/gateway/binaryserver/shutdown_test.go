package binaryserver

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cobaltpier/internal/protocol/binarymessage"
)

// runWithLeakCheck runs a test and fails if it leaves goroutines behind.
func runWithLeakCheck(t *testing.T, do func(t *testing.T)) {
	t.Helper()
	defer goleak.VerifyNone(t, goleak.IgnoreTopFunction("github.com/lesismal/nbio/timer.(*Timer).Start.func1"))
	t.Run("clean", do)
}

// waitUntilStopped waits for a gateway to stop by itself.
func (s *testServer) waitUntilStopped(within time.Duration) {
	s.Helper()
	select {
	case err := <-s.result:
		s.result <- err
		if err != nil {
			s.Error(err)
		}
	case <-time.After(within):
		s.Error("the gateway does not stop")
	}
}

// readToEOF reads until the gateway closes the connection. It returns an error if the connection is reset or stays
// open.
func (p *testClient) readToEOF(within time.Duration) error {
	_ = p.conn.SetReadDeadline(time.Now().Add(within))
	b := make([]byte, 4096)
	for {
		n, err := p.conn.Read(b)
		_ = p.reader.Feed(b[:n], func(m binarymessage.Message) bool {
			p.received[m.Call()] = append(p.received[m.Call()], append(binarymessage.Message(nil), m...))
			return true
		})
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// A setup that is received in part when the shutdown begins is answered once it is complete: it is served while calls
// are accepted and rejected after that. All connections are closed without a reset.
func TestShutdownWithPartialSetups(t *testing.T) {
	runWithLeakCheck(t, func(t *testing.T) {
		a := newTestEndpoint(t, "s-0")
		s := newTestServer(t, newTestNameServer(t, 1, a), a)
		soon, late, idle := s.dial(), s.dial(), s.dial()
		soon.waitUntilReady()
		one, two := setupMessage(600), setupMessage(602)
		_, _ = soon.conn.Write(one[:11])
		_, _ = late.conn.Write(two[:len(two)-1])
		s.signals <- Shutdown
		_, _ = soon.conn.Write(one[11:])
		if !soon.waitFor(time.Second, func() bool { return len(soon.received[600]) > 0 }) ||
			soon.received[600][0].Type() != binarymessage.Answer {
			t.Errorf("complete soon after the shutdown began: %x", soon.received[600])
		}
		time.Sleep(800 * time.Millisecond)
		_, _ = late.conn.Write(two[len(two)-1:])
		if !late.waitFor(time.Second, func() bool { return len(late.received[602]) > 0 }) ||
			late.received[602][0].Cause() != binarymessage.Congested {
			t.Errorf("complete after calls are no longer accepted: %x", late.received[602])
		}
		var end sync.WaitGroup
		for _, p := range []*testClient{soon, late, idle} {
			end.Go(func() {
				if err := p.readToEOF(4 * time.Second); err != nil {
					t.Errorf("a connection was not closed cleanly: %v", err)
				}
				p.conn.Close()
			})
		}
		s.waitUntilStopped(5 * time.Second)
		end.Wait()
	})
}

// Further shutdown signals and a reload do not prolong a shutdown; a shutdown signal during the start is obeyed too.
func TestRepeatedShutdown(t *testing.T) {
	runWithLeakCheck(t, func(t *testing.T) {
		a, b := newTestEndpoint(t, "s-0"), newTestEndpoint(t, "s-1")
		ns, other := newTestNameServer(t, 1, a, b), newTestNameServer(t, 10, b)
		s := newTestServer(t, ns, a, b)
		p := s.dial()
		p.waitUntilReady()
		s.signals <- Shutdown
		s.configDoc["nameserver"] = other.addr()
		s.writeConfig()
		s.signals <- Reload
		time.Sleep(350 * time.Millisecond)
		_, _ = p.conn.Write(setupMessage(700)) // its destination is s-0, which the new name server does not name
		if !p.waitFor(time.Second, func() bool { return len(p.received[700]) > 0 }) ||
			p.received[700][0].Text(binarymessage.Description) != "answer of s-1" {
			t.Errorf("%q", p.received[700])
		}
		for range 15 { // further signals do not prolong the shutdown
			time.Sleep(200 * time.Millisecond)
			select {
			case s.signals <- Shutdown:
			default:
			}
		}
		s.waitUntilStopped(100 * time.Millisecond)
	})
	runWithLeakCheck(t, func(t *testing.T) {
		a := newTestEndpoint(t, "s-0")
		s := newTestServer(t, newTestNameServer(t, 1, a), a)
		s.signals <- Shutdown
		s.waitUntilStopped(5 * time.Second)
	})
}

// A client that keeps writing during the shutdown still reads its last answer: its connection is closed without a
// reset, which would discard the answer.
func TestLastAnswerIsNotReset(t *testing.T) {
	runWithLeakCheck(t, func(t *testing.T) {
		a := newTestEndpoint(t, "s-0")
		a.faultOf = func(int) fault { return faultSilent }
		s := newTestServer(t, newTestNameServer(t, 1, a), a)
		p := s.dial()
		p.waitUntilReady()
		stop, writerDone := make(chan struct{}), make(chan struct{})
		go func() { // keeps writing messages that the gateway ignores
			defer close(writerDone)
			for {
				select {
				case <-stop:
					return
				default:
					if _, err := p.conn.Write(binarymessage.Append(nil, binarymessage.Progress, 1)); err != nil {
						return
					}
					time.Sleep(time.Millisecond)
				}
			}
		}()
		_, _ = p.conn.Write(
			binarymessage.Append(
				nil,
				binarymessage.Setup,
				800,
				binarymessage.TextParam(binarymessage.Class, "voice"),
				binarymessage.TextParam(binarymessage.Number, "1"),
				binarymessage.TextParam(binarymessage.Timeout, "9000"),
			),
		) // its timeout is longer than the gateway's shutdown may take
		s.signals <- Shutdown
		err := p.readToEOF(6 * time.Second)
		close(stop)
		<-writerDone
		p.conn.Close()
		if messages := p.received[800]; err != nil || len(messages) != 1 || messages[0].Type() != binarymessage.Release {
			t.Errorf("%x, %v", messages, err)
		}
		s.waitUntilStopped(5 * time.Second)
	})
}

// A configuration file that is incomplete when it is read is read again.
func TestReloadIncompleteFile(t *testing.T) {
	runWithLeakCheck(t, func(t *testing.T) {
		a, b := newTestEndpoint(t, "s-0"), newTestEndpoint(t, "s-1")
		ns, other := newTestNameServer(t, 1, a, b), newTestNameServer(t, 10, b)
		s := newTestServer(t, ns, a, b)
		s.dial().waitUntilReady()
		if err := os.WriteFile(s.configPath, []byte(`{"name":"n0","listen":`), 0o600); err != nil {
			t.Fatal(err)
		}
		s.signals <- Reload
		time.Sleep(200 * time.Millisecond)
		s.configDoc["nameserver"] = other.addr()
		s.writeConfig()
		for range 100 {
			other.mu.Lock()
			queries := other.queries
			other.mu.Unlock()
			if queries > 0 {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		t.Error("the new name server gets no query")
	})
}

// Idle clients use up all connections while the name server does not answer: new clients are still accepted and served,
// and a gateway that has just started passes its health check.
func TestIdleClientsWithoutEndpointList(t *testing.T) {
	runWithLeakCheck(t, func(t *testing.T) {
		a := newTestEndpoint(t, "s-0")
		ns := newTestNameServer(t, 1, a)
		ns.mu.Lock()
		ns.silent = true
		ns.mu.Unlock()
		s := newTestServer(t, ns, a)
		s.dial().waitUntilReady()
		for i := range uint64(200) {
			c, err := net.Dial("tcp", s.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_, _ = c.Write(binarymessage.Append(nil, binarymessage.HealthCheck, 5000+i, binarymessage.CauseParam(0)))
			_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
			if _, err := io.ReadFull(c, make([]byte, 11)); err != nil {
				t.Fatalf("client %d was not served: %v", i, err)
			}
		}
		p := s.dial()
		p.waitUntilReady()
		_, _ = p.conn.Write(setupMessage(900))
		if !p.waitFor(2*time.Second, func() bool { return len(p.received[900]) > 0 }) ||
			p.received[900][0].Type() != binarymessage.Answer {
			t.Errorf("a normal caller got %x, connection open %v", p.received[900], p.open)
		}
	})
}

// A client closes its connection during an attempt: the attempt is canceled, and no other one is made.
func TestClientClosesDuringAttempt(t *testing.T) {
	runWithLeakCheck(t, func(t *testing.T) {
		a, b := newTestEndpoint(t, "s-0"), newTestEndpoint(t, "s-1")
		setups := make(chan struct{}, 10)
		silent := func(int) fault {
			setups <- struct{}{}
			return faultSilent
		}
		a.faultOf, b.faultOf = silent, silent
		s := newTestServer(t, newTestNameServer(t, 1, a, b), a, b)
		p, other := s.dial(), s.dial()
		p.waitUntilReady()
		_, _ = p.conn.Write(setupMessage(1000))
		<-setups
		p.conn.Close()
		canceled := func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			b.mu.Lock()
			defer b.mu.Unlock()
			return len(a.established)+len(b.established) == 0
		}
		for i := 0; i < 100 && !canceled(); i++ {
			time.Sleep(10 * time.Millisecond)
		}
		if !canceled() {
			t.Error("the attempt was not canceled")
		}
		other.waitFor(1200*time.Millisecond, func() bool { return false }) // well past the retry hold-off
		if n := len(setups); n != 0 {
			t.Errorf("%d further attempts", n)
		}
	})
}
