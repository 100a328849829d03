package gatewayconfig

import (
	"strings"
	"testing"
)

const validConfig = `gateway {
  name = "e"
  sip = "127.0.0.1:5060"
  peer = "127.0.0.1:5070"
  trunk_context = "x.example"
  gateways = 2
  number = 1
  peers = ["127.0.0.1:5070", "127.0.0.2:5070"]
}
list {
  addr = "127.0.0.1:7000"
}
rules {
  clear_wait = "500ms"
  cold_share = 0.36
  warm_within = "14s"
  tip_multiple = 2.5
  tip_time = "1s"
}
skill "shift-lookup" {
  target = "2s"
  patience = "9s"
}
group "TG-0" {
  pool = 0
  size = 100
}
`

// TestValidConfig checks the settings, and the defaults, read from a short valid file.
func TestValidConfig(t *testing.T) {
	config, err := Parse("edge.hcl", []byte(validConfig))
	if err != nil {
		t.Fatal(err)
	}
	if config.Settings.Gateways != 2 || config.Settings.GatewayIndex != 1 || config.Settings.RetryHoldOff != 500 ||
		config.Settings.SlowStartDuration != 14000 || config.DefaultClass != "shift-lookup" ||
		config.Settings.Classes[0].Timeout != 9000 || config.Groups[0].Circuits != 100 ||
		!config.Settings.GossipEnabled ||
		config.Settings.RetransmitInterval != 500 {
		t.Errorf("got %+v with settings %+v, want the values of the file and the defaults", config, config.Settings)
	}
}

const numbersConfig = `numbers {
  table = "t.hcl"
}
enum {
  apex = "e164.test"
  servers = ["127.0.0.1:5353"]
}
front {
  listen = "127.0.0.1:5354"
  apex = "kiosk.test"
  client "10.1.0.0/16" {
    rate = 0
  }
}
`

// TestNumbers checks the settings of number analysis and of the ENUM server, and the errors about them.
func TestNumbers(t *testing.T) {
	config, err := Parse("edge.hcl", []byte(validConfig+numbersConfig))
	if err != nil {
		t.Fatal(err)
	}
	server := config.ENUMServer
	if !config.Numbers.Enabled() || config.LookupShare != 0.3 || len(config.Numbers.DNS.Servers) != 1 ||
		config.Numbers.DNS.Cache.FailureTTL != 1000 || config.Numbers.ENUMServices[0] != "pstn:tel" ||
		server.Class != "shift-lookup" || server.TTL != 0 || server.Timeout != 3000 || server.TrunkContext != "x.example" ||
		len(server.Limits.Networks) != 1 ||
		server.Limits.Networks[0].Rate != 0 {
		t.Errorf("got numbers %+v and ENUM server %+v, want the values of the file and the defaults",
			config.Numbers, server)
	}
	for _, test := range []struct{ from, to, want string }{
		{`servers = ["127.0.0.1:5353"]`, ``, `edge.hcl:31: enum: want both apex and servers, or neither`},
		{`["127.0.0.1:5353"]`, `["ns.test"]`, `edge.hcl:33: servers: want addresses such as "127.0.0.1:5353", got "ns.test"`},
		{`table = "t.hcl"`, ``,
			`edge.hcl:28: numbers: want table or store if enum.apex is set, because only number tables use ENUM look-ups`},
		{`apex = "kiosk.test"`, `apex = "kiosk.test"
  skill = "nothing"`, `edge.hcl:38: skill: want one of the skills, got "nothing"`},
		{`"10.1.0.0/16"`, `"10.1.0.0/40"`, `client "10.1.0.0/40": want a network such as "10.1.0.0/16"`},
		{`rate = 0`, ``, `want rate = a number`},
		{`listen = "127.0.0.1:5354"`, `listen = "5354"`, `edge.hcl:36: listen: want an address`},
		{`front {`, `front {
  gain = 0`, `edge.hcl:36: gain: want a number from 1`},
		{`numbers {`, `numbers {
  lookup_share = 2`, `edge.hcl:29: lookup_share: want a number from 0 to 1`},
	} {
		text := strings.Replace(validConfig+numbersConfig, test.from, test.to, 1)
		if text == validConfig+numbersConfig {
			t.Fatalf("the settings do not contain %q", test.from)
		}
		if _, err := Parse("edge.hcl", []byte(text)); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%q: error\n%v\nwant\n%s", test.to, err, test.want)
		}
	}
}

// TestErrors checks that each error names the file, the line and what was expected.
func TestErrors(t *testing.T) {
	for _, test := range []struct{ from, to, want string }{
		{`clear_wait = "500ms"`, `clear_wait = 500`, `edge.hcl:14: clear_wait: want a duration from "0s" to "1m0s"`},
		{`clear_wait = "500ms"`, `clear_wait = "soon"`,
			`edge.hcl:14: clear_wait: want a duration from "0s" to "1m0s", got "soon"`},
		{`cold_share = 0.36`, `cold_share = 1.36`, `edge.hcl:15: cold_share: want a number from 0.001 to 1, got 1.36`},
		{`cold_share = 0.36`, ``, `edge.hcl:13: rules: want cold_share = a number from 0.001 to 1`},
		{`number = 1`, `number = 2`, `edge.hcl:7: number: want less than gateways (2), got 2`},
		{`number = 1`, `number = 0.5`, `edge.hcl:7: number: want a whole number, got 0.5`},
		{`tip_time = "1s"`, `tip_tyme = "1s"`,
			`edge.hcl:18: unknown key "tip_tyme"; known here: ` +
				`clear_wait, cold_share, slack, tip_multiple, tip_time, warm_within`},
		{`list {`, `lists {`, `edge.hcl:10: unknown block "lists"`},
		{`"127.0.0.2:5070"]`, `"nowhere"]`, `edge.hcl:8: peers: want addresses such as "127.0.0.1:5070", got "nowhere"`},
		{`, "127.0.0.2:5070"]`, `]`,
			`edge.hcl:8: peers: want 2 addresses, one for each gateway, because allow.tell is set; got 1`},
		{`target = "2s"`, `target = "20s"`, `edge.hcl:21: target: want at most patience`},
		{`skill "shift-lookup"`, `skill`, `edge.hcl:20: skill: want 1 labels, got 0`},
		{`name = "e"`, `name = ""`, `edge.hcl:2: name: want a string that is not empty`},
		{`sip = "127.0.0.1:5060"`, `sip = "localhost"`,
			`edge.hcl:3: sip: want an address such as "127.0.0.1:5060", got "localhost"`},
		{`size = 100`, `size = 100 +`, `edge.hcl:26`},
		{`size = 100
}`, `size = 100
}
group "TG-1" {
  pool = 0
  size = 1
}`, `edge.hcl:29: pool: 0 is already the pool of group "TG-0"`},
	} {
		text := strings.Replace(validConfig, test.from, test.to, 1)
		if _, err := Parse("edge.hcl", []byte(text)); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%q: error\n%v\nwant\n%s", test.to, err, test.want)
		}
	}
	if _, err := Load("/nonexistent/edge.hcl"); err == nil {
		t.Error("Load of a missing file: no error, want one")
	}
}

// FuzzParse checks that no text makes Parse panic.
func FuzzParse(f *testing.F) {
	f.Add(validConfig)
	f.Add("gateway {")
	f.Add("gateway {\n number = -1e999\n peers = [1, null]\n}\nskill \"a\" {\n target = null\n}")
	f.Fuzz(func(t *testing.T, text string) { _, _ = Parse("f", []byte(text)) })
}
