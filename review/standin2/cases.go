package main

import (
	"fmt"
	"time"
)

func init() {
	cases["slow-list"] = slowList
	cases["resume-restart"] = resumeRestart
	cases["resume-forget"] = resumeForget
	cases["full-switch"] = fullSwitch
}

// gatewayCount is the size of a small deployment (BRIEF: 5 to 7 gateways, 2 to 3 switches).
const gatewayCount = 5

// view is what one gateway sees: "Each gateway reaches all other parties at addresses set aside for it alone."
type view struct {
	switches []*coreSwitch
	names    *nameServer
	gateway  *gateway
}

// deployment is a small deployment. The case's callers use the first gateway.
type deployment []*view

// begin starts a deployment with so many switches.
func (p *play) begin(switches int) (deployment, error) {
	var d deployment
	for index := range gatewayCount {
		v := &view{}
		d = append(d, v)
		for i := range switches {
			s, err := newSwitch(p.rec, fmt.Sprintf("s-%08x", 0xc41f7a+i), i)
			if err != nil {
				return nil, err
			}
			v.switches = append(v.switches, s)
		}
		var err error
		if v.names, err = newNameServer(p.rec, 1, v.list(-1)); err != nil {
			return nil, err
		}
		v.gateway, err = newGateway(p.rec, p.run, p.folder, index, settings(gatewayCount, index, switches))
		if err != nil {
			return nil, err
		}
		v.gateway.memoryMB = p.memoryMB
		p.atEnd(v.gateway.kill)
		p.started = append(p.started, v.gateway)
		if err := v.gateway.start(v.names); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// list returns the list with one switch draining; -1: none.
func (v *view) list(draining int) []entry {
	var list []entry
	for i, s := range v.switches {
		e := s.entry()
		e.draining = i == draining
		list = append(list, e)
	}
	return list
}

// slow makes the name server answer late, for all gateways.
func (d deployment) slow(delay time.Duration) {
	for _, v := range d {
		v.names.mu.Lock()
		v.names.delay = delay
		v.names.mu.Unlock()
	}
}

// change tells all gateways the list as it is, with one switch draining; -1: none. It returns the event's number at the
// first gateway.
func (d deployment) change(draining int) uint32 {
	for _, v := range d[1:] {
		v.names.change(v.list(draining))
	}
	return d[0].names.change(d[0].list(draining))
}

// restartSwitch ends the process of a switch, and starts it again after some time.
func (d deployment) restartSwitch(i int, down time.Duration) error {
	for _, v := range d {
		v.switches[i].die()
	}
	time.Sleep(down)
	boot := time.Now().UnixMilli()
	for _, v := range d {
		v.switches[i].bootMS = boot
		if err := v.switches[i].start(); err != nil {
			return err
		}
	}
	return nil
}

func (s *coreSwitch) entry() entry {
	return entry{id: s.id, addr: s.addr, group: s.group, bootMS: s.bootMS}
}

// slowList: the name server answers late while a switch begins to drain.
func slowList(p *play) (verdict, error) {
	d, err := p.begin(2)
	if err != nil {
		return nil, err
	}
	switches, names, g := d[0].switches, d[0].names, d[0].gateway
	a := switches[0]
	caller := newClient(p.rec, "caller", "127.0.0.1", g.listen)
	conn, err := caller.connect()
	if err != nil {
		return nil, err
	}
	// ten calls a second, for the first switch as often as for the second
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := uint64(0); ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			id := 0x1000 + i
			if conn.setup(id, 2*time.Second, fmt.Sprintf("dest:%d;width:1;via:-1", i%2)) != nil {
				return
			}
			time.AfterFunc(1500*time.Millisecond, func() {
				for _, s := range switches {
					if s.stands(id) {
						s.end(id, 16)
					}
				}
			})
		}
	}()
	time.Sleep(3 * time.Second)
	if p.trouble {
		d.slow(slowListDelay)
		p.rec.printf("from now on the name server answers each query after %v", slowListDelay)
	}
	time.Sleep(time.Second)
	before, _ := a.setupsAfter(time.Time{})
	serial := d.change(0)
	time.Sleep(20 * time.Second)
	close(stop)
	<-done
	told, ok := names.told(serial)
	if !ok {
		return nil, fmt.Errorf("the drain was never told")
	}
	if after, _ := switches[1].setupsAfter(told); before == 0 || after == 0 {
		return nil, fmt.Errorf("no calls before the drain (%d) or after it (%d)", before, after)
	}
	n, last := a.setupsAfter(told.Add(300 * time.Millisecond))
	if n > 0 {
		return verdict{fmt.Sprintf("%d set-ups reached the draining switch more than 300 ms after the gateway was told, "+
			"the last %.1f s after", n, last.Sub(told).Seconds())}, nil
	}
	return nil, nil
}

const slowListDelay = 4 * time.Second

