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

// The pauses between two looks at how far a change is in force, and the columns
// between those of a table.
const (
	statusPause  = 200 * time.Millisecond
	columnMargin = 2
)

// client returns the client that the flags describe.
func (a *adminCommand) client() *admin.Client {
	return admin.NewClient(admin.ClientConfig{Addresses: a.Address, Token: a.Token})
}

// document reads the configuration.
func (a *adminCommand) document(ctx context.Context) (conf.Document, error) {
	message, err := a.client().Config(ctx)
	return message.Document, withStatus(err)
}

// change makes a change to the newest version and prints the answer.
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

// send sends a change, a new one or again the one that the flags name, and prints the
// answer. The error names what is needed to send it again.
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
	return a.await(ctx, accepted.ID)
}

// await waits until a change is in force everywhere and shows the progress.
func (a *adminCommand) await(ctx context.Context, id string) error {
	if a.Wait <= 0 {
		return nil
	}
	deadline := time.Now().Add(a.Wait)
	shown := newProgress(os.Stderr)
	defer shown.end()
	for {
		status, err := a.client().ChangeStatus(ctx, id)
		if err == nil {
			shown.show(fmt.Sprintf("in force at %d of %d instances", status.InForce, status.Instances))
			if len(status.Behind) == 0 {
				return nil
			}
		}
		if time.Now().After(deadline) {
			return &exitError{status: exitNotKnown, cause: fmt.Errorf("change %s is accepted but not yet seen in force everywhere", id)}
		}
		time.Sleep(statusPause)
	}
}

// print writes a value as JSON or its rows as a table.
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
