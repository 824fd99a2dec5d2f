package conf

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// object is a JSON object with its fields in the order in which they appear in the text.
type object []field

// field is the name and the value of one field of a JSON object. The value is an object,
// a []any, a string, a json.Number, a bool or nil.
type field struct {
	name  string
	value any
}

// treeReader parses a JSON text into a tree of values. It exists because encoding/json
// silently uses the last of two fields with the same name: a document with two "preset"
// fields would be accepted, although only one preset can be active.
type treeReader struct {
	decoder *json.Decoder
	faults  *FaultsError
}

// readTree parses the text. Malformed JSON ends the parsing with one fault and false;
// a duplicate field only adds a fault.
func readTree(text []byte, faults *FaultsError) (any, bool) {
	reader := treeReader{decoder: json.NewDecoder(bytes.NewReader(text)), faults: faults}
	reader.decoder.UseNumber()
	value, err := reader.value("", 0)
	if err == nil {
		if _, err = reader.decoder.Token(); err == nil {
			err = errors.New("text after the document")
		} else if errors.Is(err, io.EOF) {
			return value, true
		}
	}
	faults.add(position(text, reader.decoder.InputOffset()), "%v", err)
	return nil, false
}

// position returns the line and the column of an offset in the text, both from 1.
func position(text []byte, offset int64) string {
	before := text[:min(int(offset), len(text))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("line %d, column %d", line, column)
}

// value reads the next value of any type. The place is its path in the document, and
// depth is the number of objects and arrays around it.
func (r *treeReader) value(place string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("nested more than %d levels deep", maxDepth)
	}
	token, err := r.decoder.Token()
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return r.object(place, depth)
	case json.Delim('['):
		return r.array(place, depth)
	}
	return token, nil
}

// object reads the fields of an object up to and including the closing brace.
func (r *treeReader) object(place string, depth int) (any, error) {
	result := object{}
	seen := map[string]bool{}
	for r.decoder.More() {
		token, err := r.decoder.Token()
		if err != nil {
			return nil, err
		}
		name, ok := token.(string)
		if !ok {
			return nil, errors.New("want a field name")
		}
		fieldPlace := join(place, name)
		value, err := r.value(fieldPlace, depth+1)
		if err != nil {
			return nil, err
		}
		if seen[name] {
			r.faults.add(fieldPlace, "field occurs more than once")
			continue
		}
		seen[name] = true
		result = append(result, field{name: name, value: value})
	}
	_, err := r.decoder.Token()
	return result, err
}

// array reads the elements of an array up to and including the closing bracket.
func (r *treeReader) array(place string, depth int) (any, error) {
	result := []any{}
	for r.decoder.More() {
		value, err := r.value(element(place, len(result)), depth+1)
		if err != nil {
			return nil, err
		}
		result = append(result, value)
	}
	_, err := r.decoder.Token()
	return result, err
}

// join returns the path of a field of the object at place, for example "presets.peak".
func join(place, name string) string {
	if place == "" {
		return name
	}
	return place + "." + name
}

// element returns the path of an element of the array at place, for example
// "accounts[2]".
func element(place string, index int) string {
	return fmt.Sprintf("%s[%d]", place, index)
}
