package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a case's record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecorder(folder string) (*recorder, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// printf writes one line with the milliseconds since the start.
func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.1f ", float64(time.Since(r.start))/1e6)
	fmt.Fprintf(r.out, format, args...)
	r.out.WriteByte('\n')
}

// report writes a line of the result to the record and to standard output.
func (r *recorder) report(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