// resumeRestart: the gateway restarts, then a switch; the caller names its call only after that.
func resumeRestart(p *play) (verdict, error) {
	d, err := p.begin(3)
	if err != nil {
		return nil, err
	}
	switches, names, g := d[0].switches, d[0].names, d[0].gateway
	a, b := switches[0], switches[1]
	caller := newClient(p.rec, "caller", "127.0.0.1", g.listen)
	conn, err := caller.connect()
	if err != nil {
		return nil, err
	}
	const call = 0x2001
	if err := conn.setup(call, 5*time.Second, "dest:0;width:1;via:-1"); err != nil {
		return nil, err
	}
	if _, ok := caller.wait(call, typeAnswer, 5*time.Second); !ok || !a.stands(call) {
		return nil, fmt.Errorf("the call does not stand at the first switch")
	}
	if err := g.restart(names); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	var over time.Time
	if p.trouble {
		if !a.stands(call) {
			return nil, fmt.Errorf("the call does not stand any more")
		}
		over = time.Now()
		if err := d.restartSwitch(0, 2*time.Second); err != nil {
			return nil, err
		}
		d.change(-1)
	}
	time.Sleep(time.Second)
	if conn, err = caller.connect(); err != nil {
		return nil, err
	}
	if err := conn.setup(call, 5*time.Second, "dest:0;width:1;via:-1;at:"+a.id); err != nil {
		return nil, err
	}
	resumed := time.Now()
	if !p.trouble {
		time.Sleep(4 * time.Second)
		over = time.Now()
		a.end(call, 16)
	}
	// the caller keeps a connection that carries calls: another one every 2 s
	for i := uint64(1); time.Since(resumed) < 25*time.Second; i++ {
		if err := conn.setup(0x3000+i, 2*time.Second, "dest:1;width:1;via:-1"); err != nil {
			return nil, err
		}
		time.Sleep(time.Second)
		b.end(0x3000+i, 16)
		time.Sleep(time.Second)
	}
	r, ok := caller.first(call, typeRelease, over)
	limit := over.Add(8 * time.Second)
	if !ok {
		return verdict{fmt.Sprintf("call %x was cut when its switch died; its caller got no release in %.1f s",
			call, time.Since(over).Seconds())}, nil
	}
	if r.at.After(limit) {
		return verdict{fmt.Sprintf("the release came %.1f s after the end", r.at.Sub(over).Seconds())}, nil
	}
	return nil, nil
}

// resumeForget: after a restart the caller names its call, closes its resting connection and comes back later.
func resumeForget(p *play) (verdict, error) {
	d, err := p.begin(2)
	if err != nil {
		return nil, err
	}
	switches, names, g := d[0].switches, d[0].names, d[0].gateway
	a, b := switches[0], switches[1]
	caller := newClient(p.rec, "caller", "127.0.0.1", g.listen)
	conn, err := caller.connect()
	if err != nil {
		return nil, err
	}
	const call = 0x4001
	if err := conn.setup(call, 5*time.Second, "dest:0;width:1;via:-1"); err != nil {
		return nil, err
	}
	if _, ok := caller.wait(call, typeAnswer, 5*time.Second); !ok || !a.stands(call) {
		return nil, fmt.Errorf("the call does not stand at the first switch")
	}
	if p.trouble {
		if err := g.restart(names); err != nil {
			return nil, err
		}
		time.Sleep(time.Second)
		if conn, err = caller.connect(); err != nil {
			return nil, err
		}
		if err := conn.setup(call, 5*time.Second, "dest:0;width:1;via:-1;at:"+a.id); err != nil {
			return nil, err
		}
	}
	time.Sleep(4100 * time.Millisecond)
	conn.close() // it has carried no call for 4 s
	time.Sleep(23 * time.Second)
	if !a.stands(call) {
		return nil, fmt.Errorf("the call does not stand any more")
	}
	over := time.Now()
	a.end(call, 16)
	time.Sleep(time.Second)
	if conn, err = caller.connect(); err != nil {
		return nil, err
	}
	for i := uint64(1); time.Since(over) < 20*time.Second; i++ {
		if err := conn.setup(0x5000+i, 2*time.Second, "dest:1;width:1;via:-1"); err != nil {
			return nil, err
		}
		time.Sleep(time.Second)
		b.end(0x5000+i, 16)
		time.Sleep(time.Second)
	}
	r, ok := caller.first(call, typeRelease, over)
	if !ok {
		return verdict{fmt.Sprintf("call %x ended; its caller came back 1 s later and got no release in %.1f s",
			call, time.Since(over).Seconds())}, nil
	}
	if r.at.After(over.Add(8 * time.Second)) {
		return verdict{fmt.Sprintf("the release came %.1f s after the end", r.at.Sub(over).Seconds())}, nil
	}
	return nil, nil
}

// fullSwitch: a resting connection is reset, and the switch, which has no room for another one, refuses the next.
func fullSwitch(p *play) (verdict, error) {
	d, err := p.begin(2)
	if err != nil {
		return nil, err
	}
	g, a := d[0].gateway, d[0].switches[0]
	caller := newClient(p.rec, "caller", "127.0.0.1", g.listen)
	conn, err := caller.connect()
	if err != nil {
		return nil, err
	}
	const call = 0x6001
	if err := conn.setup(call, 3*time.Second, "dest:0;width:1;via:-1"); err != nil {
		return nil, err
	}
	if _, ok := caller.wait(call, typeAnswer, 3*time.Second); !ok || !a.stands(call) {
		return nil, fmt.Errorf("the call does not stand at the first switch")
	}
	time.Sleep(time.Second)
	if p.trouble {
		a.refuse()
		time.Sleep(time.Second)
		if err := a.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(4 * time.Second)
	if r, over := caller.first(call, typeRelease, time.Time{}); over && a.stands(call) {
		return verdict{fmt.Sprintf("the caller of %x was told that its call is over (cause %d); it still stands %.1f s "+
			"later, and no release came to its switch", call, r.why, time.Since(r.at).Seconds())}, nil
	}
	over := time.Now()
	a.end(call, 16)
	if _, ok := caller.wait(call, typeRelease, 2*time.Second); !ok {
		return verdict{fmt.Sprintf("no release of %x within 2 s of its end", call)}, nil
	}
	if r, _ := caller.first(call, typeRelease, time.Time{}); r.at.Before(over) {
		return verdict{fmt.Sprintf("the release of %x came before its end", call)}, nil
	}
	return nil, nil
}
