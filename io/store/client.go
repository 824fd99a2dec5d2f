package store

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// The defaults of a client.
const (
	defaultTimeout  = 2 * time.Second
	maxIdleConns    = 4
	idleConnTimeout = 90 * time.Second
)

// ClientConfig holds the settings of a client.
type ClientConfig struct {
	// Address is the host and port of the service, or its base URL.
	Address string
	// Timeout bounds each call. A watch may take its waiting time in addition. Zero means
	// two seconds.
	Timeout time.Duration
	// Transport makes the HTTP requests. Nil means a transport that only this client uses.
	Transport http.RoundTripper
}

// Client implements Store over HTTP and JSON.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a client. It opens no connection before the first call.
func NewClient(c ClientConfig) *Client {
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.Transport == nil {
		c.Transport = &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleConnTimeout}
	}
	base := c.Address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	base = strings.TrimSuffix(base, "/")
	return &Client{base: base, timeout: c.Timeout, http: &http.Client{Transport: c.Transport}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	var item Item
	_, err := c.read(ctx, "/v1/kv/"+url.PathEscape(key), &item, 0)
	return item, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Item, error) {
	var list ItemList
	_, err := c.read(ctx, "/v1/kv?prefix="+url.QueryEscape(prefix), &list, 0)
	return list.Items, err
}

// Swap implements Store.
func (c *Client) Swap(ctx context.Context, swap Swap) (Item, error) {
	if len(swap.Value) > MaxValueBytes {
		return Item{}, NewRequestError(http.StatusRequestEntityTooLarge, "value over the size limit")
	}
	var response SwapResponse
	if err := c.change(ctx, http.MethodPost, "/v1/swap", swap, &response); err != nil {
		return Item{}, err
	}
	if swap.Delete {
		return Item{Key: swap.Key}, nil
	}
	return Item{Key: swap.Key, Value: swap.Value, Revision: response.Revision, LeaseID: swap.LeaseID}, nil
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, afterRevision uint64, wait time.Duration) (Item, bool, error) {
	query := url.Values{}
	query.Set("key", key)
	query.Set("after_revision", strconv.FormatUint(afterRevision, 10))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var item Item
	status, err := c.read(ctx, "/v1/watch?"+query.Encode(), &item, wait)
	return item, status == http.StatusOK, err
}

// Instances implements Store.
func (c *Client) Instances(ctx context.Context) ([]ListedInstance, error) {
	var list instanceResponse
	_, err := c.read(ctx, "/v1/instances", &list, 0)
	if err == nil && list.unreadable > 0 {
		err = fmt.Errorf("%w: %d of %d", ErrUnreadableInstance, list.unreadable, list.unreadable+len(list.listed))
	}
	return list.listed, err
}

// GrantLease implements Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var grant LeaseGrant
	err := c.change(ctx, http.MethodPost, "/v1/lease", LeaseRequest{TTLMs: ttl.Milliseconds()}, &grant)
	return grant.LeaseID, err
}

// RenewLease implements Store.
func (c *Client) RenewLease(ctx context.Context, id LeaseID) error {
	return c.change(ctx, http.MethodPost, fmt.Sprintf("/v1/lease/%d/renew", id), nil, nil)
}

// EndLease implements Store.
func (c *Client) EndLease(ctx context.Context, id LeaseID) error {
	return c.change(ctx, http.MethodDelete, fmt.Sprintf("/v1/lease/%d", id), nil, nil)
}
