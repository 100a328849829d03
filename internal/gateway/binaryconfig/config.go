// Package binaryconfig reads what the platform hands a gateway at its start: one JSON object, checked as a whole. A
// fault is told with the field's name.
package binaryconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"strconv"

	"cobaltpier/internal/deployment"
	"cobaltpier/internal/protocol/dnsdiscovery"
	"cobaltpier/internal/routing"
)

// Limits are what the gateway's machine allows it.
type Limits struct {
	Cores       float64 `json:"cores"`
	MemoryMB    float64 `json:"memory_mb"`
	Descriptors int     `json:"sockets"`
}

// Config is one gateway's.
type Config struct {
	Name        string
	Listen      netip.AddrPort
	PeerListen  netip.AddrPort   // not valid: no messages between gateways
	Peers       []netip.AddrPort // of all gateways, by number
	Nameserver  netip.AddrPort
	Limits      Limits
	Settings    *routing.Settings
	Fields      []string // of load reports
	Connections deployment.Connections
	Known       []dnsdiscovery.List // the name server's events till now
}

// Load reads a file.
func Load(name string) (*Config, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := Parse(b)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", name, err)
	}
	return c, nil
}

// Parse reads a configuration at hand.
func Parse(b []byte) (*Config, error) {
	var w struct {
		Name       string
		Listen     string
		Seed       string
		Limits     *Limits
		PeerListen string `json:"peer_listen"`
		Peers      []string
		Nameserver string
		Known      struct {
			No    uint32
			Items []json.RawMessage
		}
		Settings json.RawMessage
	}
	if err := json.Unmarshal(b, &w); err != nil {
		var t *json.UnmarshalTypeError
		if errors.As(err, &t) {
			return nil, fmt.Errorf("%s: want %s, got %s", t.Field, t.Type, t.Value)
		}
		return nil, fmt.Errorf("want a JSON object: %w", err)
	}
	c := &Config{Name: w.Name}
	var err error
	if c.Listen, err = parseAddr("listen", w.Listen); err != nil {
		return nil, err
	}
	if c.Nameserver, err = parseAddr("nameserver", w.Nameserver); err != nil {
		return nil, err
	}
	if w.PeerListen != "" {
		if c.PeerListen, err = parseAddr("peer_listen", w.PeerListen); err != nil {
			return nil, err
		}
	}
	for i, p := range w.Peers {
		a, err := parseAddr(fmt.Sprintf("peers[%d]", i), p)
		if err != nil {
			return nil, err
		}
		c.Peers = append(c.Peers, a)
	}
	seed, err := strconv.ParseUint(w.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: want 16 hex digits, got %q", w.Seed)
	}
	if w.Limits == nil {
		return nil, errors.New("limits: missing")
	}
	c.Limits = *w.Limits
	if !(c.Limits.MemoryMB > 0) || math.IsInf(c.Limits.MemoryMB, 0) {
		return nil, fmt.Errorf("limits.memory_mb: want a number above 0, got %v", c.Limits.MemoryMB)
	}
	if c.Limits.Descriptors < minDescriptors {
		return nil, fmt.Errorf("limits.sockets: want %d or more, got %d", minDescriptors, c.Limits.Descriptors)
	}
	if len(w.Settings) == 0 || bytes.Equal(w.Settings, []byte("null")) {
		return nil, errors.New("settings: missing")
	}
	if c.Settings, c.Fields, err = deployment.Decode(w.Settings, seed); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if len(c.Settings.Classes) == 0 {
		return nil, errors.New("settings.lanes: want at least one class")
	}
	if c.Connections, err = deployment.DecodeConnections(w.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if c.Settings.GossipEnabled && c.PeerListen.IsValid() &&
		(len(c.Peers) != c.Settings.Gateways || c.Settings.GatewayIndex < 0 || c.Settings.GatewayIndex >= len(c.Peers)) {
		return nil, fmt.Errorf("peers: want the addresses of all %d gateways, got %d", c.Settings.Gateways, len(c.Peers))
	}
	for i, raw := range w.Known.Items {
		l, err := dnsdiscovery.ParseEvent(raw)
		if err != nil {
			return nil, fmt.Errorf("known.items[%d]: %w", i, err)
		}
		c.Known = append(c.Known, l)
	}
	if n := len(c.Known); n > 0 && c.Known[n-1].Serial < w.Known.No {
		c.Known[n-1].Serial = w.Known.No
	}
	return c, nil
}

// minDescriptors is what a gateway needs to run at all.
const minDescriptors = 32

func parseAddr(field, s string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return a, fmt.Errorf("%s: want an address such as \"10.0.0.4:5070\", got %q", field, s)
	}
	return a, nil
}
