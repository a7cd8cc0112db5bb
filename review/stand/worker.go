package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	slots     = 3
	queueSize = 12
	heartbeat = 1500 * time.Millisecond
)

// worker stands in for a backend server: it runs slots requests at once and queues a few, and
// answers the next request of a connection after the one before.
type worker struct {
	zone, addr string
	record     *recorder
	store      *store
	slots      chan struct{}
	waiting    atomic.Int64
	// work returns how long a request takes.
	work func(r *http.Request) time.Duration

	mu       sync.Mutex
	id       string
	born     int64
	listener net.Listener
	conns    []net.Conn
	down     bool // It has crashed and is not back yet.
	// before returns bytes that a faulty worker sends on a connection before it answers its
	// next request; nil for none.
	before func(served int) []byte
	ran    map[string]time.Time // When each request began to run, by id.
}

func newWorker(c *testCase, index int, work func(r *http.Request) time.Duration) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: fmt.Sprintf("i-%08x", 0x1000+index), zone: zoneName(index % 2), listener: l, addr: l.Addr().String(), record: c.record,
		store: c.store, born: time.Now().UnixMilli(), slots: make(chan struct{}, slots), work: work, ran: map[string]time.Time{},
	}
	go w.serve(l)
	go w.beat(c.ctx, c.store)
	return w, nil
}

// beat writes the entry of the worker in the store, once every heartbeat while it runs.
func (w *worker) beat(ctx context.Context, s *store) {
	for sequence := 1; ; sequence++ {
		if id, entry, running := w.entry(sequence); running {
			s.set("servers", id, entry)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

// entry returns the id of the worker and its entry, and whether the worker runs.
func (w *worker) entry(sequence int) (id string, entry map[string]any, running bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id, map[string]any{
		"address": w.addr, "born": w.born,
		"info":   map[string]any{"service": serviceName, "version": "v1", "zone": w.zone, "slots": slots},
		"status": map[string]any{"state": "ready", "sequence": sequence, "warmup-left": "0ms"},
	}, !w.down
}

// name returns the id of the worker.
func (w *worker) name() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

func (w *worker) setBefore(before func(served int) []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.before = before
}

func (w *worker) getBefore() func(served int) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.before
}

func (w *worker) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns = append(w.conns, conn)
		w.mu.Unlock()
		go w.serveConn(conn)
	}
}

func (w *worker) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for served := 0; ; served++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if before := w.getBefore(); before != nil {
			if extra := before(served); extra != nil {
				w.record.linef("%s sends %d additional bytes where the answer to %s is due", w.name(), len(extra), r.Header.Get(wire.ID))
				_, _ = conn.Write(extra)
			}
		}
		if _, err := io.WriteString(conn, w.answer(conn, r)); err != nil {
			return
		}
	}
}

// answer runs a request and returns the response.
func (w *worker) answer(conn net.Conn, r *http.Request) string {
	self, id := w.name(), r.Header.Get(wire.ID)
	switch {
	case r.URL.Path == "/health":
		return response("200 OK", wire.Instance+": "+self, "")
	case r.Header.Get(wire.Expect) != "" && r.Header.Get(wire.Expect) != self:
		return response("421 Misdirected Request", wire.Instance+": "+self, "")
	case id == "":
		return response("400 Bad Request", wire.NotRun+": 1", "")
	}
	if w.waiting.Add(1) > slots+queueSize {
		w.waiting.Add(-1)
		return response("503 Service Unavailable", wire.ID+": "+id+"\r\n"+wire.NotRun+": 1", "")
	}
	defer w.waiting.Add(-1)
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	w.mu.Lock()
	w.ran[id] = time.Now()
	w.mu.Unlock()
	work := w.work(r)
	if r.URL.Path == deadlyPath {
		w.record.linef("%s begins to run %s and crashes", self, id)
		w.crash()
		return ""
	}
	signed := wire.ID + ": " + id + "\r\n" + wire.Signature + ": " + signature(self, id)
	if left, err := strconv.Atoi(r.Header.Get(wire.Deadline)); err == nil && time.Duration(left)*time.Millisecond < work {
		time.Sleep(time.Duration(left) * time.Millisecond)
		return response("504 Gateway Timeout", signed, "")
	}
	time.Sleep(work)
	if strings.Contains(r.URL.Path, "/watched/") {
		w.record.linef("%s has run %s from %s to its end", self, id, conn.RemoteAddr())
	}
	return response("200 OK", signed, "done "+id)
}

func signature(worker, id string) string { return "sig." + worker + "." + id }

func response(status, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

// startedAt returns when a request began to run at one of the workers.
func startedAt(workers []*worker, id string) (time.Time, bool) {
	for _, w := range workers {
		w.mu.Lock()
		at, ok := w.ran[id]
		w.mu.Unlock()
		if ok {
			return at, true
		}
	}
	return time.Time{}, false
}
