// Command stand plays the cases of the review that are scripts. It starts the program as
// processes of their own and stands in for the platform's store, backend servers and clients.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// testCase is what all cases have in common.
type testCase struct {
	ctx       context.Context //nolint:containedctx // It ends with the process.
	temp      string
	trouble   bool // The disruption takes place.
	record    *recorder
	store     *store
	storeAddr string
	workers   []*worker
	vms       []*vm
}

// maxTime bounds a case.
const maxTime = 110 * time.Second

var cases = map[string]func(c *testCase) (broken bool, err error){
	"sigterm": runSigterm,
	"memory":  runMemory,
	"stray":   runStray,
	"deadly":  runDeadly,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return exitFailed
	}
	record, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(temp) }()
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxTime)
	defer cancel()
	c := &testCase{ctx: ctx, temp: temp, trouble: os.Getenv("TROUBLE") != "0", record: record}
	defer c.end()
	broken, err := c.play(cases[os.Args[1]])
	switch {
	case err != nil:
		record.linef("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case broken:
		fmt.Println("the rule was broken; see record.txt")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

// play runs a case until it ends or its time is over.
func (c *testCase) play(fn func(c *testCase) (bool, error)) (bool, error) {
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := fn(c)
		results <- result{broken, err}
	}()
	select {
	case r := <-results:
		return r.broken, r.err
	case <-c.ctx.Done():
		return false, c.ctx.Err()
	}
}

// end kills the processes that still run.
func (c *testCase) end() {
	for _, v := range c.vms {
		v.mu.Lock()
		done := v.done
		v.mu.Unlock()
		if done == nil {
			continue
		}
		v.signal(syscall.SIGKILL)
		<-done
	}
}

// startStore starts the stand-in of the platform's store.
func (c *testCase) startStore() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	c.store, c.storeAddr = newStore(), l.Addr().String()
	go func() { _ = http.Serve(l, c.store) }()
	return nil
}

// startAll starts the store, workers and VMs, and waits until the VMs are ready.
func (c *testCase) startAll(workers, vms int, routes []route, work func(r *http.Request) time.Duration) error {
	if err := c.startStore(); err != nil {
		return err
	}
	c.store.writeConfig(1, routes)
	for i := range workers {
		w, err := newWorker(c, i, work)
		if err != nil {
			return err
		}
		c.workers = append(c.workers, w)
	}
	var err error
	if c.vms, err = newVMs(c, vms); err != nil {
		return err
	}
	for _, v := range c.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	for _, v := range c.vms {
		if err := v.awaitReady(c.ctx); err != nil {
			return err
		}
	}
	// Traffic starts 8 s after the machines do.
	time.Sleep(settleTime)
	return nil
}

// settleTime is how long the VMs run before there is traffic.
const settleTime = 5 * time.Second
