// The program plays one case of the review: it stands in for clients, core switches and the name server, and starts
// the gateway with the command of the deploy file. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit ends a case that takes too long.
const timeLimit = 110 * time.Second

// play is what a case works with.
type play struct {
	rec     *record
	run     string
	folder  string
	trouble bool
	// memoryMB is the gateway's limit of memory.
	memoryMB int
	stops    []func()
	started  []*gateway
}

func (p *play) atEnd(stop func()) { p.stops = append(p.stops, stop) }

// guarded plays a case and ends all processes that it started, also if it takes too long or is stopped.
func (p *play) guarded(f func(*play) (verdict, error)) (broken verdict, err error) {
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		defer close(done)
		broken, err = f(p)
	}()
	select {
	case <-done:
	case <-stopped:
		err = errors.New("stopped by a signal")
	case <-time.After(timeLimit):
		err = errors.New("the time limit is over")
	}
	for _, g := range p.started {
		if g.endedByItself() {
			err = fmt.Errorf("gateway %s ended by itself", g.name())
		}
	}
	for i := len(p.stops) - 1; i >= 0; i-- {
		p.stops[i]()
	}
	return broken, err
}

// verdict is the result of a case: the ways in which the rule was broken.
type verdict []string

var cases = map[string]func(*play) (verdict, error){}

func main() {
	name := flag.String("case", "", "the case")
	file := flag.String("record", "record.txt", "what was sent, answered and run")
	run := flag.String("run", "", "the command that starts the gateway")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	os.Exit(playCase(*name, *file, *run, *trouble))
}

func playCase(name, file, run string, trouble bool) int {
	rec, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.file.Close()
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(folder)
	p := &play{rec: rec, run: run, folder: folder, trouble: trouble, memoryMB: 192}
	f := cases[name]
	if f == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	rec.printf("case %s, trouble %v", name, trouble)
	broken, err := p.guarded(f)
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case len(broken) > 0:
		for _, why := range broken {
			rec.printf("BROKEN: %s", why)
			fmt.Println("BROKEN:", why)
		}
		return 1
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return 0
}
