package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a text file, one line for each event.
type record struct {
	mu        sync.Mutex
	file      *os.File
	out       *bufio.Writer
	startedAt time.Time
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), startedAt: time.Now()}, nil
}

// line writes one event with its time in seconds since the start.
func (r *record) line(format string, args ...any) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", now.Sub(r.startedAt).Seconds(), fmt.Sprintf(format, args...)) // close reports errors.
}

// report writes a line to the file and to the standard output.
func (r *record) report(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
