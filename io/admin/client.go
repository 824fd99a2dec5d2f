package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"pomelofork/core/conf"
)

// clientTimeout limits one call of one instance. It is longer than the time that an
// instance spends on a change by default.
const clientTimeout = 2 * defaultTimeout

// ClientConfig holds the settings of a client.
type ClientConfig struct {
	// Addresses are the administration addresses of one or more instances, each as
	// host:port or a base URL. If an instance doesn't answer, the call is sent to the next
	// one.
	Addresses []string
	// Token is the operator's token.
	Token string
	// Transport sends the HTTP requests. Nil means http.DefaultTransport.
	Transport http.RoundTripper
}

// Client calls the administration API of the instances of a fleet.
type Client struct {
	baseURLs []string
	token    string
	http     *http.Client
}

// NewClient returns a client. It doesn't connect to any instance yet.
func NewClient(c ClientConfig) *Client {
	client := &Client{token: c.Token, http: &http.Client{Transport: c.Transport, Timeout: clientTimeout}}
	for _, address := range c.Addresses {
		if !strings.Contains(address, "://") {
			address = "http://" + address
		}
		client.baseURLs = append(client.baseURLs, strings.TrimSuffix(address, "/"))
	}
	return client
}

// Config returns the newest configuration that the answering instance knows.
func (c *Client) Config(ctx context.Context) (ConfigMessage, error) {
	return read[ConfigMessage](ctx, c, "/v1/config")
}

// Fleet returns the versions of the configuration that are in force at each instance.
func (c *Client) Fleet(ctx context.Context) (FleetMessage, error) {
	return read[FleetMessage](ctx, c, "/v1/fleet")
}

// ChangeStatus returns the record of an accepted change and tells at which instances it
// is in force. The error code is not_found if no such change is recorded.
func (c *Client) ChangeStatus(ctx context.Context, id string) (ChangeMessage, error) {
	return read[ChangeMessage](ctx, c, "/v1/changes/"+url.PathEscape(id))
}

// Change sends a change to one instance after another until one gives a definite answer.
// Sending it several times is safe because of its identifier. If no instance gives one and
// at least one call may have applied the change, for example because its response was lost,
// the error code is not_known, even if another instance answered unavailable.
func (c *Client) Change(ctx context.Context, change conf.Change) (Accepted, error) {
	text, err := json.Marshal(change)
	if err != nil {
		return Accepted{}, fmt.Errorf("encode change: %w", err)
	}
	maybeApplied := false
	lastErr := errNoAddress
	for _, baseURL := range c.baseURLs {
		var accepted Accepted
		lastErr = c.call(ctx, http.MethodPost, baseURL+"/v1/changes", text, &accepted)
		apiErr := new(APIError)
		if lastErr == nil || (errors.As(lastErr, &apiErr) && apiErr.isFinal()) {
			return accepted, lastErr
		}
		maybeApplied = maybeApplied || !isDialError(lastErr) && (apiErr.detail.Code == "" || apiErr.detail.Code == conf.AnswerNotKnown.String())
	}
	if maybeApplied {
		return Accepted{}, &APIError{
			detail: ErrorDetail{Code: conf.AnswerNotKnown.String(), Message: resultMessages[conf.AnswerNotKnown]}, cause: lastErr,
		}
	}
	return Accepted{}, lastErr
}

// read sends a GET request to one instance after another until one answers.
func read[T any](ctx context.Context, c *Client, path string) (T, error) {
	var message T
	err := errNoAddress
	for _, baseURL := range c.baseURLs {
		err = c.call(ctx, http.MethodGet, baseURL+path, nil, &message)
		if apiErr := new(APIError); err == nil || errors.As(err, &apiErr) {
			break
		}
	}
	return message, err
}

// call sends one request to one instance and decodes the response into the value that into
// points to. The error is an *APIError if the instance answered with one.
func (c *Client) call(ctx context.Context, method, target string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("call the administration API: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("call the administration API: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return fmt.Errorf("read the response of the administration API: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return newAPIError(response.StatusCode, text)
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("decode the response of the administration API: %w", err)
	}
	return nil
}
