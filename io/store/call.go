package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// maxResponseBytes bounds the memory that one response may take.
const maxResponseBytes = 64 << 20

// read makes a call that changes nothing. Nothing has happened if there is no answer, so
// read returns ErrUnavailable instead of *UnknownError. The call may take the time extra
// in addition to the timeout.
func (c *Client) read(ctx context.Context, path string, into any, extra time.Duration) (int, error) {
	status, err := c.call(ctx, http.MethodGet, path, nil, into, extra)
	if unknown := new(UnknownError); errors.As(err, &unknown) {
		return status, fmt.Errorf("%w: %w", ErrUnavailable, unknown.cause)
	}
	return status, err
}

// change makes a call that changes something.
func (c *Client) change(ctx context.Context, method, path string, body, into any) error {
	_, err := c.call(ctx, method, path, body, into, 0)
	return err
}

// call makes one call, which may take the time extra in addition to the timeout, and
// decodes the response body into the value that into points to. It returns the HTTP status,
// or zero if there was no response.
func (c *Client) call(ctx context.Context, method, path string, body, into any, extra time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+extra)
	defer cancel()
	request, err := c.request(ctx, method, path, body)
	if err != nil {
		return 0, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, TransportError(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return response.StatusCode, NewUnknownError(err)
	}
	return response.StatusCode, decode(response.StatusCode, text, into)
}

// request builds the HTTP request of one call, with body encoded as JSON if it is not nil.
func (c *Client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var content bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&content).Encode(body); err != nil {
			return nil, fmt.Errorf("encode request to the store: %w", err)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, &content)
	if err != nil {
		return nil, fmt.Errorf("build request to the store: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// TransportError returns the error for an HTTP request that failed with err: an error that
// wraps ErrUnavailable if the connection could not be established, and *UnknownError
// otherwise. Only the former proves that the store did nothing.
func TransportError(err error) error {
	if op := new(net.OpError); errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return NewUnknownError(err)
}

// decode decodes the body of a successful response into the value that into points to, or
// returns the error that the status stands for. A nil into means that the body is ignored.
func decode(status int, text []byte, into any) error {
	switch status {
	case http.StatusOK:
		if into == nil {
			return nil
		}
		if err := unmarshal(text, into); err != nil {
			return NewUnknownError(fmt.Errorf("decode response of the store: %w", err))
		}
		return nil
	case http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return conflict(text)
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	}
	if status < http.StatusInternalServerError {
		return NewRequestError(status, failureText(text))
	}
	return NewUnknownError(NewRequestError(status, failureText(text)))
}

// unmarshal decodes a text into the value that into points to.
func unmarshal(text []byte, into any) error {
	list, ok := into.(*instanceResponse)
	if !ok {
		return json.Unmarshal(text, into)
	}
	var err error
	list.listed, list.unreadable, err = parseInstances(text)
	return err
}

// conflict returns the error for a swap that was refused because of the revision. If the
// body can't be decoded, the revision in the error is zero; the swap has not taken effect
// in that case either.
func conflict(text []byte) error {
	var response SwapResponse
	if err := json.Unmarshal(text, &response); err != nil {
		return NewConflictError(0)
	}
	return NewConflictError(response.Revision)
}

// failureText returns the message in the body of an error response, or the whole body if
// it has another form.
func failureText(text []byte) string {
	var failure ErrorResponse
	if err := json.Unmarshal(text, &failure); err != nil || failure.Error.Message == "" {
		return string(text)
	}
	return failure.Error.Message
}
