package processrun

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"cobaltpier/internal/emulator/scenario"
	"cobaltpier/internal/emulator/scenariofile"
	"cobaltpier/internal/protocol/b2bua"
)

//tally:standin

// fileWriter writes a gateway's configuration file.
type fileWriter struct{ strings.Builder }

func (w *fileWriter) line(format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) }

// duration formats a time in ms.
func duration(ms float64) string { return time.Duration(ms * float64(time.Millisecond)).String() }

// gatewayFile returns gateway i's configuration file.
func (r *runner) gatewayFile(i int) string {
	g := r.sim.Gateways[i]
	config := r.sim.Config(g)
	var w fileWriter
	r.writeGateway(&w, g, config)
	w.line("list {\n  addr = %q\n}\nlog {\n  level = %q\n}", r.listListener.Addr(), r.options.Level)
	w.writeRules(config)
	w.writeClasses(r.sim.Script.Classes)
	w.writeTraffic(config)
	if r.sim.Numbering != nil {
		w.WriteString(r.numberSettings(i))
	}
	if g.ENUMNode != nil {
		r.writeENUMServer(&w, g)
	}
	return w.String()
}

func (r *runner) writeGateway(w *fileWriter, g *scenario.Gateway, c *b2bua.Config) {
	w.line("gateway {\n  name = %q\n  sip = %q\n  peer = %q", g.Name, g.Addr, g.Peer)
	w.line("  trunk_context = %q\n  gateways = %d", c.TrunkContext, c.Settings.Gateways)
	w.line("  number = %d\n  seed = %d", g.Number, c.Settings.Seed%(1<<53))
	w.line("  tick = %q\n  margin = %q", duration(r.sim.Script.Gateways.Tick), duration(c.AnswerMargin))
	w.line("  most_held = %d\n  most_rate = %g", c.LoadShedding.MaxPending, c.LoadShedding.RatePerSecond)
	w.line("  drain_within = \"5s\"\n  peers = [")
	for _, peer := range r.sim.Gateways {
		w.line("    %q,", netip.AddrPortFrom(peer.Addr.Addr(), uint16(r.options.Port+20)))
	}
	w.line("  ]\n}")
}

// writeRules writes the blocks allow, timers and rules.
func (w *fileWriter) writeRules(c *b2bua.Config) {
	s := c.Settings
	w.line("allow {\n  max_rings = %d\n  probe = %t\n  tell = %t", s.MaxAttempts, s.ProbeEnabled, s.GossipEnabled)
	w.line("  cancel = %t\n  name_wait = %t", s.CancelEnabled, s.RetryAfterEnabled)
	w.line("  max_wait = %q\n}", duration(s.MaxRetryAfter))
	w.line("timers {\n  t1 = %q\n  t2 = %q", duration(c.Times.T1), duration(c.Times.T2))
	w.line("  t4 = %q\n}", duration(c.Times.T4))
	w.line("rules {\n  slack = %q\n  clear_wait = %q", duration(s.AnswerGrace), duration(s.RetryHoldOff))
	w.line("  cold_share = %g\n  warm_within = %q", s.SlowStartFraction, duration(s.SlowStartDuration))
	w.line("  tip_multiple = %g\n  tip_time = %q\n}", s.OverloadFactor, duration(s.OverloadWindow))
}

// writeClasses writes the classes.
func (w *fileWriter) writeClasses(classes []scenariofile.Class) {
	for _, class := range classes {
		w.line("skill %q {\n  target = %q", class.Name, duration(class.Target))
		w.line("  patience = %q\n  value = %g", duration(class.Patience), class.Value)
		w.line("  late_value = %g\n  hold = %q\n}", class.Late, duration(class.Hold))
	}
}

// writeTraffic writes the tenants and trunk groups.
func (w *fileWriter) writeTraffic(c *b2bua.Config) {
	for _, tenant := range c.Settings.Tenants {
		w.line("customer %q {\n}", tenant.Name)
	}
	for _, group := range c.Groups {
		w.line("group %q {\n  pool = %d\n  size = %d\n}", group.Name, group.DestinationID, group.Circuits)
	}
}

// writeENUMServer writes the block of the ENUM server.
func (r *runner) writeENUMServer(w *fileWriter, g *scenario.Gateway) {
	enum := r.sim.ENUMConfig()
	w.line("front {\n  listen = %q\n  apex = %q\n  skill = %q", g.ENUMAddr, enum.Apex, enum.Class)
	w.line("  negative = %d\n  patience = %q", enum.NegativeTTL, duration(enum.Timeout))
	w.line("  repeat = %q\n  gain = %g", duration(enum.RepeatWindow), enum.MaxAmplification)
	w.line("  most = %d\n  keep = %d", enum.MaxPending, enum.MaxRemembered)
	w.line("  rate = %g\n  burst = %g\n  clients = %d", enum.Limits.Rate, enum.Limits.Burst, enum.Limits.MaxClients)
	for _, client := range enum.Limits.Networks {
		w.line("  client %q {\n    rate = %g\n  }", client.Prefix, client.Rate)
	}
	w.line("}")
}
