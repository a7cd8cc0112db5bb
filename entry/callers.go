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

// Address is one address that callers can use.
type Address struct {
	Addr string `json:"addr" doc:"Address, ip:port."`
	Zone string `json:"zone" doc:"Availability zone of the VM."`
}

// callers holds what the address for callers serves beside the routes of the
// release.
type callers struct {
	addresses func(zone string) []Address
	issue     func(count int) []string
	ttl       time.Duration
	life      time.Duration // Of issued keys.
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

// handler returns the handler of the callers' address. Only the two calls below
// /azuredeal/v1/ are the system's own; no call of the operators' API is here.
func (c *callers) handler() http.Handler {
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
	return c.closeWhenLeaving(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Requests for services bypass the mux, which would redirect paths that it
		// holds to be unclean.
		if strings.HasPrefix(r.URL.Path, note.ReservedPathPrefix) {
			mux.ServeHTTP(w, r)
			return
		}
		c.proxy.ServeHTTP(w, r)
	}))
}

func (c *callers) getAddresses(_ context.Context, in *addressesInput) (*addressesOutput, error) {
	out := &addressesOutput{CacheControl: "no-store"}
	out.Body.Addresses = c.addresses(in.Zone)
	out.Body.TTL = c.ttl.String()
	return out, nil
}

func (c *callers) postKeys(_ context.Context, in *keysInput) (*keysOutput, error) {
	if c.leaving.Load() {
		// The owner of a key has to outlive it, and this VM is about to end.
		return nil, admin.NewProblem(fault.New(fault.Stopping, "no keys while leaving"))
	}
	out := &keysOutput{}
	out.Body.Keys = c.issue(in.Count)
	out.Body.Life = c.life.String()
	return out, nil
}

// closeWhenLeaving ends connections by agreement while the VM is leaving. A
// connection that the server closes on its own while idle can race with the next
// request of its caller, and that request would be lost.
func (c *callers) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
