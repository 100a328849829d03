package scenario

import (
	"fmt"
	"math"

	"cobaltpier/api"
	"cobaltpier/internal/emulator/scenariofile"
)

// scheduleFault schedules a fault.
func (st *Scenario) scheduleFault(fault scenariofile.Fault) {
	if fault.Kind == "deploy" {
		st.scheduleReplacements(fault)
		return
	}
	begin, end := st.faultEffects(fault)
	if begin == nil {
		return
	}
	st.Simulation.At(fault.At, func() {
		st.Mark("trouble", fault.Kind, "begins", nil)
		begin()
	})
	st.Simulation.At(fault.At+fault.For, func() {
		st.Mark("trouble", fault.Kind, "ends", nil)
		end()
	})
}

func noEffect() {}

// faultEffects returns what a fault does when it begins and when it ends. Both are nil for a DNS fault in a
// scenario without number analysis. The endpoints that are drawn at random are drawn here, so that the draw
// doesn't depend on what happens before the fault; gateways are drawn when the fault begins.
func (st *Scenario) faultEffects(fault scenariofile.Fault) (begin, end func()) {
	switch fault.Kind {
	case "slow":
		return slowDown(st.drawEndpoints(fault), fault.Size)
	case "slow_all":
		return slowDown(st.endpoints, fault.Size)
	case "other":
		endpoints := st.drawEndpoints(fault)
		return func() { st.toggleOtherLoad(endpoints, fault.Size, fault.At+fault.For) }, noEffect
	case "lines":
		return func() { st.setLinesInService(fault.Region, fault.Size, true) },
			func() { st.setLinesInService(fault.Region, 1, false) }
	case "silent":
		endpoints := st.drawEndpoints(fault)
		return func() { st.killEndpoints(endpoints) }, func() { st.restartEndpoints(endpoints) }
	case "region":
		return func() { st.killEndpoints(st.endpointsIn(fault.Region)) },
			func() { st.restartEndpoints(st.endpointsIn(fault.Region)) }
	case "ageing":
		endpoints := st.drawEndpoints(fault)
		return func() { st.slowDownThenRestart(endpoints, fault, 0) }, noEffect
	case "stall":
		return func() { st.pauseRepeatedly(st.drawGateways(fault), fault.Size*1000, fault.At+fault.For) }, noEffect
	case "restart":
		return func() { st.restartGateways(st.drawGateways(fault)) }, noEffect
	case "mute":
		return func() { st.gossipLost = true }, func() { st.gossipLost = false }
	case "loss":
		return func() { st.extraLoss += fault.Size }, func() { st.extraLoss = math.Max(0, st.extraLoss-fault.Size) }
	case "listless":
		return func() { st.listSilent = true }, func() { st.listSilent = false }
	case "names_silent", "names_slow", "names_lossy", "names_spoofed", "names_cut", "names_lame", "names_wrong":
		return st.dnsFaultEffects(fault)
	}
	return noEffect, noEffect // "burst", "uneven" and "flood" act on the arrivals
}

// slowDown returns functions that slow endpoints down by a factor and that restore their speed.
func slowDown(endpoints []*endpoint, factor float64) (begin, end func()) {
	set := func(factor float64) func() {
		return func() {
			for _, e := range endpoints {
				e.coreSwitch.Slowdown = factor
			}
		}
	}
	return set(factor), set(1)
}

// setLinesInService sets the share of their lines that the endpoints of a region have in service. wakeUp schedules a
// wakeup of the switches, so that they release surplus calls at once.
func (st *Scenario) setLinesInService(region string, share float64, wakeUp bool) {
	for _, e := range st.endpointsIn(region) {
		e.coreSwitch.LoseCircuits(st.Simulation.Now, share)
		if wakeUp {
			e.node.ScheduleWakeup()
		}
	}
}

// killEndpoints kills the switches of endpoints; the endpoint list shows it later.
func (st *Scenario) killEndpoints(endpoints []*endpoint) {
	for _, e := range endpoints {
		st.kill(e)
		st.delistLater(e)
	}
}

func (st *Scenario) restartEndpoints(endpoints []*endpoint) {
	for _, e := range endpoints {
		st.restart(e)
	}
}

// scheduleReplacements schedules the replacement of endpoints, one after the other.
func (st *Scenario) scheduleReplacements(fault scenariofile.Fault) {
	endpoints := st.drawEndpoints(fault)
	st.Simulation.At(fault.At, func() {
		st.Mark("trouble", fault.Kind, "begins", nil)
		for i, e := range endpoints {
			st.Simulation.At(fault.At+fault.For*float64(i)/float64(len(endpoints)), func() { st.replace(e) })
		}
	})
}

// restartGateways kills gateways and starts each again after 0.3 to 1 s.
func (st *Scenario) restartGateways(gateways []*Gateway) {
	for _, g := range gateways {
		if g.down { // already killed by another fault
			continue
		}
		g.down = true
		st.Mark("edge-kill", g.Name, "", nil)
		st.Fleet.Kill(g.Number)
		st.Simulation.At(st.Simulation.Now+300+700*st.random.Float64(), func() {
			g.down = false
			st.Fleet.Start(g.Number)
			st.Mark("edge-start", g.Name, "", nil)
		})
	}
}

