package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to record.txt. Times are in seconds since
// the origin, which a case sets to the moment of its disruption.
type recorder struct {
	mu     sync.Mutex
	file   *os.File
	origin time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, origin: time.Now()}, nil
}

// setOrigin makes the times of later lines relative to now.
func (r *recorder) setOrigin() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.origin = time.Now()
	return r.origin
}

func (r *recorder) linef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.origin).Seconds(), fmt.Sprintf(format, args...))
}
