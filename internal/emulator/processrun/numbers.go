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

// openNames puts the DNS servers behind sockets and writes the first table.
func (r *runner) openNames() error {
	n := r.st.Names
	if n == nil {
		return nil
	}
	for i, s := range n.Servers {
		v, err := dnsserver.Serve(s, n.Addrs[i])
		if err != nil {
			return fmt.Errorf("day: %w", err)
		}
		r.names = append(r.names, v)
	}
	n.Alter = func(i int, do func(*dnsserver.Server)) { r.names[i].Change(do) }
	if err := os.WriteFile(r.tableFile(), r.st.Table(n.Version).Form, 0o644); err != nil {
		return fmt.Errorf("day: %w", err)
	}
	for i := range r.st.Gateways {
		c, err := grpc.NewClient(r.admin(i).String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return fmt.Errorf("day: %w", err)
		}
		r.admins = append(r.admins, c)
	}
	return nil
}

func (r *runner) tableFile() string { return filepath.Join(r.o.Dir, "first.table") }

// admin is where a gateway's number tables are changed.
func (r *runner) admin(i int) netip.AddrPort {
	return netip.AddrPortFrom(r.st.Gateways[i].Addr.Addr(), uint16(r.o.Port+30))
}

func (r *runner) numberSettings(i int) string {
	s, n := r.st.Script.Numbers, r.st.Names
	c := r.st.Resolve(0)
	ms := func(v float64) string { return time.Duration(v * 1e6).String() }
	var servers []string
	for _, a := range n.Addrs {
		servers = append(servers, fmt.Sprintf("%q", a))
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
		filepath.Join(r.o.Dir, r.st.Gateways[i].Name+".tables"),
		r.admin(i),
		s.Share,
		scenario.Apex,
		strings.Join(servers, ", "),
		c.MaxLookups,
		c.Tries,
		ms(c.StaleAfter),
		c.Cache.MaxEntries,
		ms(c.Cache.MinTTL),
		ms(c.Cache.MaxTTL),
		ms(c.Cache.MaxNegativeTTL),
		ms(c.Cache.StaleTime),
		ms(c.Cache.FailureTTL),
	)
}

// Table implements stage.Fleet: a gateway that is down or stalls gets the next one.
func (r *runner) Table(i int, t *scenario.Table) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := api.NewNumbersClient(r.admins[i]).Put(ctx, &api.PutTable{Table: t.Form, Note: "the laboratory"})
		r.st.World.Do(func() {
			if err == nil {
				r.st.TableIn(i, t.Version)
			} else if r.o.Say != nil {
				r.o.Say(fmt.Sprintf("table %d at %s: %v", t.Version, r.st.Gateways[i].Name, err))
			}
		})
	}()
}
