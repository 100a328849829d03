package scenario

import (
	"fmt"
	"math"

	"cobaltpier/api"
	"cobaltpier/internal/emulator/scenariofile"
)

// trouble plans one thing that goes wrong.
func (st *Scenario) trouble(t scenariofile.Trouble) {
	if t.Kind == "deploy" {
		st.planDeploy(t)
		return
	}
	begin, end := st.effects(t)
	if begin == nil {
		return
	}
	st.World.At(t.At, func() {
		st.Mark("trouble", t.Kind, "begins", nil)
		begin()
	})
	st.World.At(t.At+t.For, func() {
		st.Mark("trouble", t.Kind, "ends", nil)
		end()
	})
}

func nothing() {}

// effects returns what a trouble does when it begins and when it ends; nil: the day has nothing that it concerns. The
// endpoints concerned are drawn at once, so that the draw doesn't depend on what happens before.
func (st *Scenario) effects(t scenariofile.Trouble) (begin, end func()) {
	switch t.Kind {
	case "slow":
		return slowDown(st.some(t), t.Size)
	case "slow_all":
		return slowDown(st.places, t.Size)
	case "other":
		of := st.some(t)
		return func() { st.other(of, t.Size, t.At+t.For) }, nothing
	case "lines":
		return func() { st.loseCircuits(t.Region, t.Size, true) }, func() { st.loseCircuits(t.Region, 1, false) }
	case "silent":
		of := st.some(t)
		return func() { st.killAll(of) }, func() { st.bringBack(of) }
	case "region":
		return func() { st.killAll(st.in(t.Region)) }, func() { st.bringBack(st.in(t.Region)) }
	case "ageing":
		of := st.some(t)
		return func() { st.age(of, t, 0) }, nothing
	case "stall":
		return func() { st.stall(st.gates(t), t.Size*1000, t.At+t.For) }, nothing
	case "restart":
		return func() { st.restartGateways(st.gates(t)) }, nothing
	case "mute":
		return func() { st.muted = true }, func() { st.muted = false }
	case "loss":
		return func() { st.loss += t.Size }, func() { st.loss = math.Max(0, st.loss-t.Size) }
	case "listless":
		return func() { st.listless = true }, func() { st.listless = false }
	case "names_silent", "names_slow", "names_lossy", "names_spoofed", "names_cut", "names_lame", "names_wrong":
		return st.namesEffects(t)
	}
	return nothing, nothing // "burst", "uneven", "flood": the drawing of arrivals has it
}

func slowDown(of []*place, factor float64) (begin, end func()) {
	set := func(factor float64) func() {
		return func() {
			for _, p := range of {
				p.sw.Slow = factor
			}
		}
	}
	return set(factor), set(1)
}

// loseCircuits leaves the endpoints of a region a share of their circuits; due wakes them for the calls that are cut.
func (st *Scenario) loseCircuits(region string, share float64, due bool) {
	for _, p := range st.in(region) {
		p.sw.LoseCircuits(st.World.Now, share)
		if due {
			p.node.Due()
		}
	}
}

func (st *Scenario) killAll(of []*place) {
	for _, p := range of {
		st.kill(p)
		st.lost(p)
	}
}

func (st *Scenario) bringBack(of []*place) {
	for _, p := range of {
		st.back(p)
	}
}

// planDeploy replaces endpoints one after the other.
func (st *Scenario) planDeploy(t scenariofile.Trouble) {
	of := st.some(t)
	st.World.At(t.At, func() {
		st.Mark("trouble", t.Kind, "begins", nil)
		for i, p := range of {
			st.World.At(t.At+t.For*float64(i)/float64(len(of)), func() { st.replace(p) })
		}
	})
}

// restartGateways kills gateways and starts each again after 0.3 to 1 s.
func (st *Scenario) restartGateways(gateways []*Gateway) {
	for _, g := range gateways {
		if g.deaf { // killed already by another trouble
			continue
		}
		g.deaf = true
		st.Mark("edge-kill", g.Name, "", nil)
		st.Fleet.Kill(g.Number)
		st.World.At(st.World.Now+300+700*st.names.Float64(), func() {
			g.deaf = false
			st.Fleet.Start(g.Number)
			st.Mark("edge-start", g.Name, "", nil)
		})
	}
}

