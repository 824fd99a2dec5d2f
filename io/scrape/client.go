package scrape

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// readTimeout limits the time to read the metrics of one instance.
const readTimeout = 2 * time.Second

// maxVarsBytes limits the size of one response.
const maxVarsBytes = 8 << 20

// ErrNoInstance means that the metrics of no instance could be read.
var ErrNoInstance = errors.New("the metrics of no instance could be read")

// Client reads the metrics of the instances of a fleet.
type Client struct {
	http      *http.Client
	addresses []string
	onFailure func(address string, err error)
}

// Config holds the settings of a client.
type Config struct {
	// Addresses are the administration addresses of the instances, as host:port.
	Addresses []string
	// OnFailure is called for each instance whose metrics could not be read. It must not
	// be nil.
	OnFailure func(address string, err error)
}

// New returns a client. It doesn't connect to any instance yet.
func New(c Config) *Client {
	return &Client{http: &http.Client{Timeout: readTimeout}, addresses: c.Addresses, onFailure: c.OnFailure}
}

// Read reads the metrics of all instances at once and returns one snapshot of each that
// answers, with now as its time. It returns ErrNoInstance if none does.
func (c *Client) Read(ctx context.Context, now time.Time) ([]Snapshot, error) {
	results := make([]*Vars, len(c.addresses))
	failures := make([]error, len(c.addresses))
	var group errgroup.Group
	for i, address := range c.addresses {
		group.Go(func() error {
			vars, err := c.readOne(ctx, address)
			if err != nil {
				failures[i] = err
				return nil
			}
			results[i] = &vars
			return nil
		})
	}
	_ = group.Wait()
	var snapshots []Snapshot
	for i, vars := range results {
		if vars == nil {
			c.onFailure(c.addresses[i], failures[i])
			continue
		}
		snapshots = append(snapshots, Snapshot{AtMS: now.UnixMilli(), Vars: *vars})
	}
	if len(snapshots) == 0 {
		return nil, ErrNoInstance
	}
	return snapshots, nil
}

// readOne reads the metrics of one instance.
func (c *Client) readOne(ctx context.Context, address string) (Vars, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/debug/vars", nil)
	if err != nil {
		return Vars{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Vars{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Vars{}, fmt.Errorf("read metrics: HTTP status %d", response.StatusCode)
	}
	return decodeVars(http.MaxBytesReader(nil, response.Body, maxVarsBytes))
}
