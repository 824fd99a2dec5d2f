package conf

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// object is a JSON object with its fields in the order of the text.
type object []field

// field is one name of an object and its value: an object, a []any, a string, a
// json.Number, a bool or nil.
type field struct {
	name  string
	value any
}

// treeReader builds the values of a JSON text. It exists because the standard
// decoder takes the last of two fields of one name without a word, and two presets
// would then seem to be in force.
type treeReader struct {
	decoder *json.Decoder
	faults  *FaultsError
}

// readTree returns the value of the text. Faults of form end the reading; fields
// that stand twice are only recorded.
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

// position returns line and column of an offset in the text.
func position(text []byte, offset int64) string {
	before := text[:min(int(offset), len(text))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("line %d, column %d", line, column)
}

// value reads the next value, whatever it is.
func (r *treeReader) value(place string, depth int) (any, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("nested more than %d deep", maxDepth)
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

// object reads the fields up to the closing brace.
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
		at := join(place, name)
		value, err := r.value(at, depth+1)
		if err != nil {
			return nil, err
		}
		if seen[name] {
			r.faults.add(at, "stands more than once")
			continue
		}
		seen[name] = true
		result = append(result, field{name: name, value: value})
	}
	_, err := r.decoder.Token()
	return result, err
}

// array reads the elements up to the closing bracket.
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

// join returns the place of a field.
func join(place, name string) string {
	if place == "" {
		return name
	}
	return place + "." + name
}

// element returns the place of an array's element.
func element(place string, index int) string {
	return fmt.Sprintf("%s[%d]", place, index)
}
