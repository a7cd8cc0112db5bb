package main

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	memoryLimit  = 648 << 20 // Of a process on the smallest machines.
	uploadBytes  = 10 << 20  // Of a large order; max-body-bytes is 64 MiB.
	uploadsPerVM = 8         // Large orders under way at once.
	uploadRounds = 7
	uploadPieces = 10
	piecePause   = 30 * time.Millisecond
	readers      = 12
	downTime     = 3500 * time.Millisecond // Of a VM that is killed.
	calmTime     = 4 * time.Second
)

// runMemory plays the loss of one of two VMs while clients send large orders, each within
// max-body-bytes: the clients of the lost VM turn to the other one. Beside them there are usual
// reads on kept connections to that one. The platform kills a process that exceeds its memory.
// It checks LOST: no more than three requests from kept connections may be passed on to a sound
// worker and end with their connection.
func runMemory(c *testCase) (bool, error) {
	routes := []route{{"reads", "/reads/", "safe", "2500ms", 2}, {"orders", "/orders/", "unsafe", "10s", 1}}
	work := func(*http.Request) time.Duration { return quickWork }
	if err := c.startAll(8, 2, routes, work); err != nil {
		return false, err
	}
	v, other := c.vms[0], c.vms[1]
	c.record.setOrigin()
	stop := make(chan struct{})
	var peak atomic.Int64
	for _, v := range c.vms {
		go limitMemory(c, v, stop, &peak)
	}
	var lost atomic.Int64
	var reading sync.WaitGroup
	for range readers {
		reading.Go(func() { readOn(c, v, stop, &lost) })
	}
	for round := range uploadRounds {
		c.record.linef("round %d: %d orders of %d MiB at once", round+1, len(c.vms)*uploadsPerVM, uploadBytes>>20)
		if c.trouble {
			c.record.linef("%s is killed", other.name)
			other.signal(syscall.SIGKILL)
			<-other.done
		}
		uploadAll(c)
		if !c.trouble {
			time.Sleep(calmTime)
			continue
		}
		time.Sleep(downTime)
		if err := other.start(); err != nil {
			return false, err
		}
		if err := other.awaitReady(c.ctx); err != nil {
			return false, err
		}
		time.Sleep(calmTime)
	}
	close(stop)
	reading.Wait()
	c.record.linef("memory at its peak: %d MiB of %d; requests lost from kept connections: %d", peak.Load()>>20, memoryLimit>>20, lost.Load())
	return lost.Load() > 3, nil
}

// uploadAll sends the same number of large orders to each VM at once.
func uploadAll(c *testCase) {
	var uploading sync.WaitGroup
	for i, v := range c.vms {
		others := c.vms[len(c.vms)-1-i]
		for range uploadsPerVM {
			uploading.Go(func() { upload(c, v, others) })
		}
	}
	uploading.Wait()
}

// limitMemory does what the platform does: it kills a process that exceeds its memory, and
// starts it again after a short delay.
func limitMemory(c *testCase, v *vm, stop <-chan struct{}, peak *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		used := v.rss()
		peak.Store(max(peak.Load(), used))
		if used <= memoryLimit {
			continue
		}
		c.record.linef("%s uses %d MiB of memory and is killed", v.name, used>>20)
		v.signal(syscall.SIGKILL)
		<-v.done
		time.Sleep(500 * time.Millisecond)
		if err := v.start(); err != nil {
			c.record.linef("restart: %v", err)
			return
		}
	}
}

// readOn sends one read after the other on kept connections.
func readOn(c *testCase, v *vm, stop <-chan struct{}, lost *atomic.Int64) {
	var cl *client
	used := false
	for {
		select {
		case <-stop:
			return
		default:
		}
		if cl == nil {
			var err error
			if cl, err = dialClient(v.front); err != nil {
				time.Sleep(200 * time.Millisecond)
				continue
			}
			used = false
		}
		a := cl.get("/reads/usual/1", readDeadline)
		if a.status != 0 {
			used = true
			continue
		}
		if _, ran := startedAt(c.workers, a.id); ran && used {
			c.record.linef("read %s on a kept connection was passed on to its worker: %v", a.id, a)
			lost.Add(1)
		}
		cl.close()
		cl = nil
	}
}

// upload sends one large order to a VM, or to another one when that cannot be reached.
func upload(c *testCase, v, other *vm) {
	const deadline = 10 * time.Second
	cl, err := dialClient(v.front)
	if err != nil {
		cl, err = dialClient(other.front)
	}
	if err != nil {
		c.record.linef("client: %v", err)
		return
	}
	defer cl.close()
	id := newID()
	_ = cl.conn.SetDeadline(time.Now().Add(deadline))
	if _, err := io.WriteString(cl.conn, head(http.MethodPost, "/orders/large/1", id, deadline, uploadBytes)); err != nil {
		return
	}
	piece := strings.Repeat("x", uploadBytes/uploadPieces)
	for range uploadPieces {
		time.Sleep(piecePause)
		if _, err := io.WriteString(cl.conn, piece); err != nil {
			c.record.linef("order %s: %v", id, err)
			return
		}
	}
	c.record.linef("order %s: %v", id, cl.read(http.MethodPost, id, time.Now()))
}
