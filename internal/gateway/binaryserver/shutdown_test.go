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

// runWithLeakCheck runs a test in which everything that was started has to have ended.
func runWithLeakCheck(t *testing.T, do func(t *testing.T)) {
	t.Helper()
	defer goleak.VerifyNone(t, goleak.IgnoreTopFunction("github.com/lesismal/nbio/timer.(*Timer).Start.func1"))
	t.Run("clean", do)
}

// waitUntilStopped waits for a gateway to end by itself.
func (s *testServer) waitUntilStopped(within time.Duration) {
	s.Helper()
	select {
	case err := <-s.result:
		s.result <- err
		if err != nil {
			s.Error(err)
		}
	case <-time.After(within):
		s.Error("it does not end")
	}
}

// readToEOF reads till the other side ends the connection, and tells whether it did so in order.
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

// A setup that is half read when the gateway is told to go is answered: taken while calls come, rejected after that;
// so is one on a connection that is just accepted. All connections end in order.
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
			t.Errorf("half read, and whole soon after: %x", soon.received[600])
		}
		time.Sleep(800 * time.Millisecond)
		_, _ = late.conn.Write(two[len(two)-1:])
		if !late.waitFor(time.Second, func() bool { return len(late.received[602]) > 0 }) ||
			late.received[602][0].Cause() != binarymessage.Congested {
			t.Errorf("whole when nothing is taken any more: %x", late.received[602])
		}
		var end sync.WaitGroup
		for _, p := range []*testClient{soon, late, idle} {
			end.Go(func() {
				if err := p.readToEOF(4 * time.Second); err != nil {
					t.Errorf("a connection did not end in order: %v", err)
				}
				p.conn.Close()
			})
		}
		s.waitUntilStopped(5 * time.Second)
		end.Wait()
	})
}

// Told to go twice, and to read its configuration meanwhile, a gateway goes once; told within its start it goes as
// well.
func TestRepeatedShutdown(t *testing.T) {
	runWithLeakCheck(t, func(t *testing.T) {
		a, b := newTestEndpoint(t, "s-0"), newTestEndpoint(t, "s-1")
		ns, other := newTestNameServer(t, 1, a, b), newTestNameServer(t, 10, b)
		s := newTestServer(t, ns, a, b)
		p := s.dial()
		p.waitUntilReady()
		s.signals <- Shutdown
		s.config["nameserver"] = other.addr()
		s.writeConfig()
		s.signals <- Reload
		time.Sleep(350 * time.Millisecond)
		_, _ = p.conn.Write(setupMessage(700)) // its destination is s-0, which the new name server does not name
		if !p.waitFor(time.Second, func() bool { return len(p.received[700]) > 0 }) ||
			p.received[700][0].Text(binarymessage.Description) != "answer of s-1" {
			t.Errorf("%q", p.received[700])
		}
		for range 15 { // it does not stay the longer
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

// A caller that is told nothing more reads its last answer even where it has just written again: its connection ends in
// order, and is not reset under the answer.
func TestLastAnswerIsNotReset(t *testing.T) {
	runWithLeakCheck(t, func(t *testing.T) {
		a := newTestEndpoint(t, "s-0")
		a.faultOf = func(int) fault { return faultSilent }
		s := newTestServer(t, newTestNameServer(t, 1, a), a)
		p := s.dial()
		p.waitUntilReady()
		stop, gone := make(chan struct{}), make(chan struct{})
		go func() { // it never stops writing what means nothing
			defer close(gone)
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
		) // it waits longer than the gateway may stay
		s.signals <- Shutdown
		err := p.readToEOF(6 * time.Second)
		close(stop)
		<-gone
		p.conn.Close()
		if of := p.received[800]; err != nil || len(of) != 1 || of[0].Type() != binarymessage.Release {
			t.Errorf("%x, %v", of, err)
		}
		s.waitUntilStopped(5 * time.Second)
	})
}

// A configuration that is replaced while it is read is read again.
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
		s.config["nameserver"] = other.addr()
		s.writeConfig()
		for range 100 {
			other.mu.Lock()
			asked := other.queries
			other.mu.Unlock()
			if asked > 0 {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		t.Error("the new name server is never asked")
	})
}

// Callers that asked once and keep their connections hold all places while the name server says nothing: who comes now
// is let in and served, and a gateway that has just started passes its test.
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
				t.Fatalf("caller %d was shut out: %v", i, err)
			}
		}
		p := s.dial()
		p.waitUntilReady()
		_, _ = p.conn.Write(setupMessage(900))
		if !p.waitFor(2*time.Second, func() bool { return len(p.received[900]) > 0 }) ||
			p.received[900][0].Type() != binarymessage.Answer {
			t.Errorf("a usual caller got %x, connection open %v", p.received[900], p.open)
		}
	})
}

// A caller that closes under its attempt has gone: the attempt is given up, and no other begins.
func TestClientClosesDuringAttempt(t *testing.T) {
	runWithLeakCheck(t, func(t *testing.T) {
		a, b := newTestEndpoint(t, "s-0"), newTestEndpoint(t, "s-1")
		rung := make(chan struct{}, 10)
		never := func(int) fault {
			rung <- struct{}{}
			return faultSilent
		}
		a.faultOf, b.faultOf = never, never
		s := newTestServer(t, newTestNameServer(t, 1, a, b), a, b)
		p, other := s.dial(), s.dial()
		p.waitUntilReady()
		_, _ = p.conn.Write(setupMessage(1000))
		<-rung
		p.conn.Close()
		givenUp := func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			b.mu.Lock()
			defer b.mu.Unlock()
			return len(a.established)+len(b.established) == 0
		}
		for i := 0; i < 100 && !givenUp(); i++ {
			time.Sleep(10 * time.Millisecond)
		}
		if !givenUp() {
			t.Error("the attempt was not given up")
		}
		other.waitFor(1200*time.Millisecond, func() bool { return false }) // well past the retry hold-off
		if n := len(rung); n != 0 {
			t.Errorf("%d more attempts", n)
		}
	})
}
