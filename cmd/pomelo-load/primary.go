package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"pomelofork/emul/pgsim"
)

// primaryCommand asks the control interface of a group stand-in who leads.
type primaryCommand struct {
	Control string `arg:"" help:"Address of the group's control interface."`
}

// Run prints the name of the server.
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
		return fmt.Errorf("state of the group: %w", err)
	}
	var leader *pgsim.State
	for i := range state.Servers {
		server := &state.Servers[i]
		if server.Primary && !server.Killed && (leader == nil || server.Promised > leader.Promised) {
			leader = server
		}
	}
	if leader == nil {
		return errors.New("no server of the group believes that it leads")
	}
	fmt.Println(leader.ID)
	return nil
}
