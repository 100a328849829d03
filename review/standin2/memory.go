package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = memory }

const (
	memoryLimitMB = 32 // the least that the pages name
	// badDescription leaves room for the other parameters: no message holds more than 16 KiB.
	badDescription = 16000
	largeClients   = 2
	badNumber      = "bad" // begins a number that no switch can use: such a set-up is answered 'error'
)

// residentKB returns the resident anonymous memory of a process, in KiB. Pages of files are left out.
func residentKB(pid int) (kb int) {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			_, _ = fmt.Sscan(rest, &kb)
		}
	}
	return kb
}

// memory: bad clients send hundreds of large set-ups at once. The platform kills a gateway that is over its limit.
func memory(p *play) (verdict, error) {
	p.memoryMB = memoryLimitMB
	d, err := p.begin(3)
	if err != nil {
		return nil, err
	}
	switches, g := d[0].switches, d[0].gateway
	if residentKB(g.cmd.Process.Pid) == 0 {
		return nil, fmt.Errorf("the resident memory of the gateway can't be read")
	}
	for _, s := range switches {
		s.holdFor = 2 * time.Second
	}
	caller := newClient(p.rec, "caller", "127.0.0.1", g.listen)
	conn, err := caller.connect()
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	defer close(stop)
	var bursts atomic.Int64
	peak, killed := 0, make(chan struct{})
	go func() { // the platform
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			used := residentKB(g.cmd.Process.Pid)
			if peak = max(peak, used); used > memoryLimitMB<<10 {
				p.rec.printf("the gateway uses %d KiB, its limit is %d MB: the platform kills it", used, memoryLimitMB)
				g.signal(syscall.SIGKILL)
				close(killed)
				return
			}
		}
	}()
	begin := time.Now()
	started := false
	for i := uint64(0); time.Since(begin) < 25*time.Second; i++ {
		if p.trouble && !started && time.Since(begin) > 3*time.Second {
			started = true
			p.rec.printf("bad clients begin; the gateway uses %d KiB", residentKB(g.cmd.Process.Pid))
			for k := range largeClients {
				go p.largeRequests(k, g.listen, &bursts, stop)
			}
		}
		select {
		case <-killed:
			<-g.exited
			return verdict{fmt.Sprintf("the gateway went over its limit of %d MB (%d KiB) and was killed",
				memoryLimitMB, peak)}, nil
		case <-time.After(100 * time.Millisecond):
		}
		if conn.isClosed() {
			if conn, err = caller.connect(); err != nil {
				continue // the gateway may just have been killed
			}
		}
		_ = conn.setup(0x8000+i, patience, fmt.Sprintf("dest:%d;width:1;via:-1", i%3))
	}
	if p.trouble && bursts.Load() == 0 {
		return nil, fmt.Errorf("no bad client could send")
	}
	p.rec.printf("the gateway used %d KiB at most", peak)
	return nil, nil
}

// largeRequests comes once a second: it sends 500 set-ups of almost 16 KiB at once and reads what it is sent.
func (p *play) largeRequests(k int, gateway string, bursts *atomic.Int64, stop chan struct{}) {
	rnd := rand.New(rand.NewSource(int64(k) + 1))
	for {
		p.largeBurst(k, gateway, rnd, bursts, stop)
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

func (p *play) largeBurst(k int, gateway string, rnd *rand.Rand, bursts *atomic.Int64, stop chan struct{}) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(11+k))}, Timeout: 2 * time.Second}
	c, err := dialer.Dial("tcp", gateway)
	if err != nil {
		p.rec.printf("bad client %d: %v", k, err)
		return
	}
	go func() {
		defer c.Close()
		<-stop
	}()
	go func() { _, _ = io.Copy(io.Discard, c) }()
	for range badRequests {
		if _, err := c.Write(encode(typeSetup, rnd.Uint64()|1<<63, text(paramClass, className), text(paramTimeout, "9000"),
			text(paramNumber, badNumber+strconv.Itoa(rnd.Int())), text(paramFigures, "dest:0;width:1;via:-1"),
			param{paramDescription, make([]byte, badDescription)})); err != nil {
			p.rec.printf("bad client %d: %v", k, err)
			return
		}
	}
	bursts.Add(1)
	p.rec.printf("bad client %d sent %d set-ups with a description of %d bytes", k, badRequests, badDescription)
}
