// Package admin is the operators' API of one entry VM: publishing release notes,
// the state dump, metrics and readiness. It is served on an address of its own,
// never on the address for callers.
package admin

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/strict"
)

// maxBodyBytes is above the limit of package note, so that a note that is too large gets
// the problem that note.Parse reports.
const maxBodyBytes = 2 * note.MaxNoteBytes

// Options holds the functions of the VM that the operators' API calls.
type Options struct {
	Token string // Bearer token; if empty, none is required.
	// Publish publishes a release note and returns the generation of the release that
	// contains it.
	Publish func(ctx context.Context, data []byte) (uint64, error)
	// Dump returns the state dump of the process, which is encoded as JSON.
	Dump func(ctx context.Context) (any, error)
	// Free lets a request that may crash backend servers be sent again. It reports whether
	// anything was known against it.
	Free func(request string) (bool, error)
	// Ready returns nil when the VM can serve callers.
	Ready func() error
	// WriteMetrics writes the metrics of this VM, before those of the process; it may be nil.
	WriteMetrics func(w http.ResponseWriter)
}

type publishInput struct {
	RawBody []byte `contentType:"application/json"`
}

type publishOutput struct {
	Body struct {
		Generation uint64 `json:"generation" doc:"Generation of the release that holds the note."`
	}
}

type dumpOutput struct {
	Body any
}

type stateOutput struct {
	Body struct {
		State string `json:"state"`
	}
}

// New returns the handler of the operators' address.
func New(opts Options) http.Handler {
	mux := http.NewServeMux()
	config := huma.DefaultConfig("azuredeal operators' API", "1")
	// The page at DocsPath loads scripts from the internet, which operators' networks do
	// not reach.
	config.DocsPath = ""
	// The default hooks add a "$schema" link with a host name to each response.
	config.CreateHooks = nil
	api := humago.New(mux, config)
	registerReleases(api, opts)
	registerState(api, opts)
	registerSuspects(api, opts)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		if opts.WriteMetrics != nil {
			opts.WriteMetrics(w)
		}
		metrics.WritePrometheus(w, true)
	})
	return authenticate(opts.Token, mux)
}

func registerReleases(api huma.API, opts Options) {
	huma.Register(api, huma.Operation{
		OperationID:  "publish",
		Method:       http.MethodPost,
		Path:         "/v1/releases",
		Summary:      "Publish a release note",
		MaxBodyBytes: maxBodyBytes,
		// Package note reports every problem of a note. The validation by huma would reject
		// the body before that.
		SkipValidateBody: true,
	}, func(ctx context.Context, in *publishInput) (*publishOutput, error) {
		generation, err := opts.Publish(ctx, in.RawBody)
		if err != nil {
			return nil, NewProblem(err)
		}
		out := &publishOutput{}
		out.Body.Generation = generation
		return out, nil
	})
}

func registerState(api huma.API, opts Options) {
	huma.Register(api, huma.Operation{
		OperationID: "dump",
		Method:      http.MethodGet,
		Path:        "/v1/dump",
		Summary:     "State of this process",
	}, func(ctx context.Context, _ *struct{}) (*dumpOutput, error) {
		state, err := opts.Dump(ctx)
		if err != nil {
			return nil, NewProblem(err)
		}
		return &dumpOutput{Body: state}, nil
	})
	huma.Register(api, huma.Operation{
		OperationID: "ready",
		Method:      http.MethodGet,
		Path:        "/readyz",
		Summary:     "Whether this VM can serve callers",
	}, func(context.Context, *struct{}) (*stateOutput, error) {
		if err := opts.Ready(); err != nil {
			return nil, NewProblem(err)
		}
		return state("ready"), nil
	})
	huma.Register(api, huma.Operation{
		OperationID: "live",
		Method:      http.MethodGet,
		Path:        "/livez",
		Summary:     "Whether the process answers",
	}, func(context.Context, *struct{}) (*stateOutput, error) { return state("live"), nil })
}

type freeInput struct {
	Request string `path:"request" doc:"Digest of the request, as in the dump and in log lines."`
}

type freeOutput struct {
	Body struct {
		Known bool `json:"known" doc:"Whether anything was known against the request."`
	}
}

func registerSuspects(api huma.API, opts Options) {
	huma.Register(api, huma.Operation{
		OperationID: "free",
		Method:      http.MethodDelete,
		Path:        "/v1/suspects/{request}",
		Summary:     "Send a request again that may crash backend servers",
	}, func(_ context.Context, in *freeInput) (*freeOutput, error) {
		known, err := opts.Free(in.Request)
		if err != nil {
			return nil, NewProblem(err)
		}
		out := &freeOutput{}
		out.Body.Known = known
		return out, nil
	})
}

func state(name string) *stateOutput {
	out := &stateOutput{}
	out.Body.State = name
	return out
}

// Problem is the body of an error response, in the form of problem details (RFC 9457).
type Problem struct {
	Status   int             `json:"status"`
	Title    string          `json:"title"`
	Kind     string          `json:"kind"`
	Ran      string          `json:"ran"`
	Detail   string          `json:"detail"`
	Problems strict.Problems `json:"problems,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string { return p.Kind + ": " + p.Detail }

// GetStatus implements huma.StatusError.
func (p *Problem) GetStatus() int { return p.Status }

// NewProblem returns the *Problem that an operator gets for err. Unlike callers, operators
// see the message of the cause.
func NewProblem(err error) error {
	kind := fault.KindOf(err)
	p := &Problem{Detail: err.Error()}
	if errors.As(err, &p.Problems) {
		kind = fault.Invalid
	}
	response := kind.Response()
	p.Status = response.Status()
	p.Title = response.Text()
	p.Kind = kind.String()
	p.Ran = response.Ran().Token()
	return p
}

// authenticate requires the bearer token on every path except /livez and /readyz, which load
// balancers and supervisors request without one. An empty token disables the check.
func authenticate(token string, next http.Handler) http.Handler {
	if token == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		public := r.URL.Path == "/livez" || r.URL.Path == "/readyz"
		bearer := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !public && subtle.ConstantTimeCompare([]byte(bearer), []byte(token)) != 1 {
			fault.WriteResponse(w, fault.New(fault.Unauthorized, "wrong operator token"), "")
			return
		}
		next.ServeHTTP(w, r)
	})
}
