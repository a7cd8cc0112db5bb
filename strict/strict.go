// Package strict decodes JSON settings and collects every problem in one pass.
// encoding/json stops at the first error, and an operator who fixes a file wants
// the whole list.
package strict

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// Problem is one thing that is wrong with an input.
type Problem struct {
	path    string
	value   string
	allowed string
}

// Path returns where the problem is, such as "services[2].floor".
func (p Problem) Path() string { return p.path }

// Value returns the offending value as it stands in the input.
func (p Problem) Value() string { return p.value }

// Allowed returns what is allowed at that place.
func (p Problem) Allowed() string { return p.allowed }

// String returns the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: allowed: %s", p.path, p.value, p.allowed)
}

// MarshalJSON implements json.Marshaler.
func (p Problem) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]string{"path": p.path, "value": p.value, "allowed": p.allowed})
}

// Problems lists all that is wrong with an input.
type Problems []Problem

// Add appends a problem. The value is shortened when it is long.
func (ps *Problems) Add(path string, value any, allowed string) {
	*ps = append(*ps, Problem{path: path, value: shorten(fmt.Sprint(value)), allowed: allowed})
}

// Error implements error, one problem a line.
func (ps Problems) Error() string {
	return strings.Join(lo.Map(ps, func(p Problem, _ int) string { return p.String() }), "\n")
}

// Err returns the problems as an error, or nil when there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

const maxShown = 60 // Bytes of a value in a message.

func shorten(s string) string {
	if len(s) <= maxShown {
		return s
	}
	return s[:maxShown] + "..."
}

// Decode reads one JSON value into the struct that v points to. It refuses
// unknown and repeated fields and trailing data, and goes on after a problem.
// Where a field has a problem, v keeps its former value.
func Decode(data []byte, v any) Problems {
	var ps Problems
	if !json.Valid(data) {
		ps.Add("$", describeSyntax(data), "one JSON value")
		return ps
	}
	decodeValue(&ps, "$", data, reflect.ValueOf(v).Elem())
	return ps
}

func describeSyntax(data []byte) string {
	var raw json.RawMessage
	err := json.Unmarshal(data, &raw)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return fmt.Sprintf("%v at byte %d", err, syntax.Offset)
	}
	return "invalid JSON"
}

var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

func decodeValue(ps *Problems, path string, data []byte, v reflect.Value) {
	switch {
	case v.Addr().Type().Implements(unmarshaler):
		decodePlain(ps, path, data, v)
	case v.Kind() == reflect.Struct:
		decodeStruct(ps, path, data, v)
	case v.Kind() == reflect.Slice:
		decodeSlice(ps, path, data, v)
	default:
		decodePlain(ps, path, data, v)
	}
}

func decodePlain(ps *Problems, path string, data []byte, v reflect.Value) {
	fresh := reflect.New(v.Type())
	if err := json.Unmarshal(data, fresh.Interface()); err != nil {
		ps.Add(path, string(data), describe(v.Type()))
		return
	}
	v.Set(fresh.Elem())
}

func describe(t reflect.Type) string {
	switch {
	case t.Name() == "Duration":
		return `a duration such as "1.5s"`
	case t.Kind() == reflect.String:
		return "a string"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

func decodeSlice(ps *Problems, path string, data []byte, v reflect.Value) {
	var items []json.RawMessage
	if err := json.Unmarshal(data, &items); err != nil {
		ps.Add(path, string(data), "a list")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(items), len(items))
	for i, item := range items {
		decodeValue(ps, fmt.Sprintf("%s[%d]", path, i), item, out.Index(i))
	}
	v.Set(out)
}

func decodeStruct(ps *Problems, path string, data []byte, v reflect.Value) {
	if trimmed := bytes.TrimSpace(data); trimmed[0] != '{' {
		ps.Add(path, string(data), "an object")
		return
	}
	fields := fieldsOf(v.Type())
	seen := map[string]bool{}
	dec := json.NewDecoder(bytes.NewReader(data))
	_, _ = dec.Token()
	for dec.More() {
		name, raw, err := member(dec)
		if err != nil {
			ps.Add(path, err, "an object")
			return
		}
		at := join(path, name)
		index, known := fields[name]
		switch {
		case !known:
			ps.Add(at, "unknown field", "one of "+strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
		case seen[name]:
			ps.Add(at, "repeated field", "each field once")
		default:
			decodeValue(ps, at, raw, v.Field(index))
		}
		seen[name] = true
	}
}

func member(dec *json.Decoder) (string, json.RawMessage, error) {
	token, err := dec.Token()
	if err != nil {
		return "", nil, err
	}
	name, ok := token.(string)
	if !ok {
		return "", nil, io.ErrUnexpectedEOF
	}
	var raw json.RawMessage
	err = dec.Decode(&raw)
	return name, raw, err
}

func join(path, name string) string {
	if path == "$" {
		return name
	}
	return path + "." + name
}

// fieldsOf maps the JSON names of a struct to the indexes of its fields.
func fieldsOf(t reflect.Type) map[string]int {
	out := map[string]int{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			out[name] = i
		}
	}
	return out
}

// Field describes one field of a format, for generated pages.
type Field struct {
	path string
	kind string
}

// Path returns the path of the field, with "[]" after a list.
func (f Field) Path() string { return f.path }

// Kind returns what the field holds.
func (f Field) Kind() string { return f.kind }

// Fields lists the fields of the struct type of v, depth first, in order of
// declaration.
func Fields(v any) []Field {
	var out []Field
	walk(reflect.TypeOf(v), "", &out)
	return out
}

func walk(t reflect.Type, prefix string, out *[]Field) {
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		path, ft := prefix+name, t.Field(i).Type
		if ft.Kind() == reflect.Pointer {
			ft = ft.Elem()
		}
		if ft.Kind() == reflect.Slice {
			path, ft = path+"[]", ft.Elem()
		}
		if ft.Kind() == reflect.Struct && !reflect.PointerTo(ft).Implements(unmarshaler) {
			walk(ft, path+".", out)
			continue
		}
		*out = append(*out, Field{path: path, kind: describe(ft)})
	}
}

// OneOf returns the text of an allowed list of words, and whether value is one.
func OneOf(value string, words ...string) (string, bool) {
	quoted := lo.Map(words, func(w string, _ int) string { return strconv.Quote(w) })
	return strings.Join(quoted, ", "), slices.Contains(words, value)
}
