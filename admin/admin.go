// Package admin is the operators' API of one entry VM: publishing release notes,
// the state dump, metrics and readiness. It is served on an address of its own
// and never on the address for callers.
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

// maxBody, in bytes, is above the limit of note, which names the problem of a note
// that is too large.
const maxBody = 2 * note.MaxNoteBytes

// Options are the parts of the VM that operators reach.
type Options struct {
	Token string // Bearer token; empty asks for none.
	// Publish takes in a release note and returns the generation that holds it.
	Publish func(ctx context.Context, data []byte) (uint64, error)
	// Dump returns the state of the process; it is encoded as JSON.
	Dump func(ctx context.Context) (any, error)
	// Ready returns nil when the VM can serve callers.
	Ready func() error
	// WriteMetrics writes the metrics of this VM; nil writes those of the process.
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
	// The page at DocsPath would load scripts from outside; operators' networks
	// have no way out.
	config.DocsPath = ""
	// The hooks add a "$schema" link with a host name to each answer.
	config.CreateHooks = nil
	api := humago.New(mux, config)
	registerReleases(api, opts)
	registerState(api, opts)
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
		MaxBodyBytes: maxBody,
		// The note's own validation names every problem; huma's would hide it.
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

func state(name string) *stateOutput {
	out := &stateOutput{}
	out.Body.State = name
	return out
}

// Problem is the body of a refusal, problem details as in RFC 9457.
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

// NewProblem turns an error into the answer for an operator. Unlike callers,
// operators see the message of the cause.
func NewProblem(err error) error {
	kind := fault.KindOf(err)
	p := &Problem{Detail: err.Error()}
	if errors.As(err, &p.Problems) {
		kind = fault.Invalid
	}
	answer := kind.Response()
	p.Status = answer.Status()
	p.Title = answer.Text()
	p.Kind = kind.String()
	p.Ran = answer.Ran().Token()
	return p
}

// authenticate asks for the bearer token on every call but the two that load
// balancers and supervisors use.
func authenticate(token string, next http.Handler) http.Handler {
	if token == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		open := r.URL.Path == "/livez" || r.URL.Path == "/readyz"
		given := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !open && subtle.ConstantTimeCompare([]byte(given), []byte(token)) != 1 {
			fault.WriteResponse(w, fault.New(fault.Unauthorized, "wrong operator token"), "")
			return
		}
		next.ServeHTTP(w, r)
	})
}