// some draws a part of the places, at least one.
func (st *Scenario) some(t scenariofile.Trouble) []*place {
	of := st.in(t.Region)
	n := max(1, int(math.Round(t.Part*float64(len(of)))))
	of = append([]*place{}, of...)
	for i := len(of) - 1; i > 0; i-- {
		j := int(st.names.Float64() * float64(i+1))
		of[i], of[j] = of[j], of[i]
	}
	return of[:min(n, len(of))]
}

func (st *Scenario) gates(t scenariofile.Trouble) []*Gateway {
	of := append([]*Gateway{}, st.Gateways...)
	for i := len(of) - 1; i > 0; i-- {
		j := int(st.names.Float64() * float64(i+1))
		of[i], of[j] = of[j], of[i]
	}
	return of[:min(len(of), max(1, int(math.Round(t.Part*float64(len(of))))))]
}

// in is the places of a region, or all.
func (st *Scenario) in(region string) []*place {
	var of []*place
	for _, p := range st.places {
		if region == "" || p.region == region {
			of = append(of, p)
		}
	}
	return of
}

func (st *Scenario) other(of []*place, share, end float64) {
	w := st.World
	if w.Now >= end {
		for _, p := range of {
			p.sw.Other = 0
		}
		return
	}
	for _, p := range of {
		if p.sw.Other == 0 {
			p.sw.Other = share
		} else {
			p.sw.Other = 0
		}
	}
	w.At(math.Min(end, w.Now+500+2000*st.names.Float64()), func() { st.other(of, share, end) })
}

// age slows a process step by step, then it dies and comes back.
func (st *Scenario) age(of []*place, t scenariofile.Trouble, step int) {
	const steps = 10
	for _, p := range of {
		if step == steps {
			st.kill(p)
			st.lost(p)
			p := p
			st.World.At(st.World.Now+2000, func() { st.back(p) })
			continue
		}
		p.sw.Slow = 1 + (t.Size-1)*float64(step)/steps
	}
	if step < steps {
		st.World.At(st.World.Now+t.For/steps, func() { st.age(of, t, step+1) })
	}
}

// lost lets the list learn, late, that a process is silent.
func (st *Scenario) lost(p *place) {
	birth, l := p.birth, st.Script.List
	st.World.At(st.World.Now+l.SilentLo+(l.SilentHi-l.SilentLo)*st.names.Float64(), func() {
		if p.birth == birth { // not back meanwhile
			p.state = api.State_GONE
			st.publish(p.member())
		}
	})
}

// back starts a process anew on the same machine: cold.
func (st *Scenario) back(p *place) {
	p.birth++
	p.state, p.start = api.State_READY, st.World.Now
	st.boot(p, true)
	st.change(p.member(), st.Script.List.AddLo, st.Script.List.AddHi)
}

// replace drains a place's machine and puts a new one, cold, beside it.
func (st *Scenario) replace(p *place) {
	w, l := st.World, st.Script.List
	old := *p
	old.state = api.State_DRAINING
	st.Mark("drain", p.node.Name, "", nil)
	m := old.member()
	st.change(m, l.NoticeLo/4, l.NoticeLo)
	w.At(w.Now+6000, func() {
		st.Mark("stop", old.node.Name, "", nil)
		old.sw.Stop(w.Now)
		old.node.Due()
		gone := old.member()
		gone.State = api.State_GONE
		w.At(w.Now+1000, func() { old.node.Die() })
		st.change(gone, l.NoticeLo, l.NoticeHi)
	})
	p.birth++
	p.id = fmt.Sprintf("m%d.%d", p.number, p.birth)
	p.addr = st.next(p, min(3, p.birth))
	p.state, p.start = api.State_READY, w.Now
	st.boot(p, true)
	st.change(p.member(), l.AddLo, l.AddHi)
}

// stall lets gateways stand still, again and again.
func (st *Scenario) stall(of []*Gateway, span, end float64) {
	w := st.World
	if w.Now >= end {
		return
	}
	for _, g := range of {
		g := g
		st.Mark("edge-stop", g.Name, "", nil)
		st.Fleet.Halt(g.Number)
		w.At(w.Now+span, func() {
			st.Fleet.Go(g.Number)
			st.Mark("edge-go", g.Name, "", nil)
		})
	}
	w.At(w.Now+span+2000+1600*st.names.Float64(), func() { st.stall(of, span, end) })
}