// drawEndpoints draws the endpoints that a fault affects, at least one.
func (st *Scenario) drawEndpoints(fault scenariofile.Fault) []*endpoint {
	endpoints := st.endpointsIn(fault.Region)
	n := max(1, int(math.Round(fault.Part*float64(len(endpoints)))))
	endpoints = append([]*endpoint{}, endpoints...)
	for i := len(endpoints) - 1; i > 0; i-- {
		j := int(st.random.Float64() * float64(i+1))
		endpoints[i], endpoints[j] = endpoints[j], endpoints[i]
	}
	return endpoints[:min(n, len(endpoints))]
}

// drawGateways draws the gateways that a fault affects, at least one.
func (st *Scenario) drawGateways(fault scenariofile.Fault) []*Gateway {
	gateways := append([]*Gateway{}, st.Gateways...)
	for i := len(gateways) - 1; i > 0; i-- {
		j := int(st.random.Float64() * float64(i+1))
		gateways[i], gateways[j] = gateways[j], gateways[i]
	}
	return gateways[:min(len(gateways), max(1, int(math.Round(fault.Part*float64(len(gateways))))))]
}

// endpointsIn returns the endpoints of a region; "" is all regions.
func (st *Scenario) endpointsIn(region string) []*endpoint {
	var endpoints []*endpoint
	for _, e := range st.endpoints {
		if region == "" || e.region == region {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

// toggleOtherLoad turns other load (a share of the processor) on and off, at random intervals of 0.5 to 2.5 s,
// until the time end (ms).
func (st *Scenario) toggleOtherLoad(endpoints []*endpoint, share, end float64) {
	sim := st.Simulation
	if sim.Now >= end {
		for _, e := range endpoints {
			e.coreSwitch.OtherLoad = 0
		}
		return
	}
	for _, e := range endpoints {
		if e.coreSwitch.OtherLoad == 0 {
			e.coreSwitch.OtherLoad = share
		} else {
			e.coreSwitch.OtherLoad = 0
		}
	}
	sim.At(math.Min(end, sim.Now+500+2000*st.random.Float64()), func() { st.toggleOtherLoad(endpoints, share, end) })
}

// slowDownThenRestart slows switches down in 10 steps over the fault's duration, then kills them and restarts
// them 2 s later. step is the step to do now.
func (st *Scenario) slowDownThenRestart(endpoints []*endpoint, fault scenariofile.Fault, step int) {
	const steps = 10
	for _, e := range endpoints {
		if step == steps {
			st.kill(e)
			st.delistLater(e)
			e := e
			st.Simulation.At(st.Simulation.Now+2000, func() { st.restart(e) })
			continue
		}
		e.coreSwitch.Slowdown = 1 + (fault.Size-1)*float64(step)/steps
	}
	if step < steps {
		st.Simulation.At(st.Simulation.Now+fault.For/steps, func() { st.slowDownThenRestart(endpoints, fault, step+1) })
	}
}

// delistLater publishes, after a delay, that a killed switch is gone, unless it has been restarted by then.
func (st *Scenario) delistLater(e *endpoint) {
	incarnation, list := e.incarnation, st.Script.List
	st.Simulation.At(st.Simulation.Now+list.SilentLo+(list.SilentHi-list.SilentLo)*st.random.Float64(), func() {
		if e.incarnation == incarnation { // not restarted meanwhile
			e.state = api.State_GONE
			st.publish(e.member())
		}
	})
}

// restart starts a new switch process, cold, at the same address.
func (st *Scenario) restart(e *endpoint) {
	e.incarnation++
	e.state, e.startedAt = api.State_READY, st.Simulation.Now
	st.boot(e, true)
	st.publishLater(e.member(), st.Script.List.AddLo, st.Script.List.AddHi)
}

// replace drains an endpoint's switch and starts a new one, cold, at another address.
func (st *Scenario) replace(e *endpoint) {
	sim, list := st.Simulation, st.Script.List
	old := *e
	old.state = api.State_DRAINING
	st.Mark("drain", e.node.Name, "", nil)
	drained := old.member()
	st.publishLater(drained, list.NoticeLo/4, list.NoticeLo)
	sim.At(sim.Now+6000, func() {
		st.Mark("stop", old.node.Name, "", nil)
		old.coreSwitch.ReleaseAll(sim.Now)
		old.node.ScheduleWakeup()
		gone := old.member()
		gone.State = api.State_GONE
		sim.At(sim.Now+1000, func() { old.node.Kill() })
		st.publishLater(gone, list.NoticeLo, list.NoticeHi)
	})
	e.incarnation++
	e.id = fmt.Sprintf("m%d.%d", e.number, e.incarnation)
	e.addr = st.replacementAddr(e, min(3, e.incarnation))
	e.state, e.startedAt = api.State_READY, sim.Now
	st.boot(e, true)
	st.publishLater(e.member(), list.AddLo, list.AddHi)
}

// pauseRepeatedly pauses gateways repeatedly, each time for pause ms. No pause begins after the time end.
func (st *Scenario) pauseRepeatedly(gateways []*Gateway, pause, end float64) {
	sim := st.Simulation
	if sim.Now >= end {
		return
	}
	for _, g := range gateways {
		g := g
		st.Mark("edge-stop", g.Name, "", nil)
		st.Fleet.Pause(g.Number)
		sim.At(sim.Now+pause, func() {
			st.Fleet.Resume(g.Number)
			st.Mark("edge-go", g.Name, "", nil)
		})
	}
	sim.At(sim.Now+pause+2000+1600*st.random.Float64(), func() { st.pauseRepeatedly(gateways, pause, end) })
}
