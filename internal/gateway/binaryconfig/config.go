// Package binaryconfig reads the configuration that the platform gives a gateway at its start: one JSON object,
// which is validated as a whole. Errors name the field.
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

// minDescriptors is the smallest number of descriptors that a gateway can run with.
const minDescriptors = 32

// Limits are the resources that the platform allows the gateway.
type Limits struct {
	Cores       float64 `json:"cores"`
	MemoryMB    float64 `json:"memory_mb"`
	Descriptors int     `json:"sockets"`
}

// Config is the configuration of one gateway.
type Config struct {
	Name             string
	Listen           netip.AddrPort
	PeerListen       netip.AddrPort   // the zero value: no gossip
	Peers            []netip.AddrPort // of all gateways, by index
	Nameserver       netip.AddrPort
	Limits           Limits
	Settings         *routing.Settings
	LoadReportFields []string
	Connections      deployment.Connections
	InitialLists     []dnsdiscovery.List // the name server's events up to the start
}

// configJSON is the configuration as the platform writes it.
type configJSON struct {
	Name       string   `json:"name"`
	Listen     string   `json:"listen"`
	Seed       string   `json:"seed"`
	Limits     *Limits  `json:"limits"`
	PeerListen string   `json:"peer_listen"`
	Peers      []string `json:"peers"`
	Nameserver string   `json:"nameserver"`
	Known      struct {
		Serial uint32            `json:"no"`
		Events []json.RawMessage `json:"items"`
	} `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Load reads a configuration file.
func Load(name string) (*Config, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	config, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", name, err)
	}
	return config, nil
}

// Parse reads a configuration.
func Parse(text []byte) (*Config, error) {
	var object configJSON
	if err := json.Unmarshal(text, &object); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			return nil, fmt.Errorf("%s: want %s, got %s", typeError.Field, typeError.Type, typeError.Value)
		}
		return nil, fmt.Errorf("want a JSON object: %w", err)
	}
	config := &Config{Name: object.Name}
	for _, read := range []func(*configJSON) error{
		config.readAddresses,
		config.readLimits,
		config.readSettings,
		config.readInitialLists,
	} {
		if err := read(&object); err != nil {
			return nil, err
		}
	}
	return config, nil
}

func (c *Config) readAddresses(object *configJSON) (err error) {
	if c.Listen, err = parseAddr("listen", object.Listen); err != nil {
		return err
	}
	if c.Nameserver, err = parseAddr("nameserver", object.Nameserver); err != nil {
		return err
	}
	if object.PeerListen != "" {
		if c.PeerListen, err = parseAddr("peer_listen", object.PeerListen); err != nil {
			return err
		}
	}
	for i, peer := range object.Peers {
		address, err := parseAddr(fmt.Sprintf("peers[%d]", i), peer)
		if err != nil {
			return err
		}
		c.Peers = append(c.Peers, address)
	}
	return nil
}

func (c *Config) readLimits(object *configJSON) error {
	if object.Limits == nil {
		return errors.New("limits: missing")
	}
	c.Limits = *object.Limits
	if !(c.Limits.MemoryMB > 0) || math.IsInf(c.Limits.MemoryMB, 0) {
		return fmt.Errorf("limits.memory_mb: want a number above 0, got %v", c.Limits.MemoryMB)
	}
	if c.Limits.Descriptors < minDescriptors {
		return fmt.Errorf("limits.sockets: want %d or more, got %d", minDescriptors, c.Limits.Descriptors)
	}
	return nil
}

func (c *Config) readSettings(object *configJSON) error {
	seed, err := strconv.ParseUint(object.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: want 16 hex digits, got %q", object.Seed)
	}
	if len(object.Settings) == 0 || bytes.Equal(object.Settings, []byte("null")) {
		return errors.New("settings: missing")
	}
	if c.Settings, c.LoadReportFields, err = deployment.Decode(object.Settings, seed); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if len(c.Settings.Classes) == 0 {
		return errors.New("settings.lanes: want at least one class")
	}
	if c.Connections, err = deployment.DecodeConnections(object.Settings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	gossips := c.Settings.GossipEnabled && c.PeerListen.IsValid()
	if gossips && (len(c.Peers) != c.Settings.Gateways || !c.hasOwnAddress()) {
		return fmt.Errorf("peers: want the addresses of all %d gateways, got %d", c.Settings.Gateways, len(c.Peers))
	}
	return nil
}

func (c *Config) hasOwnAddress() bool {
	return c.Settings.GatewayIndex >= 0 && c.Settings.GatewayIndex < len(c.Peers)
}

func (c *Config) readInitialLists(object *configJSON) error {
	for i, raw := range object.Known.Events {
		list, err := dnsdiscovery.ParseEvent(raw)
		if err != nil {
			return fmt.Errorf("known.items[%d]: %w", i, err)
		}
		c.InitialLists = append(c.InitialLists, list)
	}
	if n := len(c.InitialLists); n > 0 && c.InitialLists[n-1].Serial < object.Known.Serial {
		c.InitialLists[n-1].Serial = object.Known.Serial
	}
	return nil
}

func parseAddr(field, text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return address, fmt.Errorf("%s: want an address such as \"10.0.0.4:5070\", got %q", field, text)
	}
	return address, nil
}
