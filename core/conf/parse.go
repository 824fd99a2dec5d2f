package conf

import (
	"bytes"
	"encoding/json"
	"reflect"
)

// Parse reads and checks a document. The error is a *FaultsError that names every
// fault with its place; nothing is taken from a faulty document.
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

// NewConfig checks a document. It judges the stored form, so that what it takes can
// be read back.
func NewConfig(document *Document) (*Config, error) {
	text, err := document.Encode()
	if err != nil {
		return nil, err
	}
	return Parse(text)
}

// decodeDocument reads a document by its form alone.
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

// decodeStored reads a document in its stored form by the standard decoder, which is
// several times as fast as a tree. A text that encodes back to itself has no field
// that is unknown, doubled or of another case, so the standard decoder can't have
// overlooked one.
func decodeStored(text []byte) (*Document, bool) {
	document := &Document{}
	if err := json.Unmarshal(text, document); err != nil {
		return nil, false
	}
	again, err := document.Encode()
	if err != nil || !bytes.Equal(again, text) {
		return nil, false
	}
	return document, true
}
