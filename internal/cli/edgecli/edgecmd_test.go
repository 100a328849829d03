package edgecli

import (
	"bytes"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

// testStderr records what the command writes to standard error, and whether it was closed.
type testStderr struct {
	mu     sync.Mutex
	text   bytes.Buffer
	closed bool
}

func (s *testStderr) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

func (s *testStderr) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return nil
}

const sampleConfig = `
gateway {
  name          = "edge-0"
  sip           = "127.72.1.1:19062"
  peer          = "127.72.1.1:19072"
  trunk_context = "x.example"
}
list {
  addr = "127.72.1.1:19000"
}
rules {
  clear_wait   = "500ms"
  cold_share   = 0.36
  warm_within  = "14s"
  tip_multiple = 2.5
  tip_time     = "1s"
}
skill "shift-lookup" {
  target   = "2s"
  patience = "9s"
}
group "TG-0" {
  pool = 0
  size = 2000
}
`

// A gateway that can't start returns an error with the reason, and leaves standard error open for printing it.
func TestStartErrors(t *testing.T) {
	taken, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.72.1.1:19062")))
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	for src, want := range map[string]string{sampleConfig: "another program has the address", sampleConfig +
		"numbers {\n table = \"nowhere.hcl\"\n}\n": "another program has the address",
		"gateway {": "edge.hcl:1"} {
		f := filepath.Join(t.TempDir(), "edge.hcl")
		if err := os.WriteFile(f, []byte(src), 0o600); err != nil {
			t.Fatal(err)
		}
		c, w := New(), &testStderr{}
		c.SetErr(w)
		c.SetOut(w)
		c.SetArgs([]string{"run", "--config", f})
		if err := c.Execute(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
		if w.closed {
			t.Error("standard error was closed")
		}
	}
}
