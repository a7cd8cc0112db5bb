package note

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// shape checks the form of a JSON document against a Go type. encoding/json
// alone accepts repeated field names, names in another case and null, and stops
// at the first error.
type shape struct {
	dec      *json.Decoder
	problems Problems
	broken   bool // The rest is not JSON.
}

var durationType = reflect.TypeFor[Duration]()

// checkShape returns what is wrong with the form of a note.
func checkShape(data []byte) Problems {
	s := &shape{dec: json.NewDecoder(bytes.NewReader(data))}
	if len(data) > MaxNote {
		s.problems.add("note", fmt.Sprintf("%d bytes", len(data)), "at most %d bytes", MaxNote)
		return s.problems
	}
	s.dec.UseNumber()
	if token, ok := s.next("note"); ok {
		s.value("", token, reflect.TypeFor[Note]())
	}
	if s.broken {
		return s.problems
	}
	end := s.dec.InputOffset()
	if _, err := s.dec.Token(); !errors.Is(err, io.EOF) {
		s.problems.add("note", fmt.Sprintf("data after byte %d", end), "one JSON object")
	}
	return s.problems
}

// next reads a token; it reports false once the document is not JSON.
func (s *shape) next(path string) (json.Token, bool) {
	if s.broken {
		return nil, false
	}
	token, err := s.dec.Token()
	if err != nil {
		s.broken = true
		s.problems.add(path, fmt.Sprintf("%v at byte %d", err, s.dec.InputOffset()), "JSON")
		return nil, false
	}
	return token, true
}

// value checks the value that token starts.
func (s *shape) value(path string, token json.Token, t reflect.Type) {
	switch {
	case t.Kind() == reflect.Struct && token == json.Delim('{'):
		s.object(path, t)
	case t.Kind() == reflect.Slice && token == json.Delim('['):
		s.array(path, t)
	case t.Kind() == reflect.Struct, t.Kind() == reflect.Slice:
		s.wrong(path, token, jsonName(t))
	default:
		s.scalar(path, token, t)
	}
}

// jsonName says which JSON value a type takes.
func jsonName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	default:
		return "a number"
	}
}

func (s *shape) object(path string, t reflect.Type) {
	seen := map[string]bool{}
	for s.dec.More() {
		token, ok := s.next(path)
		if !ok {
			return
		}
		name, _ := token.(string)
		inner := join(path, name)
		if token, ok = s.next(inner); !ok {
			return
		}
		field, known := fieldOf(t, name)
		switch {
		case !known:
			s.wrong(inner, token, "one of the fields "+strings.Join(fieldsOf(t), ", "))
		case seen[name]:
			s.wrong(inner, token, "the field once")
		default:
			s.value(inner, token, field)
		}
		seen[name] = true
	}
	s.next(path) // The closing brace.
}

func (s *shape) array(path string, t reflect.Type) {
	for i := 0; s.dec.More(); i++ {
		inner := path + "[" + strconv.Itoa(i) + "]"
		token, ok := s.next(inner)
		if !ok {
			return
		}
		s.value(inner, token, t.Elem())
	}
	s.next(path) // The closing bracket.
}

func (s *shape) scalar(path string, token json.Token, t reflect.Type) {
	switch v := token.(type) {
	case bool:
		if t.Kind() == reflect.Bool {
			return
		}
	case string:
		if t == durationType {
			if _, err := time.ParseDuration(v); err != nil {
				s.problems.add(path, v, `a duration such as "1.5s"`)
			}
			return
		}
		if t.Kind() == reflect.String {
			return
		}
	case json.Number:
		if s.number(path, v, t) {
			return
		}
	}
	if t == durationType {
		s.wrong(path, token, `a duration such as "1.5s"`)
		return
	}
	s.wrong(path, token, jsonName(t))
}

// number reports whether the type takes numbers, and adds a problem when it does
// not take this one.
func (s *shape) number(path string, v json.Number, t reflect.Type) bool {
	var err error
	allowed := "a whole number"
	switch {
	case t == durationType:
		return false
	case t.Kind() == reflect.Float64:
		_, err = strconv.ParseFloat(v.String(), 64)
		allowed = "a number that fits 64 bits"
	case t.Kind() == reflect.Int, t.Kind() == reflect.Int64:
		_, err = strconv.ParseInt(v.String(), 10, 64)
	case t.Kind() == reflect.Uint64:
		_, err = strconv.ParseUint(v.String(), 10, 64)
		allowed = "a whole number from 0"
	default:
		return false
	}
	if err != nil {
		s.problems.add(path, v, "%s", allowed)
	}
	return true
}

// wrong adds a problem and skips the value that token starts.
func (s *shape) wrong(path string, token json.Token, allowed string) {
	text := fmt.Sprint(token)
	if token == nil {
		text = "null"
	}
	s.problems.add(path, text, "%s", allowed)
	depth := nesting(token)
	for depth > 0 {
		inner, ok := s.next(path)
		if !ok {
			return
		}
		depth += nesting(inner)
	}
}

func nesting(token json.Token) int {
	switch token {
	case json.Delim('{'), json.Delim('['):
		return 1
	case json.Delim('}'), json.Delim(']'):
		return -1
	}
	return 0
}

func join(path, name string) string {
	name = shorten(name, maxName)
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldOf returns the type of the field with that JSON name.
func fieldOf(t reflect.Type, name string) (reflect.Type, bool) {
	for i := range t.NumField() {
		if f := t.Field(i); tagName(f) == name {
			return f.Type, true
		}
	}
	return nil, false
}

func fieldsOf(t reflect.Type) []string {
	out := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		out = append(out, tagName(t.Field(i)))
	}
	return out
}

func tagName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}
