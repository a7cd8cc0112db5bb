// Package strict decodes JSON settings and collects every problem in one pass.
// encoding/json alone accepts duplicate field names, names that differ in case and
// null, and stops at the first error; an operator who fixes a file needs the whole
// list.
package strict

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
)

const maxNameBytes = 64 // Longer field names are truncated in paths.

type decoder struct {
	dec         *json.Decoder
	root        string
	problems    Problems
	syntaxError bool // The rest of the input cannot be read as JSON.
}

var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

// Decode decodes one JSON object of at most maxBytes bytes into the struct that v
// points to and returns every problem. root is the path of problems of the whole
// input. Fields that are absent or invalid in the input keep their value.
func Decode(root string, data []byte, maxBytes int, v any) Problems {
	d := &decoder{dec: json.NewDecoder(bytes.NewReader(data)), root: root}
	if len(data) > maxBytes {
		d.problems.Add(root, fmt.Sprintf("%d bytes", len(data)), "at most %d bytes", maxBytes)
		return d.problems
	}
	d.dec.UseNumber()
	if token, ok := d.next(""); ok {
		d.value("", token, reflect.ValueOf(v).Elem())
	}
	if d.syntaxError {
		return d.problems
	}
	end := d.dec.InputOffset()
	if _, err := d.dec.Token(); !errors.Is(err, io.EOF) {
		d.problems.Add(root, fmt.Sprintf("data after byte %d", end), "one JSON object")
	}
	return d.problems
}

func (d *decoder) add(path string, value any, allowed string) {
	if path == "" {
		path = d.root
	}
	d.problems.Add(path, value, "%s", allowed)
}

// next reads a token. It returns false from the first syntax error on.
func (d *decoder) next(path string) (json.Token, bool) {
	if d.syntaxError {
		return nil, false
	}
	token, err := d.dec.Token()
	if err != nil {
		d.syntaxError = true
		d.add(path, fmt.Sprintf("%v at byte %d", err, d.dec.InputOffset()), "JSON")
		return nil, false
	}
	return token, true
}

// value decodes the value that begins with token into v.
func (d *decoder) value(path string, token json.Token, v reflect.Value) {
	_, nested := token.(json.Delim)
	switch {
	case token == nil:
		d.reject(path, token, describe(v.Type()))
	case hasUnmarshaler(v.Type()) && !nested:
		d.custom(path, token, v)
	case v.Kind() == reflect.Struct && token == json.Delim('{'):
		d.object(path, v)
	case v.Kind() == reflect.Slice && token == json.Delim('['):
		d.array(path, v)
	case nested || v.Kind() == reflect.Struct || v.Kind() == reflect.Slice:
		d.reject(path, token, describe(v.Type()))
	default:
		d.scalar(path, token, v)
	}
}

func hasUnmarshaler(t reflect.Type) bool { return reflect.PointerTo(t).Implements(unmarshaler) }

// describe returns the description of the JSON values that t accepts.
func describe(t reflect.Type) string {
	switch {
	case t.Name() == "Duration":
		return `a duration such as "1.5s"`
	case t.Kind() == reflect.Struct:
		return "an object"
	case t.Kind() == reflect.Slice:
		return "an array"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.String:
		return "a string"
	default:
		return "a number"
	}
}

// presetter is a type whose defaults have to be set before its fields are decoded.
type presetter interface{ Preset() }

func (d *decoder) object(path string, v reflect.Value) {
	if p, ok := v.Addr().Interface().(presetter); ok {
		p.Preset()
	}
	seenNames := map[string]bool{}
	for d.dec.More() {
		token, ok := d.next(path)
		if !ok {
			return
		}
		name, _ := token.(string)
		inner := join(path, name)
		if token, ok = d.next(inner); !ok {
			return
		}
		index, known := fieldIndex(v.Type(), name)
		switch {
		case !known:
			d.reject(inner, token, "one of the fields "+strings.Join(fieldNames(v.Type()), ", "))
		case seenNames[name]:
			d.reject(inner, token, "the field once")
		default:
			d.value(inner, token, v.Field(index))
		}
		seenNames[name] = true
	}
	d.next(path) // The closing brace.
}

