package conf

import (
	"bytes"
	"encoding/json"
	"reflect"
)

// Parse parses and validates a document. The error is a *FaultsError that lists the
// faults with their places. An invalid document gives no configuration, not even in
// part.
func Parse(text []byte) (*Config, error) {
	document, err := decodeDocument(text)
	if err != nil {
		return nil, err
	}
	if err := document.check(); err != nil {
		return nil, err
	}
	return build(document, bytes.Clone(text)), nil
}

// NewConfig validates a document and returns its configuration. It encodes the document
// and parses the result, so that whatever it accepts can be read back from the store.
func NewConfig(document *Document) (*Config, error) {
	text, err := document.Encode()
	if err != nil {
		return nil, err
	}
	return Parse(text)
}

// decodeDocument decodes a document without validating its contents.
func decodeDocument(text []byte) (*Document, error) {
	faults := &FaultsError{}
	if len(text) > MaxSize {
		faults.add("", "document has %d bytes, more than the store's %d", len(text), MaxSize)
		return nil, faults
	}
	if document, ok := decodeStored(text); ok {
		return document, nil
	}
	tree, ok := readTree(text, faults)
	if !ok {
		return nil, faults
	}
	document := &Document{}
	decode("", tree, reflect.ValueOf(document).Elem(), faults)
	if err := faults.orNil(); err != nil {
		return nil, err
	}
	return document, nil
}

// decodeStored decodes a document in its stored form by encoding/json, which is several
// times as fast as readTree and decode. It returns false if the text doesn't encode back
// to itself. A text that does has no field that is unknown, duplicated or written in
// another case, so that encoding/json can't have accepted one silently.
func decodeStored(text []byte) (*Document, bool) {
	document := &Document{}
	if err := json.Unmarshal(text, document); err != nil {
		return nil, false
	}
	encoded, err := document.Encode()
	if err != nil || !bytes.Equal(encoded, text) {
		return nil, false
	}
	return document, true
}
