package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times of the case, in which a VM is stopped. The VM gets SIGTERM at 0 and would be killed at
// 6 s (grace).
const (
	grace        = 6 * time.Second
	quickWork    = 200 * time.Millisecond
	orderWork    = 1200 * time.Millisecond // Longest work of an order of the site.
	longRead     = 2200 * time.Millisecond // Within the longest work of a read of the site, 3 s.
	readDeadline = 5 * time.Second         // Of facing-history.
	orderTimeout = 2500 * time.Millisecond // Deadline of plan-approve.
	sixth        = 3 * time.Second         // Requests that were sent up to here may be cut in the last sixth of grace.
)

func sigtermWork(r *http.Request) time.Duration {
	switch {
	case strings.Contains(r.URL.Path, "/long"):
		return longRead
	case strings.Contains(r.URL.Path, "/order"):
		return orderWork
	}
	return quickWork
}

// runSigterm plays a planned stop of one VM while clients read and order. It checks LOST for
// requests that the VM has read and passed on.
func runSigterm(c *testCase) (bool, error) {
	routes := []route{{"reads", "/reads/", "safe", "2500ms", 2}, {"orders", "/orders/", "unsafe", "2500ms", 1}}
	if err := c.startAll(6, 2, routes, sigtermWork); err != nil {
		return false, err
	}
	v := c.vms[0]
	if err := warmUp(v); err != nil {
		return false, err
	}
	start := c.record.setOrigin()
	if c.trouble {
		c.record.linef("SIGTERM to %s", v.name)
		v.signal(syscall.SIGTERM)
	}
	var mu sync.Mutex
	var answers []answer
	add := func(list ...answer) {
		mu.Lock()
		defer mu.Unlock()
		answers = append(answers, list...)
	}
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() { add(pipeline(c, v, start, 3200*time.Millisecond+time.Duration(i)*100*time.Millisecond)...) })
		wg.Go(func() { add(slowOrder(c, v, start.Add(2800*time.Millisecond+time.Duration(i)*50*time.Millisecond))...) })
	}
	if c.trouble {
		time.AfterFunc(time.Until(start.Add(grace)), func() { v.signal(syscall.SIGKILL) })
	}
	wg.Wait()
	return judgeLost(c, start, answers), nil
}

// warmUp sends reads of the usual length, so that the VM knows it.
func warmUp(v *vm) error {
	cl, err := dialClient(v.front)
	if err != nil {
		return err
	}
	defer cl.close()
	for range 20 {
		if a := cl.get("/reads/usual/1", readDeadline); a.status != http.StatusOK {
			return fmt.Errorf("warm-up: %v", a)
		}
	}
	return nil
}

// pipeline is a client that sends further reads on its connection before the first has been
// answered. One of them, sent at longAt, takes longer than usual. The client stops after that.
func pipeline(c *testCase, v *vm, start time.Time, longAt time.Duration) []answer {
	const interval = 60 * time.Millisecond
	cl, err := dialClient(v.front)
	if err != nil {
		c.record.linef("client: %v", err)
		return nil
	}
	defer cl.close()
	_ = cl.conn.SetDeadline(start.Add(12 * time.Second))
	type sent struct {
		id, path string
		at       time.Time
	}
	queue := make(chan sent, 200)
	go func() {
		defer close(queue)
		for isLong := false; !isLong; time.Sleep(interval) {
			isLong = time.Since(start) >= longAt
			s := sent{id: newID(), path: "/reads/usual/1"}
			if isLong {
				s.path = "/reads/watched/long"
			}
			if _, err := io.WriteString(cl.conn, head(http.MethodGet, s.path, s.id, readDeadline, 0)); err != nil {
				return
			}
			s.at = time.Now()
			if isLong {
				c.record.linef("read %s sent on a kept connection, behind others that are not answered yet", s.id)
			}
			queue <- s
		}
	}()
	var out []answer
	for s := range queue {
		a := cl.read(http.MethodGet, s.id, s.at)
		if strings.Contains(s.path, "watched") || a.status != http.StatusOK {
			c.record.linef("read %s: %v", s.id, a)
		}
		out = append(out, a)
		if a.status == 0 {
			break
		}
	}
	return out
}

// slowOrder is a client on a slow line: its order of 24,000 bytes takes 1.1 s to send.
func slowOrder(c *testCase, v *vm, at time.Time) []answer {
	const (
		pieces     = 11
		pieceBytes = 24000 / pieces
		pause      = 100 * time.Millisecond
	)
	time.Sleep(time.Until(at))
	cl, err := dialClient(v.front)
	if err != nil {
		c.record.linef("client: %v", err)
		return nil
	}
	defer cl.close()
	id := newID()
	_ = cl.conn.SetDeadline(at.Add(8 * time.Second))
	c.record.linef("order %s begins to be sent", id)
	if _, err := io.WriteString(cl.conn, head(http.MethodPost, "/orders/watched/order", id, orderTimeout, pieces*pieceBytes)); err != nil {
		return nil
	}
	for range pieces {
		time.Sleep(pause)
		if _, err := io.WriteString(cl.conn, strings.Repeat("x", pieceBytes)); err != nil {
			return nil
		}
	}
	sent := time.Now()
	c.record.linef("order %s sent", id)
	a := cl.read(http.MethodPost, id, sent)
	c.record.linef("order %s: %v", id, a)
	return []answer{a}
}

// judgeLost counts requests that a worker had begun to run and whose client got no answer of
// the worker, though neither its deadline nor the route's timeout was near. Those that were sent
// up to 3 s after the SIGTERM and still ran in the last sixth of grace are excused.
func judgeLost(c *testCase, start time.Time, answers []answer) bool {
	lost := 0
	for _, a := range answers {
		began, ran := startedAt(c.workers, a.id)
		sent, held := a.sent.Sub(start), a.at.Sub(a.sent)
		excused := sent <= sixth && a.at.Sub(start) >= grace-grace/6
		if !ran || a.signature != "" || excused || held >= 2400*time.Millisecond {
			continue
		}
		lost++
		c.record.linef("LOST: %s sent at %.3f s, its worker began at %.3f s, ended at %.3f s: %v",
			a.id, sent.Seconds(), began.Sub(start).Seconds(), a.at.Sub(start).Seconds(), a)
	}
	c.record.linef("%d requests, %d lost", len(answers), lost)
	return lost > 0
}