func (d *decoder) array(path string, v reflect.Value) {
	out := reflect.MakeSlice(v.Type(), 0, 0)
	for i := 0; d.dec.More(); i++ {
		inner := path + "[" + strconv.Itoa(i) + "]"
		token, ok := d.next(inner)
		if !ok {
			return
		}
		out = reflect.Append(out, reflect.Zero(v.Type().Elem()))
		d.value(inner, token, out.Index(i))
	}
	v.Set(out)
	d.next(path) // The closing bracket.
}

// custom decodes a scalar with the UnmarshalJSON method of its type.
func (d *decoder) custom(path string, token json.Token, v reflect.Value) {
	text, err := json.Marshal(token)
	if err == nil {
		err = v.Addr().Interface().(json.Unmarshaler).UnmarshalJSON(text)
	}
	if err != nil {
		d.add(path, token, describe(v.Type()))
	}
}

func (d *decoder) scalar(path string, token json.Token, v reflect.Value) {
	switch t := token.(type) {
	case bool:
		if v.Kind() == reflect.Bool {
			v.SetBool(t)
			return
		}
	case string:
		if v.Kind() == reflect.String {
			v.SetString(t)
			return
		}
	case json.Number:
		if v.CanInt() || v.CanUint() || v.CanFloat() {
			d.number(path, t, v)
			return
		}
	}
	d.add(path, token, describe(v.Type()))
}

func (d *decoder) number(path string, n json.Number, v reflect.Value) {
	var err error
	allowed := "a whole number"
	switch {
	case v.CanFloat():
		var f float64
		if f, err = strconv.ParseFloat(n.String(), 64); err == nil {
			v.SetFloat(f)
		}
		allowed = "a number that fits 64 bits"
	case v.CanInt():
		var i int64
		if i, err = strconv.ParseInt(n.String(), 10, v.Type().Bits()); err == nil {
			v.SetInt(i)
		}
	default:
		var u uint64
		if u, err = strconv.ParseUint(n.String(), 10, v.Type().Bits()); err == nil {
			v.SetUint(u)
		}
		allowed = "a whole number from 0"
	}
	if err != nil {
		d.add(path, n, allowed)
	}
}

// reject adds a problem and skips the value that begins with token.
func (d *decoder) reject(path string, token json.Token, allowed string) {
	text := fmt.Sprint(token)
	if token == nil {
		text = "null"
	}
	d.add(path, text, allowed)
	depth := depthChange(token)
	for depth > 0 {
		inner, ok := d.next(path)
		if !ok {
			return
		}
		depth += depthChange(inner)
	}
}

// depthChange returns by how much token changes the nesting depth.
func depthChange(token json.Token) int {
	switch token {
	case json.Delim('{'), json.Delim('['):
		return 1
	case json.Delim('}'), json.Delim(']'):
		return -1
	}
	return 0
}

func join(path, name string) string {
	name = truncate(name, maxNameBytes)
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldIndex returns the index of the field with the given JSON name.
func fieldIndex(t reflect.Type, name string) (int, bool) {
	for i := range t.NumField() {
		if f := t.Field(i); isDecoded(f) && tagName(f) == name {
			return i, true
		}
	}
	return 0, false
}

func fieldNames(t reflect.Type) []string {
	out := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		if f := t.Field(i); isDecoded(f) {
			out = append(out, tagName(f))
		}
	}
	return out
}

// isDecoded reports whether a field is part of the JSON form of its struct.
func isDecoded(f reflect.StructField) bool { return f.Tag.Get("json") != "-" }

func tagName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

// Field describes one field of a settings struct, for documentation that lists the
// fields.
type Field struct {
	path string
	kind string
}

// Path returns the path of the field, with "[]" after the name of an array.
func (f Field) Path() string { return f.path }

// Kind returns the description of the JSON values that the field accepts.
func (f Field) Kind() string { return f.kind }

// Fields returns the fields of the struct v, depth first in order of declaration.
func Fields(v any) []Field {
	var out []Field
	appendFields(reflect.TypeOf(v), "", &out)
	return out
}

func appendFields(t reflect.Type, prefix string, out *[]Field) {
	for i := range t.NumField() {
		if !isDecoded(t.Field(i)) {
			continue
		}
		path, ft := prefix+tagName(t.Field(i)), t.Field(i).Type
		if ft.Kind() == reflect.Slice {
			path, ft = path+"[]", ft.Elem()
		}
		if ft.Kind() == reflect.Struct {
			appendFields(ft, path+".", out)
			continue
		}
		*out = append(*out, Field{path: path, kind: describe(ft)})
	}
}
