package strict

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/azuredeal/azuredeal/fault"
)

const (
	maxShown  = 10  // Problems that the text of an error spells out.
	valueRoom = 120 // Bytes of a value that a problem repeats.
)

// Problem is one reason why an input is refused.
type Problem struct {
	path    string
	value   string
	allowed string
}

// Path returns where the problem is, such as "added.routes[3].path".
func (p Problem) Path() string { return p.path }

// Value returns what the input has there, shortened when it is long.
func (p Problem) Value() string { return p.value }

// Allowed says what may be there.
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

// UnmarshalJSON implements json.Unmarshaler, for clients that show problems.
func (p *Problem) UnmarshalJSON(data []byte) error {
	var in problemJSON
	err := json.Unmarshal(data, &in)
	*p = Problem{in.Path, in.Value, in.Allowed}
	return err
}

// Problems lists every reason why an input is refused. As an error it is a fault
// of kind Invalid; an empty list is no error, see Err.
type Problems []Problem

// Err returns the problems as an error, or nil when there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Error implements error. It spells out the first ten problems.
func (p Problems) Error() string {
	lines := make([]string, 0, maxShown+1)
	for i, problem := range p {
		if i == maxShown {
			lines = append(lines, fmt.Sprintf("and %d more", len(p)-maxShown))
			break
		}
		lines = append(lines, problem.String())
	}
	return fmt.Sprintf("%d problems: %s", len(p), strings.Join(lines, "; "))
}

// Unwrap gives the problems their kind in an error chain.
func (p Problems) Unwrap() error { return fault.New(fault.Invalid, "%d problems", len(p)) }

// Add appends a problem; format and args make the text of what is allowed.
func (p *Problems) Add(path string, value any, format string, args ...any) {
	text := shorten(fmt.Sprint(value), valueRoom)
	*p = append(*p, Problem{path: path, value: text, allowed: fmt.Sprintf(format, args...)})
}

func shorten(text string, room int) string {
	if len(text) <= room {
		return text
	}
	return strings.ToValidUTF8(text[:room], "") + "..."
}
