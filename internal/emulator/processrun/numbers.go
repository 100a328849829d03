package processrun

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"cobaltpier/api"
	"cobaltpier/internal/emulator/dnsserver"
	"cobaltpier/internal/emulator/scenario"
)

// startNameServers serves the DNS servers on sockets, writes the first number table and connects to the gateways' admin
// services.
func (r *runner) startNameServers() error {
	names := r.sim.Numbering
	if names == nil {
		return nil
	}
	for i, server := range names.Servers {
		served, err := dnsserver.Serve(server, names.Addrs[i])
		if err != nil {
			return fmt.Errorf("day: %w", err)
		}
		r.nameServers = append(r.nameServers, served)
	}
	names.WithServer = func(i int, change func(*dnsserver.Server)) { r.nameServers[i].Change(change) }
	if err := os.WriteFile(r.tableFile(), r.sim.Table(names.Version).Packed, 0o644); err != nil {
		return fmt.Errorf("day: %w", err)
	}
	for i := range r.sim.Gateways {
		conn, err := grpc.NewClient(r.adminAddr(i).String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return fmt.Errorf("day: %w", err)
		}
		r.admins = append(r.admins, conn)
	}
	return nil
}

func (r *runner) tableFile() string { return filepath.Join(r.options.Dir, "first.table") }

// adminAddr returns the address of gateway i's service for number tables.
func (r *runner) adminAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(r.sim.Gateways[i].Addr.Addr(), uint16(r.options.Port+30))
}

func (r *runner) numberSettings(i int) string {
	numbers, names := r.sim.Script.Numbers, r.sim.Numbering
	resolver := r.sim.ResolverConfig(0)
	formatMs := func(ms float64) string { return time.Duration(ms * 1e6).String() }
	var servers []string
	for _, addr := range names.Addrs {
		servers = append(servers, fmt.Sprintf("%q", addr))
	}
	return fmt.Sprintf(
		`numbers {
  table = %q
  store = %q
  admin = %q
  lookup_share = %g
}
enum {
  apex = %q
  servers = [%s]
  ports = 4
  most = %d
  tries = %d
  stale_after = %q
  keep = %d
  least = %q
  longest = %q
  negative = %q
  stale = %q
  fail = %q
}
`,
		r.tableFile(),
		filepath.Join(r.options.Dir, r.sim.Gateways[i].Name+".tables"),
		r.adminAddr(i),
		numbers.Share,
		scenario.Apex,
		strings.Join(servers, ", "),
		resolver.MaxLookups,
		resolver.MaxQueries,
		formatMs(resolver.StaleAfter),
		resolver.Cache.MaxEntries,
		formatMs(resolver.Cache.MinTTL),
		formatMs(resolver.Cache.MaxTTL),
		formatMs(resolver.Cache.MaxNegativeTTL),
		formatMs(resolver.Cache.StaleTime),
		formatMs(resolver.Cache.FailureTTL),
	)
}

// SetTable implements scenario.Fleet. A gateway that is down or stalled misses this table and gets the next one.
func (r *runner) SetTable(i int, table *scenario.Table) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := api.NewNumbersClient(r.admins[i]).Put(ctx, &api.PutTable{Table: table.Packed, Note: "the laboratory"})
		r.sim.Simulation.RunInLoop(func() {
			if err == nil {
				r.sim.RecordTableInUse(i, table.Version)
			} else if r.options.Progress != nil {
				r.options.Progress(fmt.Sprintf("table %d at %s: %v", table.Version, r.sim.Gateways[i].Name, err))
			}
		})
	}()
}
