package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"pomelofork/emul/pgsim"
)

// primaryCommand asks the control interface of an emulated group for its primary.
type primaryCommand struct {
	Control string `arg:"" help:"Address of the group's control interface."`
}

// Run prints the name of the primary. If several running servers act as primary, because one
// has not yet learned of a newer term, it prints the one that promised the highest term.
func (c *primaryCommand) Run(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Control+"/control/state", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	var state struct {
		Servers []pgsim.State `json:"servers"`
	}
	if err := json.NewDecoder(response.Body).Decode(&state); err != nil {
		return fmt.Errorf("decode state of the group: %w", err)
	}
	var primary *pgsim.State
	for i := range state.Servers {
		server := &state.Servers[i]
		if server.Primary && !server.Killed && (primary == nil || server.Promised > primary.Promised) {
			primary = server
		}
	}
	if primary == nil {
		return errors.New("no running server of the group acts as primary")
	}
	fmt.Println(primary.ID)
	return nil
}
