package scenario

//tally:standin

import (
	"cobaltpier/api"
)

func (p *endpoint) member() *api.Member {
	return &api.Member{Id: p.id, Number: int32(p.number), State: p.state, AgeMs: p.startedAt, Addr: p.addr.String()}
}

// publishLater puts a change on the list after a random delay between lo and hi ms.
func (st *Scenario) publishLater(m *api.Member, lo, hi float64) {
	st.Simulation.At(st.Simulation.Now+lo+(hi-lo)*st.random.Float64(), func() { st.publish(m) })
}

// publish puts a change on the list and sends it to the gateways.
func (st *Scenario) publish(m *api.Member) {
	if st.listSilent {
		st.Simulation.At(st.Simulation.Now+500, func() { st.publish(m) }) // retried until the list is back
		return
	}
	st.version++
	known := false
	for i, o := range st.members {
		if o.Id == m.Id {
			st.members[i], known = m, true
		}
	}
	if !known {
		st.members = append(st.members, m)
	}
	st.updates = append(st.updates, &api.Update{Version: st.version, Members: []*api.Member{m}})
	for _, g := range st.Gateways {
		g := g
		st.Simulation.At(st.Simulation.Now+st.Script.List.Spread*st.random.Float64(), func() { st.sendUpdates(g) })
	}
}

// sendUpdates sends a gateway all changes that it has not received yet.
func (st *Scenario) sendUpdates(g *Gateway) {
	if g.down {
		return
	}
	for _, u := range st.updates {
		if u.Version > g.listVersion {
			g.listVersion = u.Version
			st.deliver(g, u)
		}
	}
}

// FullList returns the complete list.
func (st *Scenario) FullList() *api.Update {
	return &api.Update{Version: st.version, Whole: true, Members: st.members}
}

// SendList sends a starting gateway the complete list or, if it has version have already, the changes since then.
func (st *Scenario) SendList(g *Gateway, have uint64) {
	if have > 0 && have <= st.version {
		g.listVersion = have
		st.sendUpdates(g)
		return
	}
	g.listVersion = st.version
	st.deliver(g, st.FullList())
}

func (st *Scenario) deliver(g *Gateway, u *api.Update) {
	out := &api.Update{Version: u.Version, Whole: u.Whole}
	l := &api.Listing{Edge: g.Name, Whole: u.Whole}
	for _, m := range u.Members {
		age := -1.0
		since := 0.0
		if m.AgeMs >= 0 {
			age, since = st.Simulation.Now-m.AgeMs, m.AgeMs
		}
		out.Members = append(out.Members, &api.Member{Id: m.Id, Number: m.Number, State: m.State, AgeMs: age, Addr: m.Addr})
		l.Entries = append(
			l.Entries,
			&api.Entry{Id: m.Id, Number: m.Number, State: stateName[m.State], Since: since, Addr: m.Addr},
		)
	}
	st.record(&api.Record_Listing{Listing: l})
	st.Fleet.SendList(g.Number, out)
}
