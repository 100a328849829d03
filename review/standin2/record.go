package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the ms since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.1f  %s\n", float64(time.Since(r.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}
