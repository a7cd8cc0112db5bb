package strict

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/azuredeal/azuredeal/fault"
)

const (
	maxListedProblems = 10  // Problems that an error message lists.
	maxValueBytes     = 120 // Longer values are truncated in a problem.
)

// Problem is one reason why an input is invalid.
type Problem struct {
	path    string
	value   string
	allowed string
}

// Path returns the path of the invalid value, such as "added.routes[3].path".
func (p Problem) Path() string { return p.path }

// Value returns the invalid value, truncated if it is long.
func (p Problem) Value() string { return p.value }

// Allowed returns a description of the allowed values.
func (p Problem) Allowed() string { return p.allowed }

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %q is not allowed; allowed: %s", p.path, p.value, p.allowed)
}

type problemJSON struct {
	Path    string `json:"path"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// MarshalJSON implements json.Marshaler.
func (p Problem) MarshalJSON() ([]byte, error) {
	return json.Marshal(problemJSON{p.path, p.value, p.allowed})
}

// UnmarshalJSON implements json.Unmarshaler, for clients that print problems.
func (p *Problem) UnmarshalJSON(data []byte) error {
	var in problemJSON
	err := json.Unmarshal(data, &in)
	*p = Problem{in.Path, in.Value, in.Allowed}
	return err
}

// Problems lists every reason why an input is invalid. As an error it has the kind
// fault.Invalid. Use Err to get a nil error for an empty list.
type Problems []Problem

// Err returns the problems as an error, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Error implements error. It lists the first ten problems.
func (p Problems) Error() string {
	lines := make([]string, 0, maxListedProblems+1)
	for i, problem := range p {
		if i == maxListedProblems {
			lines = append(lines, fmt.Sprintf("and %d more", len(p)-maxListedProblems))
			break
		}
		lines = append(lines, problem.String())
	}
	return fmt.Sprintf("%d problems: %s", len(p), strings.Join(lines, "; "))
}

// Unwrap returns an error of kind fault.Invalid.
func (p Problems) Unwrap() error { return fault.New(fault.Invalid, "%d problems", len(p)) }

// Add appends a problem. format and args describe the allowed values.
func (p *Problems) Add(path string, value any, format string, args ...any) {
	text := truncate(fmt.Sprint(value), maxValueBytes)
	*p = append(*p, Problem{path: path, value: text, allowed: fmt.Sprintf(format, args...)})
}

func truncate(text string, maxBytes int) string {
	if len(text) <= maxBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxBytes], "") + "..."
}
