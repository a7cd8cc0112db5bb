package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuredeal/azuredeal/fault"
)

const maxResponseBytes = 1 << 20

// response is what a caller received for one request.
type response struct {
	status   int
	ran      string // Azuredeal-Ran of a refusal.
	complete bool   // The whole body was received and belongs to the request.
	err      error
	took     time.Duration
}

// tally counts the requests of all callers by outcome.
type tally struct {
	mu         sync.Mutex
	requests   int
	repeats    int
	complete   int
	refused    int             // Error responses that say "not run".
	unknown    int             // Other error responses: the request may have run.
	failed     int             // No response.
	mismatched int             // Responses with status 200 that are incomplete or belong to another request.
	late       int             // Complete responses after the deadline.
	notRun     []string        // Keys for which every response said "not run".
	durations  []time.Duration // Of complete responses in time.
}

// caller sends the requests of a trace.
type caller struct {
	http  *http.Client
	addrs []string // Of the entry VMs, by index of the availability zone.
	tally *tally
}

// addresses gets the addresses of the entry VMs from the VM at addr, as callers do. Those
// in the availability zone come first.
func (c *caller) addresses(ctx context.Context, addr, zone string) ([]string, error) {
	var out struct {
		Addresses []struct {
			Addr string `json:"addr"`
		} `json:"addresses"`
	}
	if err := c.getJSON(ctx, http.MethodGet, "http://"+addr+"/azuredeal/v1/addresses?zone="+zone, &out); err != nil {
		return nil, err
	}
	var addrs []string
	for _, a := range out.Addresses {
		addrs = append(addrs, a.Addr)
	}
	return addrs, nil
}

// key gets an idempotency key from the VM at addr.
func (c *caller) key(ctx context.Context, addr string) (string, error) {
	var out struct {
		Keys []string `json:"keys"`
	}
	if err := c.getJSON(ctx, http.MethodPost, "http://"+addr+"/azuredeal/v1/keys", &out); err != nil {
		return "", err
	}
	if len(out.Keys) == 0 {
		return "", errors.New("no key")
	}
	return out.Keys[0], nil
}

func (c *caller) getJSON(ctx context.Context, method, url string, out any) error {
	r, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close() //nolint:errcheck // Only read from.
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s: status %d", url, resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out)
}

// run sends one request of the schedule and, if the arrival says so, repeats it with the
// same key at the VM of the next availability zone.
func (c *caller) run(ctx context.Context, a arrival, deadline time.Duration) {
	addr := c.addrs[a.zone]
	key := ""
	if a.flow.Method != http.MethodGet {
		var err error
		if key, err = c.key(ctx, addr); err != nil {
			c.tally.record(response{err: err}, deadline)
			return
		}
	}
	first := c.send(ctx, addr, a, key)
	c.tally.record(first, deadline)
	responses := []response{first}
	if a.repeat {
		other := c.addrs[(a.zone+1)%len(c.addrs)]
		responses = append(responses, c.send(ctx, other, a, key))
	}
	c.tally.recordNotRun(key, responses)
}

func (c *caller) send(ctx context.Context, addr string, a arrival, key string) response {
	path := fmt.Sprintf("%s%d", a.flow.Path, a.number)
	body := []byte(nil)
	if key != "" {
		body = []byte(path)
	}
	r, err := http.NewRequestWithContext(ctx, a.flow.Method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	start := time.Now()
	resp, err := c.http.Do(r)
	if err != nil {
		return response{err: err, took: time.Since(start)}
	}
	defer resp.Body.Close() //nolint:errcheck // Only read from.
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	out := response{status: resp.StatusCode, ran: resp.Header.Get(fault.HeaderRan), err: err, took: time.Since(start)}
	// The body of a worker is "name method path bytes id".
	fields := strings.Fields(string(data))
	out.complete = err == nil && resp.StatusCode == http.StatusOK && len(fields) == 5 && fields[2] == path
	return out
}

// record counts a request by its outcome.
func (t *tally) record(r response, deadline time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	switch {
	case r.complete && r.took <= deadline:
		t.complete++
		t.durations = append(t.durations, r.took)
	case r.complete:
		t.late++
	case r.status == http.StatusOK:
		t.mismatched++
	case r.err != nil:
		t.failed++
	case r.ran == fault.No.Token():
		t.refused++
	default:
		t.unknown++
	}
}

// recordNotRun records the key if every response said "not run", so that it can be compared
// with the runs that the workers counted.
func (t *tally) recordNotRun(key string, responses []response) {
	if key == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.repeats += len(responses) - 1
	for _, r := range responses {
		if r.ran != fault.No.Token() {
			return
		}
	}
	t.notRun = append(t.notRun, key)
}
