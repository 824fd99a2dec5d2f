// Package pack compresses the documents that instances send to each other, in the gzip
// format.
package pack

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// maxDocument is the maximum size of a document, in bytes. The store accepts no larger value.
const maxDocument = 1 << 20

// Pack compresses a document. Compression pays off because each change sends the whole
// configuration to every instance, and most of a configuration is repeated names.
func Pack(document []byte) ([]byte, error) {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(document); err != nil {
		return nil, fmt.Errorf("pack document: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack document: %w", err)
	}
	return packed.Bytes(), nil
}

// Unpack decompresses a document that Pack compressed. It returns an error if the content
// isn't valid gzip data or is larger than 1 MiB, the largest value that the store accepts.
func Unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("unpack document: %w", err)
	}
	document, err := io.ReadAll(io.LimitReader(r, maxDocument+1))
	if err != nil {
		return nil, fmt.Errorf("unpack document: %w", err)
	}
	if len(document) > maxDocument {
		return nil, fmt.Errorf("unpack document: more than %d bytes after decompression", maxDocument)
	}
	return document, nil
}
