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
		s.Error("the gateway has not stopped in time")
	}
}

// readToEOF reads until the gateway closes the connection. It returns an error if the connection is reset or stays
// open.
func (c *testClient) readToEOF(within time.Duration) error {
	_ = c.conn.SetReadDeadline(time.Now().Add(within))
	b := make([]byte, 4096)
	for {
		n, err := c.conn.Read(b)
		_ = c.reader.Feed(b[:n], func(m binarymessage.Message) bool {
			c.received[m.CallID()] = append(c.received[m.CallID()], append(binarymessage.Message(nil), m...))
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

// TestShutdownWithPartialSetups checks that a setup that has been received in part when the shutdown begins is
// answered once it is complete: it is served while calls are admitted and rejected after that. All connections are
// closed without a reset.
func TestShutdownWithPartialSetups(t *testing.T) {
	runWithLeakCheck(t, func(t *testing.T) {
		a := newTestEndpoint(t, "s-0")
		s := newTestServer(t, newTestNameServer(t, 1, a), a)
		earlyClient, lateClient, idleClient := s.dial(), s.dial(), s.dial()
		earlyClient.waitUntilReady()
		earlySetup, lateSetup := setupMessage(600), setupMessage(602)
		_, _ = earlyClient.conn.Write(earlySetup[:11])
		_, _ = lateClient.conn.Write(lateSetup[:len(lateSetup)-1])
		s.signals <- Shutdown
		_, _ = earlyClient.conn.Write(earlySetup[11:])
		if !earlyClient.waitFor(time.Second, func() bool { return len(earlyClient.received[600]) > 0 }) ||
			earlyClient.received[600][0].Type() != binarymessage.Answer {
			t.Errorf("setup completed soon after the shutdown began got %x, want an answer", earlyClient.received[600])
		}
		time.Sleep(800 * time.Millisecond)
		_, _ = lateClient.conn.Write(lateSetup[len(lateSetup)-1:])
		if !lateClient.waitFor(time.Second, func() bool { return len(lateClient.received[602]) > 0 }) ||
			lateClient.received[602][0].Cause() != binarymessage.Congested {
			t.Errorf("setup completed when calls are no longer admitted got %x, want cause Congested",
				lateClient.received[602])
		}
		var readers sync.WaitGroup
		for _, client := range []*testClient{earlyClient, lateClient, idleClient} {
			readers.Go(func() {
				if err := client.readToEOF(4 * time.Second); err != nil {
					t.Errorf("the connection was not closed cleanly: %v", err)
				}
				client.conn.Close()
			})
		}
		s.waitUntilStopped(5 * time.Second)
		readers.Wait()
	})
}

// TestRepeatedShutdown checks that further shutdown signals and a reload do not prolong a shutdown, and that a shutdown
// signal during the start is obeyed too.
func TestRepeatedShutdown(t *testing.T) {
	runWithLeakCheck(t, func(t *testing.T) {
		a, b := newTestEndpoint(t, "s-0"), newTestEndpoint(t, "s-1")
		ns, other := newTestNameServer(t, 1, a, b), newTestNameServer(t, 10, b)
		s := newTestServer(t, ns, a, b)
		client := s.dial()
		client.waitUntilReady()
		s.signals <- Shutdown
		s.configDoc["nameserver"] = other.addr()
		s.writeConfig()
		s.signals <- Reload
		time.Sleep(350 * time.Millisecond)
		_, _ = client.conn.Write(setupMessage(700)) // its destination is s-0, which the new name server does not list
		if !client.waitFor(time.Second, func() bool { return len(client.received[700]) > 0 }) ||
			client.received[700][0].Text(binarymessage.Description) != "answer of s-1" {
			t.Errorf("call after the reload got %q, want \"answer of s-1\"", client.received[700])
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

// TestLastAnswerIsNotReset checks that a client that keeps writing during the shutdown still reads its last message:
// its connection is closed without a reset, which would discard the message.
func TestLastAnswerIsNotReset(t *testing.T) {
	runWithLeakCheck(t, func(t *testing.T) {
		a := newTestEndpoint(t, "s-0")
		a.faultOf = func(int) fault { return faultSilent }
		s := newTestServer(t, newTestNameServer(t, 1, a), a)
		client := s.dial()
		client.waitUntilReady()
		stop, writerDone := make(chan struct{}), make(chan struct{})
		go func() { // keeps writing messages that the gateway ignores
			defer close(writerDone)
			for {
				select {
				case <-stop:
					return
				default:
					if _, err := client.conn.Write(binarymessage.Append(nil, binarymessage.Progress, 1)); err != nil {
						return
					}
					time.Sleep(time.Millisecond)
				}
			}
		}()
		_, _ = client.conn.Write(
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
		err := client.readToEOF(6 * time.Second)
		close(stop)
		<-writerDone
		client.conn.Close()
		if messages := client.received[800]; err != nil || len(messages) != 1 ||
			messages[0].Type() != binarymessage.Release {
			t.Errorf("got messages %x, error %v; want one release and no error", messages, err)
		}
		s.waitUntilStopped(5 * time.Second)
	})
}

// TestReloadIncompleteFile checks that a configuration file that is incomplete when it is read is read again.
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
		t.Error("the new name server got no query, want at least one")
	})
}

// TestIdleClientsWithoutEndpointList checks that new clients are still accepted and served when idle clients use up all
// connections while the name server does not answer, and that a gateway that has just started passes its health check.
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
		client := s.dial()
		client.waitUntilReady()
		_, _ = client.conn.Write(setupMessage(900))
		if !client.waitFor(2*time.Second, func() bool { return len(client.received[900]) > 0 }) ||
			client.received[900][0].Type() != binarymessage.Answer {
			t.Errorf("a normal client got %x, want an answer; connection open %v", client.received[900], client.open)
		}
	})
}

// TestClientClosesDuringAttempt checks that when a client closes its connection during an attempt, the attempt is
// canceled and no other one is made.
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
		client, other := s.dial(), s.dial()
		client.waitUntilReady()
		_, _ = client.conn.Write(setupMessage(1000))
		<-setups
		client.conn.Close()
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
			t.Error("the attempt was not canceled within 1 s")
		}
		other.waitFor(1200*time.Millisecond, func() bool { return false }) // well past the retry hold-off
		if n := len(setups); n != 0 {
			t.Errorf("%d further attempts after the cancel, want none", n)
		}
	})
}
