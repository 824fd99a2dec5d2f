package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"pomelofork/core/conf"
	"pomelofork/io/admin"
)

// statusInterval is the time between two queries of how far a change is in force, and
// columnMargin the number of spaces between two columns of a table.
const (
	statusInterval = 200 * time.Millisecond
	columnMargin   = 2
)

// client returns a client of the administration API at the addresses that the flags give.
func (a *adminCommand) client() *admin.Client {
	return admin.NewClient(admin.ClientConfig{Addresses: a.Address, Token: a.Token})
}

// document reads the configuration document from the fleet.
func (a *adminCommand) document(ctx context.Context) (conf.Document, error) {
	message, err := a.client().Config(ctx)
	return message.Document, withStatus(err)
}

// change sends a change and prints the answer. A new change is made against the current
// version; one that is sent again keeps the version of --expected-version.
func (a *adminCommand) change(change conf.Change) error {
	ctx := context.Background()
	if a.ExpectedVersion == nil {
		document, err := a.document(ctx)
		if err != nil {
			return err
		}
		change.ExpectedVersion = document.Version
	}
	return a.send(ctx, change)
}

// send sends a change and prints the answer. If --change-id and --expected-version are set,
// the change is sent again under them, otherwise under a new identifier. An error names the
// flags that send it again.
func (a *adminCommand) send(ctx context.Context, change conf.Change) error {
	change.ID = rand.Text()
	if a.ExpectedVersion != nil {
		change.ID, change.ExpectedVersion = a.ChangeID, *a.ExpectedVersion
	}
	accepted, err := a.client().Change(ctx, change)
	if err != nil {
		return withStatus(fmt.Errorf("--change-id %s --expected-version %d: %w", change.ID, change.ExpectedVersion, err))
	}
	if err := a.print(accepted, [][]string{{"CHANGE", "ANSWER", "VERSION"}, {accepted.ID, accepted.Answer, fmt.Sprint(accepted.Version)}}); err != nil {
		return err
	}
	return a.waitInForce(ctx, accepted.ID)
}

// waitInForce waits for up to --wait until a change is in force at every instance, and shows
// the progress.
func (a *adminCommand) waitInForce(ctx context.Context, id string) error {
	if a.Wait <= 0 {
		return nil
	}
	deadline := time.Now().Add(a.Wait)
	line := newProgress(os.Stderr)
	defer line.end()
	for {
		status, err := a.client().ChangeStatus(ctx, id)
		if err == nil {
			line.show(fmt.Sprintf("in force at %d of %d instances", status.InForce, status.Instances))
			if len(status.Behind) == 0 {
				return nil
			}
		}
		if time.Now().After(deadline) {
			return &exitError{status: exitOutcomeUnknown, cause: fmt.Errorf("change %s was accepted, but was not confirmed in force at every instance within --wait", id)}
		}
		time.Sleep(statusInterval)
	}
}

// print writes a value as JSON or its rows as a table, as --output says.
func (a *adminCommand) print(value any, rows [][]string) error {
	if a.Output == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, columnMargin, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				cell = "\t" + cell
			}
			if _, err := fmt.Fprint(table, cell); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintln(table); err != nil {
			return err
		}
	}
	return table.Flush()
}
