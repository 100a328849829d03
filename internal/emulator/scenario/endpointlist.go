package scenario

//tally:standin

import (
	"cobaltpier/api"
)

func (p *place) member() *api.Member {
	return &api.Member{Id: p.id, Number: int32(p.number), State: p.state, AgeMs: p.start, Addr: p.addr.String()}
}

// change lets the list know of a machine after a while.
func (st *Scenario) change(m *api.Member, lo, hi float64) {
	st.World.At(st.World.Now+lo+(hi-lo)*st.names.Float64(), func() { st.publish(m) })
}

// publish puts a change on the list and sends it to every gateway that follows.
func (st *Scenario) publish(m *api.Member) {
	if st.listless {
		st.World.At(st.World.Now+500, func() { st.publish(m) }) // it learns of it when it is back
		return
	}
	st.version++
	known := false
	for i, o := range st.machines {
		if o.Id == m.Id {
			st.machines[i], known = m, true
		}
	}
	if !known {
		st.machines = append(st.machines, m)
	}
	st.log = append(st.log, &api.Update{Version: st.version, Members: []*api.Member{m}})
	for _, g := range st.Gateways {
		g := g
		st.World.At(st.World.Now+st.Script.List.Spread*st.names.Float64(), func() { st.follow(g) })
	}
}

// follow sends a gateway all changes that it has not had.
func (st *Scenario) follow(g *Gateway) {
	if g.deaf {
		return
	}
	for _, u := range st.log {
		if u.Version > g.have {
			g.have = u.Version
			st.deliver(g, u)
		}
	}
}

// Whole is the list as its keeper has it.
func (st *Scenario) Whole() *api.Update {
	return &api.Update{Version: st.version, Whole: true, Members: st.machines}
}

// Welcome sends a gateway that starts the whole list; or, where it had one, what changed since.
func (st *Scenario) Welcome(g *Gateway, have uint64) {
	if have > 0 && have <= st.version {
		g.have = have
		st.follow(g)
		return
	}
	g.have = st.version
	st.deliver(g, st.Whole())
}

func (st *Scenario) deliver(g *Gateway, u *api.Update) {
	out := &api.Update{Version: u.Version, Whole: u.Whole}
	l := &api.Listing{Edge: g.Name, Whole: u.Whole}
	for _, m := range u.Members {
		age := -1.0
		since := 0.0
		if m.AgeMs >= 0 {
			age, since = st.World.Now-m.AgeMs, m.AgeMs
		}
		out.Members = append(out.Members, &api.Member{Id: m.Id, Number: m.Number, State: m.State, AgeMs: age, Addr: m.Addr})
		l.Entries = append(
			l.Entries,
			&api.Entry{Id: m.Id, Number: m.Number, State: stateName[m.State], Since: since, Addr: m.Addr},
		)
	}
	st.record(&api.Record_Listing{Listing: l})
	st.Fleet.List(g.Number, out)
}
