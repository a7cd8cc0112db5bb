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

const maxReply = 1 << 20

// reply is what a caller got for one request.
type reply struct {
	status int
	ran    string // Azuredeal-Ran of a refusal.
	whole  bool   // The response is complete and belongs to the request.
	err    error
	took   time.Duration
}

// tally counts the outcomes of all requests.
type tally struct {
	mu       sync.Mutex
	requests int
	repeats  int
	whole    int
	refused  int // Told "not run".
	unknown  int // Told "unknown".
	failed   int // No response at all.
	foreign  int // A response with status 200 that is not the caller's own and whole.
	late     int
	notRun   []string // Keys whose every answer said "not run".
	seconds  []time.Duration
}

// caller sends the requests of a trace.
type caller struct {
	http  *http.Client
	addrs []string // Of the entry VMs, by zone.
	tally *tally
}

// addresses asks one VM for the addresses to use, as callers do.
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

// key asks the VM at addr for an idempotency key.
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
	return json.NewDecoder(io.LimitReader(resp.Body, maxReply)).Decode(out)
}

// run sends one request of the schedule and, where the trace says so, repeats it
// with the same key at the VM of the next zone.
func (c *caller) run(ctx context.Context, a arrival, deadline time.Duration) {
	addr := c.addrs[a.zone]
	key := ""
	if a.flow.Method != http.MethodGet {
		var err error
		if key, err = c.key(ctx, addr); err != nil {
			c.tally.add(reply{err: err}, deadline)
			return
		}
	}
	first := c.send(ctx, addr, a, key)
	c.tally.add(first, deadline)
	replies := []reply{first}
	if a.repeat {
		other := c.addrs[(a.zone+1)%len(c.addrs)]
		replies = append(replies, c.send(ctx, other, a, key))
	}
	c.tally.settle(key, replies)
}

func (c *caller) send(ctx context.Context, addr string, a arrival, key string) reply {
	path := fmt.Sprintf("%s%d", a.flow.Path, a.number)
	body := []byte(nil)
	if key != "" {
		body = []byte(path)
	}
	r, err := http.NewRequestWithContext(ctx, a.flow.Method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	begin := time.Now()
	resp, err := c.http.Do(r)
	if err != nil {
		return reply{err: err, took: time.Since(begin)}
	}
	defer resp.Body.Close() //nolint:errcheck // Only read from.
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	out := reply{status: resp.StatusCode, ran: resp.Header.Get(fault.HeaderRan), err: err, took: time.Since(begin)}
	// A worker answers "name method path bytes id".
	words := strings.Fields(string(data))
	out.whole = err == nil && resp.StatusCode == http.StatusOK && len(words) == 5 && words[2] == path
	return out
}

func (t *tally) add(r reply, deadline time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	switch {
	case r.whole && r.took <= deadline:
		t.whole++
		t.seconds = append(t.seconds, r.took)
	case r.whole:
		t.late++
	case r.status == http.StatusOK:
		t.foreign++
	case r.err != nil:
		t.failed++
	case r.ran == fault.No.Token():
		t.refused++
	default:
		t.unknown++
	}
}

// settle records a key when the caller was told "not run" each time, so that the
// workers' own counts can be compared with it.
func (t *tally) settle(key string, replies []reply) {
	if key == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.repeats += len(replies) - 1
	for _, r := range replies {
		if r.ran != fault.No.Token() {
			return
		}
	}
	t.notRun = append(t.notRun, key)
}
