package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// ErrUnreadableInstance means that an entry of the platform's list of instances can't be read,
// and neither can its identifier. So an instance that isn't among the entries returned with
// this error may be listed all the same.
var ErrUnreadableInstance = errors.New("unreadable entry in the list of instances")

// instanceResponse is the response with the list of instances.
type instanceResponse struct {
	listed []ListedInstance
	// unreadable counts the entries of which not even the ID can be read.
	unreadable int
}

// instanceReader reads the list of instances entry by entry, so that one that another writer
// left malformed doesn't hide the others. It doesn't descend into what it skips, which may be
// nested more deeply than encoding/json decodes.
type instanceReader struct {
	text    []byte
	decoder *json.Decoder
}

// parseInstances returns the entries of a response with the list of instances. An entry that
// can't be read has nothing but its ID, and is only counted if not even that can be read. An
// error means that there is no list.
func parseInstances(text []byte) (listed []ListedInstance, unreadable int, err error) {
	r := instanceReader{text: text, decoder: json.NewDecoder(bytes.NewReader(text))}
	// As a float, a number that is too large would end the reading.
	r.decoder.UseNumber()
	err = r.object(func(name string) error {
		if name != "instances" {
			_, err := r.readID()
			return err
		}
		return r.array(func() error {
			entry, ok, err := r.entry()
			if ok {
				listed = append(listed, entry)
			} else {
				unreadable++
			}
			return err
		})
	})
	if err != nil {
		return nil, 0, fmt.Errorf("list of instances: %w", err)
	}
	return listed, unreadable, nil
}

// entry reads one entry. It returns false if not even its ID can be read.
func (r *instanceReader) entry() (ListedInstance, bool, error) {
	begin := r.decoder.InputOffset()
	id, err := r.readID()
	if err != nil {
		return ListedInstance{}, false, err
	}
	var entry ListedInstance
	raw := bytes.TrimLeft(r.text[begin:r.decoder.InputOffset()], ", \t\r\n")
	if json.Unmarshal(raw, &entry) != nil {
		entry = ListedInstance{ID: id}
	}
	return entry, entry.ID != "", nil
}

// object reads an object and calls read for each field, which has to read the value.
func (r *instanceReader) object(read func(name string) error) error {
	if err := r.expect('{'); err != nil {
		return err
	}
	for r.decoder.More() {
		token, err := r.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		if err := read(name); err != nil {
			return err
		}
	}
	return r.expect('}')
}

// array reads an array and calls read for each element, which has to read it.
func (r *instanceReader) array(read func() error) error {
	if err := r.expect('['); err != nil {
		return err
	}
	for r.decoder.More() {
		if err := read(); err != nil {
			return err
		}
	}
	return r.expect(']')
}

func (r *instanceReader) expect(want json.Delim) error {
	token, err := r.decoder.Token()
	if err != nil {
		return err
	}
	if token != want {
		return fmt.Errorf("want %s, not %v", want, token)
	}
	return nil
}

// readID reads a value of any depth. It returns the text of the field "id", if the value is an
// object that has one.
func (r *instanceReader) readID() (string, error) {
	token, err := r.decoder.Token()
	if err != nil || token != json.Delim('{') {
		return "", errors.Join(err, r.skip(token))
	}
	id := ""
	for r.decoder.More() {
		name, err := r.decoder.Token()
		if err != nil {
			return "", err
		}
		value, err := r.decoder.Token()
		if err != nil {
			return "", err
		}
		if text, ok := value.(string); ok && name == "id" {
			id = text
		}
		if err := r.skip(value); err != nil {
			return "", err
		}
	}
	return id, r.expect('}')
}

// skip reads the rest of the value that begins with a token.
func (r *instanceReader) skip(token json.Token) error {
	for depth := 0; ; {
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
		var err error
		if token, err = r.decoder.Token(); err != nil {
			return err
		}
	}
}
