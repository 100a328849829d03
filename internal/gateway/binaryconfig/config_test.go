package binaryconfig

import (
	_ "embed"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cobaltpier/internal/routing"
)

// completeConfig is a configuration with all fields, as the platform writes it.
//
//go:embed testdata/config.json
var completeConfig string

func TestCompleteConfig(t *testing.T) {
	c, err := Parse([]byte(completeConfig))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Listen.String() != "127.0.0.4:5070" || c.Limits != (Limits{0.5, 32, 256}) ||
		len(c.Peers) != 2 ||
		c.Nameserver.Port() != 5353 {
		t.Errorf("%+v", c)
	}
	s := c.Settings
	if s.Seed != 0x8c1f30d27a5be964 || s.GatewayIndex != 1 || s.RetryHoldOff != 250 || s.Classes[0].Name != "voice" ||
		s.Classes[0].MeanHoldingTime != 100 ||
		!s.GossipEnabled {
		t.Errorf("settings %+v", s)
	}
	if c.Connections.ConnectTimeout != 400 || len(c.LoadReportFields) != 2 {
		t.Errorf("connections %+v, fields %v", c.Connections, c.LoadReportFields)
	}
	k := c.InitialLists
	if len(k) != 2 || !k[0].Complete || k[1].Serial != 41 || k[1].Entries[0].State != routing.Draining ||
		k[1].Entries[0].StartedAt != 1700000000000 ||
		k[0].Entries[0].DestinationID != 2 {
		t.Errorf("known %+v", k)
	}
}

// An error names the invalid field.
func TestInvalidConfig(t *testing.T) {
	for _, c := range [][3]string{
		{`"listen":"127.0.0.4:5070"`, `"listen":"here"`, `listen: want an address`},
		{`"nameserver":"127.0.2.1:5353"`, `"nameserver":""`, `nameserver: want an address`},
		{`"seed":"8c1f30d27a5be964"`, `"seed":"x"`, `seed: want 16 hex digits, got "x"`},
		{`"memory_mb":32`, `"memory_mb":0`, `limits.memory_mb: want a number above 0`},
		{`"sockets":256`, `"sockets":3`, `limits.sockets: want 32 or more, got 3`},
		{`"limits"`, `"limit"`, `limits: missing`},
		{`"settings"`, `"setting"`, `settings: missing`},
		{`"lanes"`, `"lane"`, `settings.lanes: want at least one class`},
		{`"peers":["127.0.3.1:7946",`, `"peers":[`, `peers: want the addresses of all 2 gateways, got 1`},
		{`"127.0.3.1:7946"`, `"nobody"`, `peers[0]: want an address`},
		{`"state":"ready"`, `"state":"asleep"`,
			`known.items[0]: target "s-1": state: want ready, draining or gone, got "asleep"`},
		{`"endpoint":"127.0.1.9:5070"`, `"endpoint":""`, `known.items[0]: target "s-1": endpoint`},
		{`"name":"n3"`, `"name":3`, `name: want string, got number`},
		{`{"name"`, `{name`, `want a JSON object`},
	} {
		b := strings.Replace(completeConfig, c[0], c[1], 1)
		if _, err := Parse([]byte(b)); err == nil || !strings.Contains(strings.ToLower(err.Error()), strings.ToLower(c[2])) {
			t.Errorf("%s: %v, want %s", c[1], err, c[2])
		}
	}
}

func TestLoad(t *testing.T) {
	name := filepath.Join(t.TempDir(), "config.json")
	if _, err := Load(name); err == nil || !strings.Contains(err.Error(), name) {
		t.Errorf("no file: %v", err)
	}
	if err := os.WriteFile(name, []byte(completeConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(name); err != nil {
		t.Error(err)
	}
}

// An error in a deployment's settings names the field.
func TestInvalidSettings(t *testing.T) {
	for _, c := range [][2]string{
		{`{"lanes":[{"name":"a","hardLimit":"soon"}]}`, "lanes.hardLimit"},
		{`{"lanes":[{"name":"a","hardLimit":-1}]}`, "lanes[0].hardLimit"},
		{`{"lanes":[{"name":"","hardLimit":1000}]}`, "lanes[0].name"},
		{`{"lanes":[{"name":"a","hardLimit":1000},{"name":"a","hardLimit":1000}]}`, "lanes[1].name"},
		{`{"lanes":[{"name":"a","hardLimit":1000}],"balancers":-3}`, "balancers"},
		{`{"lanes":[{"name":"a","hardLimit":1000}],"familyInfo":{"clearWait":-5}}`, "familyInfo.clearWait"},
		{`{"lanes":[{"name":"a","hardLimit":1000}],"rules":{"warmWithin":"x"}}`, "rules.warmWithin"},
		{`[]`, "settings"},
	} {
		text := `{"name":"n","listen":"127.0.0.1:1","seed":"1","limits":{"memory_mb":32,"sockets":64},` +
			`"nameserver":"127.0.0.1:2","settings":` + c[0] + `}`
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), c[1]) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %s", c[0], err, c[1])
		}
	}
}
