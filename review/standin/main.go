package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// lab is what every case has.
type lab struct {
	rec     *recorder
	root    string // of the repository
	tmp     string
	trouble bool
	closers []func()
}

func (l *lab) atEnd(do func()) { l.closers = append(l.closers, do) }

var cases = map[string]func(*lab) (broken bool, err error){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER ROOT")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, folder, root string) int {
	rec, err := newRecorder(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(tmp)
	}
	if root, err = filepath.Abs(root); err != nil {
		return exitNotRun
	}
	l := &lab{rec: rec, root: root, tmp: tmp, trouble: os.Getenv("TROUBLE") != "0"}
	broken, err := l.within(caseLimit, cases[name])
	for i := len(l.closers) - 1; i >= 0; i-- {
		l.closers[i]()
	}
	switch {
	case err != nil:
		rec.report("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.report("the rule was broken")
		return exitBroken
	}
	rec.report("the rule held")
	return exitHeld
}

// caseLimit is the longest time that a case may run.
const caseLimit = 115 * time.Second

var errStopped = errors.New("stopped: out of time, or by a signal")

// within runs a case; it fails if the case takes too long or this process gets a signal.
func (l *lab) within(limit time.Duration, do func(*lab) (bool, error)) (broken bool, err error) {
	signals, done := make(chan os.Signal, 1), make(chan struct{})
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		defer close(done)
		broken, err = do(l)
	}()
	select {
	case <-done:
		return broken, err
	case <-signals:
	case <-time.After(limit):
	}
	return false, errStopped
}

// start starts switches, a name server and one gateway, and waits until the gateway is ready.
func (l *lab) start(switches []*coreSwitch, options gatewayOptions) (*gateway, *nameServer, error) {
	for _, sw := range switches {
		sw.serve()
	}
	names, err := newNameServer(1, switches...)
	if err != nil {
		return nil, nil, err
	}
	l.atEnd(names.close)
	options.nameserver, options.no, options.switches = names.addr(), 1, switches
	if options.memoryMB == 0 {
		options.memoryMB = 128
	}
	if options.sockets == 0 {
		options.sockets = 512
	}
	g, err := newGateway(l.rec, l.root, l.tmp, options)
	if err != nil {
		return nil, nil, err
	}
	if err := g.start(); err != nil {
		return nil, nil, err
	}
	l.atEnd(g.stop)
	return g, names, g.waitReady()
}

// newSwitches starts core switches.
func (l *lab) newSwitches(count int) ([]*coreSwitch, error) {
	var switches []*coreSwitch
	for i := range count {
		sw, err := newSwitch(l.rec, fmt.Sprintf("s-%08x", i+1), i)
		if err != nil {
			return nil, err
		}
		l.atEnd(sw.close)
		switches = append(switches, sw)
	}
	return switches, nil
}
