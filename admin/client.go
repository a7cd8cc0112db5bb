package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuredeal/azuredeal/fault"
)

const (
	clientTimeout = 30 * time.Second
	maxReply      = 64 << 20 // Bytes of a dump or a refusal.
)

// Client calls the operators' API of entry VMs.
type Client struct {
	bases []string
	token string
	http  *http.Client
}

// NewClient returns a client for VMs at the given base URLs, such as
// "http://10.0.0.1:9000"; they are tried in order.
func NewClient(token string, bases ...string) *Client {
	return &Client{bases: bases, token: token, http: &http.Client{Timeout: clientTimeout}}
}

// Publish sends a release note and returns the generation that holds it. It goes
// on to the next VM when one does not answer: a note that was accepted there is
// recognised by its id. The error is a *Problem when a VM refused the note.
func (c *Client) Publish(ctx context.Context, data []byte) (uint64, error) {
	var out struct {
		Generation uint64 `json:"generation"`
	}
	reply, err := c.try(ctx, http.MethodPost, "/v1/releases", data)
	if err != nil {
		return 0, err
	}
	err = json.Unmarshal(reply, &out)
	return out.Generation, errors.Wrap(err, "decode the answer")
}

// Dump returns the state of the first VM that answers, as JSON.
func (c *Client) Dump(ctx context.Context) ([]byte, error) {
	return c.try(ctx, http.MethodGet, "/v1/dump", nil)
}

func (c *Client) try(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	err := fault.New(fault.Invalid, "no VM to ask")
	for _, base := range c.bases {
		var reply []byte
		reply, err = c.call(ctx, method, base+path, body)
		var problem *Problem
		if err == nil || (errors.As(err, &problem) && problem.Kind != fault.PlatformDown.String()) {
			return reply, err
		}
	}
	return nil, err
}

func (c *Client) call(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close() //nolint:errcheck // The read below reports failures.
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, decodeProblem(resp.StatusCode, reply)
	}
	return reply, nil
}

func decodeProblem(status int, reply []byte) error {
	p := &Problem{}
	if err := json.Unmarshal(reply, p); err != nil || p.Kind == "" {
		return errors.Newf("status %d: %.200s", status, reply)
	}
	return p
}
