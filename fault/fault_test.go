package fault

import (
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// A kind without a row would be answered with status 0 and panic in net/http,
// and a changed row changes what callers are told about whether a request ran.
func TestAnswers(t *testing.T) {
	var b strings.Builder
	for _, k := range Kinds() {
		a := k.Response()
		fmt.Fprintf(&b, "%-15s %d ran=%-7s retry=%-5v %s\n", k, a.Status(), a.Ran().Token(), a.Retryable(), a.Text())
	}
	want, err := os.ReadFile("testdata/answers.golden")
	if err != nil {
		t.Fatal(err)
	}
	if got := b.String(); got != string(want) {
		t.Errorf("table differs from testdata/answers.golden:\n%s", got)
	}
}

func TestOf(t *testing.T) {
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
				t.Errorf("Of = %v, want %v", got, tt.want)
			}
		})
	}
	if ParseKind("Truncated") != Truncated || ParseKind("none") != Internal {
		t.Error("Parse does not invert String")
	}
}

// Messages of wrapped errors hold addresses that callers must not see.
func TestWriteHidesCause(t *testing.T) {
	rec := httptest.NewRecorder()
	WriteResponse(rec, New(Interrupted, "read 10.0.0.7:80"), "id-1")
	if strings.Contains(rec.Body.String(), "10.0.0.7") {
		t.Errorf("answer shows the cause: %s", rec.Body)
	}
	if got := rec.Header().Get(HeaderRan); got != "unknown" {
		t.Errorf("%s = %q, want unknown", HeaderRan, got)
	}
}

func ExampleKind_Response() {
	a := QueueFull.Response()
	fmt.Println(a.Status(), a.Ran().Token())
	// Output: 503 no
}

// The page for the person on call and the code must give the same answers.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range Kinds() {
		row := fmt.Sprintf("| `%s` | %d | %s |", k, k.Response().Status(), k.Response().Ran().Token())
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/OPERATIONS.md lacks the row %s", row)
		}
	}
}
