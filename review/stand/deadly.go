package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	deadlyPath  = "/orders/deadly/1"
	crashTime   = 3 * time.Second // After which a worker is back.
	touchTime   = 3 * time.Second // stable-window.
	maxArrivals = 3
)

// crashes counts how often the deadly request has reached workers.
type crashes struct {
	mu       sync.Mutex
	arrivals []time.Time
}

func (d *crashes) add() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.arrivals = append(d.arrivals, time.Now())
}

func (d *crashes) since(t time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, at := range d.arrivals {
		if at.After(t) {
			n++
		}
	}
	return n
}

// runDeadly plays a request that crashes the workers that run it. After it has crashed the
// third one, all VMs are killed at once and started again. It checks BUDGET: the request reaches
// workers in no more than three retries after that.
func runDeadly(c *testCase) (bool, error) {
	routes := []route{{"orders", "/orders/", "unsafe", "2500ms", 1}}
	d := &crashes{}
	work := func(r *http.Request) time.Duration {
		if r.URL.Path == deadlyPath {
			d.add()
		}
		return 20 * time.Millisecond
	}
	if err := c.startAll(16, 2, routes, work); err != nil {
		return false, err
	}
	start := c.record.setOrigin()
	sendCopies(c, 2)
	time.Sleep(touchTime)
	first := d.since(start)
	c.record.linef("the request has crashed %d workers", first)
	if first < 3 {
		return false, fmt.Errorf("only %d workers crashed", first)
	}
	if c.trouble {
		for _, v := range c.vms {
			c.record.linef("%s is killed", v.name)
			v.signal(syscall.SIGKILL)
		}
		for _, v := range c.vms {
			<-v.done
		}
		time.Sleep(time.Second)
		for _, v := range c.vms {
			if err := v.start(); err != nil {
				return false, err
			}
		}
	}
	for _, v := range c.vms {
		if err := v.awaitReady(c.ctx); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * touchTime)
	again := time.Now()
	for range 3 {
		sendCopies(c, 2)
		time.Sleep(2 * time.Second)
	}
	n := d.since(again)
	c.record.linef("the request reached workers %d more times", n)
	return n > maxArrivals, nil
}

// sendCopies sends n copies of the deadly request to each VM at once.
func sendCopies(c *testCase, n int) {
	var wg sync.WaitGroup
	for _, v := range c.vms {
		for range n {
			wg.Go(func() {
				cl, err := dialClient(v.front)
				if err != nil {
					return
				}
				defer cl.close()
				id := newID()
				_ = cl.conn.SetDeadline(time.Now().Add(4 * time.Second))
				_, _ = io.WriteString(cl.conn, head(http.MethodPost, deadlyPath, id, orderTimeout, 4)+"same")
				c.record.linef("copy %s at %s: %v", id, v.name, cl.read(http.MethodPost, id, time.Now()))
			})
		}
	}
	wg.Wait()
}

// crash ends the worker without a word. It is back after some seconds at the same address, under
// a new id; the entry of the former one lapses.
func (w *worker) crash() {
	w.mu.Lock()
	conns, old := w.conns, w.id
	w.conns, w.down = nil, true
	_ = w.listener.Close()
	w.mu.Unlock()
	for _, conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // The connection is reset.
		}
		_ = conn.Close()
	}
	time.AfterFunc(3*heartbeat, func() { w.store.remove("servers", old) })
	time.AfterFunc(crashTime, func() {
		l, err := net.Listen("tcp", w.addr)
		if err != nil {
			w.record.linef("%s cannot listen again: %v", old, err)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.listener, w.born, w.down = l, time.Now().UnixMilli(), false
		w.id = strings.Replace(old, "i-", "i-9", 1)
		w.record.linef("%s is back as %s", old, w.id)
		go w.serve(l)
	})
}
