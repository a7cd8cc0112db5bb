package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	strayWorkers = 3    // Of five, as with a share of 0.6.
	strayShare   = 0.03 // Of the answers of these.
	strayTime    = 20 * time.Second
	strayClients = 6
)

// runStray plays workers that send additional bytes after a complete answer: late, where the
// next answer on the connection is due. It checks MIXED: a success bears the signature of the
// worker that ran the request, and its whole body.
func runStray(c *testCase) (bool, error) {
	routes := []route{{"reads", "/reads/", "safe", "2500ms", 2}}
	work := func(*http.Request) time.Duration { return 20 * time.Millisecond }
	if err := c.startAll(5, 2, routes, work); err != nil {
		return false, err
	}
	c.record.setOrigin()
	if c.trouble {
		for _, w := range c.workers[:strayWorkers] {
			w.setBefore(func(served int) []byte {
				if served == 0 || rand.Float64() >= strayShare {
					return nil
				}
				return []byte("HTTP/1.1 200 OK\r\n" + wire.Instance + ": " + w.name() + "\r\nContent-Length: 0\r\n\r\n")
			})
		}
	}
	var count, broken atomic.Int64
	var wg sync.WaitGroup
	for i := range strayClients {
		wg.Go(func() {
			for begin := time.Now(); time.Since(begin) < strayTime; {
				n, b := readSome(c, c.vms[i%len(c.vms)])
				count.Add(int64(n))
				broken.Add(int64(b))
			}
		})
	}
	wg.Wait()
	c.record.linef("%d reads, %d successes that no worker had signed", count.Load(), broken.Load())
	return broken.Load() > 0, nil
}

// readSome reads on one connection until it ends, or a while.
func readSome(c *testCase, v *vm) (count, broken int) {
	cl, err := dialClient(v.front)
	if err != nil {
		return 0, 0
	}
	defer cl.close()
	for range 50 {
		a := cl.get("/reads/usual/1", readDeadline)
		count++
		if a.status == http.StatusOK && (a.signature == "" || a.body != "done "+a.id) {
			broken++
			c.record.linef("MIXED: read %s: %v", a.id, a)
		}
		if a.status == 0 {
			break
		}
	}
	return count, broken
}
