package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuredeal/azuredeal/fault"
)

const (
	clientTimeout    = 30 * time.Second
	maxResponseBytes = 64 << 20 // Of a state dump or an error response.
)

// Client calls the operators' API of entry VMs.
type Client struct {
	baseURLs []string
	token    string
	http     *http.Client
}

// NewClient returns a client for VMs at the given base URLs, such as
// "http://10.0.0.1:9000"; they are tried in order.
func NewClient(token string, baseURLs ...string) *Client {
	return &Client{baseURLs: baseURLs, token: token, http: &http.Client{Timeout: clientTimeout}}
}

// Publish sends a release note and returns the generation of the release that
// contains it. When a VM does not respond, it tries the next one, which is safe because a
// note that the first VM did accept is recognised by its id. The error is a *Problem if a
// VM refused the note.
func (c *Client) Publish(ctx context.Context, data []byte) (uint64, error) {
	var out struct {
		Generation uint64 `json:"generation"`
	}
	respBody, err := c.tryInOrder(ctx, http.MethodPost, "/v1/releases", data)
	if err != nil {
		return 0, err
	}
	err = json.Unmarshal(respBody, &out)
	return out.Generation, errors.Wrap(err, "decode the answer")
}

// Dump returns the state dump of the first VM that responds, as JSON.
func (c *Client) Dump(ctx context.Context) ([]byte, error) {
	return c.tryInOrder(ctx, http.MethodGet, "/v1/dump", nil)
}

// Free lets a request that may crash backend servers be sent again on all VMs, and reports
// whether anything was known against it. The error is a *Problem if the digest is malformed.
func (c *Client) Free(ctx context.Context, request string) (known bool, err error) {
	var out struct {
		Known bool `json:"known"`
	}
	respBody, err := c.tryInOrder(ctx, http.MethodDelete, "/v1/suspects/"+url.PathEscape(request), nil)
	if err != nil {
		return false, err
	}
	err = json.Unmarshal(respBody, &out)
	return out.Known, errors.Wrap(err, "decode the answer")
}

// tryInOrder sends a request to the VMs in order until one responds. A VM that cannot reach the
// platform (PlatformDown) counts as not responding.
func (c *Client) tryInOrder(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	err := fault.New(fault.Invalid, "no VM to ask")
	for _, baseURL := range c.baseURLs {
		var respBody []byte
		respBody, err = c.call(ctx, method, baseURL+path, body)
		var problem *Problem
		if err == nil || (errors.As(err, &problem) && problem.Kind != fault.PlatformDown.String()) {
			return respBody, err
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
	defer resp.Body.Close() //nolint:errcheck // ReadAll reports failures.
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, decodeProblem(resp.StatusCode, respBody)
	}
	return respBody, nil
}

// decodeProblem returns the *Problem in the body, or an error with the status if it has none.
func decodeProblem(status int, respBody []byte) error {
	p := &Problem{}
	if err := json.Unmarshal(respBody, p); err != nil || p.Kind == "" {
		return errors.Newf("status %d: %.200s", status, respBody)
	}
	return p
}
