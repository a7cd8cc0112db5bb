package fault

import (
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// Guards against a kind without a table entry, whose status 0 would panic in
// net/http, and against unintended changes of what the table tells callers about
// whether a request ran.
func TestResponseTable(t *testing.T) {
	var b strings.Builder
	for _, k := range Kinds() {
		resp := k.Response()
		fmt.Fprintf(&b, "%-15s %d ran=%-7s retry=%-5v %s\n", k, resp.Status(), resp.Ran().Token(), resp.Retryable(), resp.Text())
	}
	want, err := os.ReadFile("testdata/answers.golden")
	if err != nil {
		t.Fatal(err)
	}
	if got := b.String(); got != string(want) {
		t.Errorf("response table differs from testdata/answers.golden:\n%s", got)
	}
}

func TestKindOf(t *testing.T) {
	inner := New(Truncated, "body ended at %d bytes", 7)
	tests := []struct {
		name string
		err  error
		want Kind
	}{
		{"plain", errors.New("x"), Internal},
		{"fault", inner, Truncated},
		{"wrapped by a library", errors.Wrap(inner, "attempt"), Truncated},
		{"outermost kind", Wrap(Interrupted, inner, "attempt"), Interrupted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := KindOf(tt.err); got != tt.want {
				t.Errorf("KindOf = %v, want %v", got, tt.want)
			}
		})
	}
	if ParseKind("Truncated") != Truncated || ParseKind("none") != Internal {
		t.Error("ParseKind does not invert Kind.String")
	}
}

// Guards against error messages in the response body: messages of wrapped errors
// contain addresses that callers must not see.
func TestWriteResponseHidesCause(t *testing.T) {
	rec := httptest.NewRecorder()
	WriteResponse(rec, New(Interrupted, "read 10.0.0.7:80"), "id-1")
	if strings.Contains(rec.Body.String(), "10.0.0.7") {
		t.Errorf("response body contains the cause: %s", rec.Body)
	}
	if got := rec.Header().Get(HeaderRan); got != "unknown" {
		t.Errorf("%s = %q, want unknown", HeaderRan, got)
	}
}

func ExampleKind_Response() {
	resp := QueueFull.Response()
	fmt.Println(resp.Status(), resp.Ran().Token())
	// Output: 503 no
}

// Guards against an operations page whose table of error kinds differs from the code.
func TestOperationsPageListsEveryKind(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range Kinds() {
		row := fmt.Sprintf("| `%s` | %d | %s |", k, k.Response().Status(), k.Response().Ran().Token())
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/OPERATIONS.md is missing the row %s", row)
		}
	}
}
