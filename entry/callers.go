package entry

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"github.com/azuredeal/azuredeal/admin"
	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/note"
)

// Address is the address of a VM that callers can use.
type Address struct {
	Addr string `json:"addr" doc:"Address, ip:port."`
	Zone string `json:"zone" doc:"Availability zone of the VM."`
}

// callerAPI serves the callers' API, under note.ReservedPathPrefix, and passes all other
// requests to the proxy.
type callerAPI struct {
	addresses func(zone string) []Address
	issueKeys func(count int) []string
	ttl       time.Duration // How long callers may cache the addresses.
	keyTTL    time.Duration // How long an issued idempotency key is valid.
	leaving   atomic.Bool
	proxy     http.Handler
}

type addressesInput struct {
	Zone string `query:"zone" maxLength:"63" doc:"Availability zone of the caller; its addresses come first."`
}

type addressesOutput struct {
	CacheControl string `header:"Cache-Control"`
	Body         struct {
		Addresses []Address `json:"addresses" doc:"Nearest first; VMs that are leaving are left out."`
		TTL       string    `json:"ttl" doc:"How long the list may be kept."`
	}
}

type keysInput struct {
	Count int `query:"count" default:"1" minimum:"1" maximum:"100" doc:"How many keys."`
}

type keysOutput struct {
	Body struct {
		Keys []string `json:"keys" doc:"Values for Idempotency-Key, one for each request."`
		Life string   `json:"life" doc:"How long a key can be used."`
	}
}

// handler returns the handler of the callers' listener. Apart from the OpenAPI document,
// only the two operations below /azuredeal/v1/ are the fleet's own; the operators' API
// isn't reachable here.
func (c *callerAPI) handler() http.Handler {
	mux := http.NewServeMux()
	config := huma.DefaultConfig("azuredeal callers' API", "1")
	config.OpenAPIPath = "/azuredeal/v1/openapi"
	config.DocsPath = ""
	config.SchemasPath = ""
	config.CreateHooks = nil
	api := humago.New(mux, config)
	huma.Register(api, huma.Operation{
		OperationID: "addresses",
		Method:      http.MethodGet,
		Path:        "/azuredeal/v1/addresses",
		Summary:     "Addresses to use, nearest availability zone first",
	}, c.getAddresses)
	huma.Register(api, huma.Operation{
		OperationID: "keys",
		Method:      http.MethodPost,
		Path:        "/azuredeal/v1/keys",
		Summary:     "Issue idempotency keys that work while the platform is down",
	}, c.postKeys)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Requests for services bypass the mux, which redirects paths that aren't in
		// canonical form.
		if strings.HasPrefix(r.URL.Path, note.ReservedPathPrefix) {
			mux.ServeHTTP(w, r)
			return
		}
		c.proxy.ServeHTTP(w, r)
	})
}

func (c *callerAPI) getAddresses(_ context.Context, in *addressesInput) (*addressesOutput, error) {
	out := &addressesOutput{CacheControl: "no-store"}
	out.Body.Addresses = c.addresses(in.Zone)
	out.Body.TTL = c.ttl.String()
	return out, nil
}

func (c *callerAPI) postKeys(_ context.Context, in *keysInput) (*keysOutput, error) {
	if c.leaving.Load() {
		// The VM that issued a key owns it and has to be up as long as the key is valid.
		return nil, admin.NewProblem(fault.New(fault.Stopping, "no keys while leaving"))
	}
	out := &keysOutput{}
	out.Body.Keys = c.issueKeys(in.Count)
	out.Body.Life = c.keyTTL.String()
	return out, nil
}

// closeWhenLeaving adds "Connection: close" to responses while the VM is leaving. When
// the server closes an idle connection without announcing it, the caller may be sending
// its next request, which would then be lost. Package caller does the same by itself.
func (c *callerAPI) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
