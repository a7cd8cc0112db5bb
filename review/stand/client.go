package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// newID returns an attempt id that no other request has.
func newID() string { return fmt.Sprintf("%016x", 0x9c41d07b00000000+lastID.Add(1)) }

// answer is what a client got for a request.
type answer struct {
	id        string
	sent      time.Time // When its last byte was sent.
	at        time.Time // When the answer was complete, or the connection ended.
	status    int       // 0 when the connection ended without a complete answer.
	signature string
	body      string
	err       error
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer, connection ended: %v", a.err)
	}
	return fmt.Sprintf("status %d, signature %q, %d bytes", a.status, a.signature, len(a.body))
}

// client is one connection of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialClient(addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// head returns the head of a request.
func head(method, path, id string, deadline time.Duration, length int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
		method, path, hostName, wire.ID, id, wire.Deadline, deadline.Milliseconds(), length)
}

// read reads the answer to a request that was sent.
func (c *client) read(method, id string, sent time.Time) answer {
	a := answer{id: id, sent: sent}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.body = string(body)
	}
	a.at, a.err = time.Now(), err
	if err == nil {
		a.status, a.signature = resp.StatusCode, resp.Header.Get(wire.Signature)
	}
	return a
}

// get sends a safe request and reads its answer.
func (c *client) get(path string, deadline time.Duration) answer {
	id := newID()
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	if _, err := io.WriteString(c.conn, head(http.MethodGet, path, id, deadline, 0)); err != nil {
		return answer{id: id, sent: time.Now(), at: time.Now(), err: err}
	}
	return c.read(http.MethodGet, id, time.Now())
}
