// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/config"
	"granitehoist.example/granitehoist/partner/router"
)

// acceptancePollInterval is the interval of checks whether a document is accepted.
const acceptancePollInterval = 200 * time.Millisecond

// applyCommand holds the arguments of the command apply.
type applyCommand struct {
	admin adminClient
	out   io.Writer
	// file is the path of the document, keyFile that of the partner's secret key.
	file, keyFile string
	// wait limits the wait for acceptance.
	wait time.Duration
}

// newApply returns the command that signs and applies a document.
func newApply(app *kingpin.Application, out io.Writer) command {
	clause := app.Command("apply", "Sign a partner's document and apply it.")
	c := newAdminClient(clause)
	keyFile := clause.Flag("key", "File of the partner's secret key.").Required().String()
	wait := clause.Flag("wait", "How long to wait until every router has applied it.").Default("10s").Duration()
	file := clause.Arg("file", "The document.").Required().String()
	return command{clause, func(ctx context.Context) error {
		a := applyCommand{admin: c, out: out, file: *file, keyFile: *keyFile, wait: *wait}
		return a.run(ctx)
	}}
}

// run signs the document as the successor of the current one, sends it to a router and
// waits until it is accepted.
func (a applyCommand) run(ctx context.Context) error {
	text, err := os.ReadFile(a.file)
	if err != nil {
		return err
	}
	document, err := config.Parse(a.file, text)
	if err != nil {
		return err
	}
	key, err := readSecret(a.keyFile)
	if err != nil {
		return err
	}
	state, err := a.admin.document(ctx, document.Partner)
	if err != nil {
		return err
	}
	signed := config.Signed{
		Partner:  document.Partner,
		Text:     string(text),
		Serial:   state.Current.Signed.Serial + 1,
		ChangeID: granitehoist.NewID("c", rand.Reader),
		Previous: state.Current.Signed.ChangeID,
	}
	signed.Sign(key)
	put := a.admin.base().Put(documentPath(document.Partner)).BodyJSON(signed)
	if err := a.admin.call(ctx, put, &state); err != nil {
		return err
	}
	return a.waitAccepted(ctx, signed, state)
}

// waitAccepted polls the router until the document is accepted, that is, applied by every
// router that may serve. If that takes longer than a.wait, it prints the state "pending"
// and returns failed.
func (a applyCommand) waitAccepted(ctx context.Context, signed config.Signed, state router.DocumentState) error {
	timeout := time.After(a.wait)
	for !state.Accepted {
		select {
		case <-timeout:
			fmt.Fprintf(a.out, "serial=%d state=pending in_force=%d waiting=%s\n", signed.Serial, len(state.InForce), joinBoxes(state.Waiting))
			return failed{}
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(acceptancePollInterval):
		}
		var err error
		if state, err = a.admin.document(ctx, signed.Partner); err != nil {
			return err
		}
	}
	fmt.Fprintf(a.out, "serial=%d state=accepted in_force=%d\n", signed.Serial, len(state.InForce))
	return nil
}

// documentPath returns the admin path of a partner's document.
func documentPath(p granitehoist.Partner) string { return router.PathDocuments + string(p) }

// document returns a partner's document and the boxes that have applied it.
func (c adminClient) document(ctx context.Context, p granitehoist.Partner) (router.DocumentState, error) {
	var state router.DocumentState
	err := c.call(ctx, c.base().Get(documentPath(p)), &state)
	return state, err
}

// joinBoxes returns the names of boxes separated by commas.
func joinBoxes(boxes []granitehoist.Box) string {
	names := make([]string, len(boxes))
	for i, b := range boxes {
		names[i] = string(b)
	}
	return strings.Join(names, ",")
}

// newShow returns the command that shows a document.
func newShow(app *kingpin.Application, out io.Writer) command {
	clause := app.Command("show", "Show a partner's document and the boxes that have applied it.")
	c := newAdminClient(clause)
	partner := clause.Arg("partner", "The partner.").Required().String()
	return command{clause, func(ctx context.Context) error {
		state, err := c.document(ctx, granitehoist.Partner(*partner))
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "# serial=%d accepted=%t in_force=%s waiting=%s\n", state.Current.Signed.Serial, state.Accepted, joinBoxes(state.InForce), joinBoxes(state.Waiting))
		fmt.Fprint(out, state.Current.Signed.Text)
		return nil
	}}
}
