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

func newApply(app *kingpin.Application, out io.Writer) command {
	clause := app.Command("apply", "Sign a partner's document and put it in force.")
	o := newOperator(clause)
	keyFile := clause.Flag("key", "File of the partner's secret key.").Required().String()
	wait := clause.Flag("wait", "How long to wait until every router has it in force.").Default("10s").Duration()
	file := clause.Arg("file", "The document.").Required().String()
	return command{clause, func(ctx context.Context) error {
		return apply(ctx, o, out, *file, *keyFile, *wait)
	}}
}

func apply(ctx context.Context, o operator, out io.Writer, file, keyFile string, wait time.Duration) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	document, err := config.Parse(file, text)
	if err != nil {
		return err
	}
	key, err := readSecret(keyFile)
	if err != nil {
		return err
	}
	path := router.PathDocuments + string(document.Partner)
	var state router.DocumentState
	if _, err := o.call(ctx, o.base().Get(path), &state); err != nil {
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
	if _, err := o.call(ctx, o.base().Put(path).BodyJSON(signed), &state); err != nil {
		return err
	}
	return waitAccepted(ctx, o, out, path, signed.Serial, state, wait)
}

const acceptancePause = 200 * time.Millisecond

// waitAccepted asks until the document is accepted. What it prints is "pending"
// unless every router of the view has the document in force.
func waitAccepted(ctx context.Context, o operator, out io.Writer, path string, serial granitehoist.Serial, state router.DocumentState, wait time.Duration) error {
	limit := time.After(wait)
	for !state.Accepted {
		select {
		case <-limit:
			fmt.Fprintf(out, "serial=%d state=pending in_force=%d waiting=%s\n", serial, len(state.InForce), joinBoxes(state.Waiting))
			return failed{}
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(acceptancePause):
		}
		if _, err := o.call(ctx, o.base().Get(path), &state); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "serial=%d state=accepted in_force=%d\n", serial, len(state.InForce))
	return nil
}

func joinBoxes(boxes []granitehoist.Box) string {
	names := make([]string, len(boxes))
	for i, b := range boxes {
		names[i] = string(b)
	}
	return strings.Join(names, ",")
}

func newShow(app *kingpin.Application, out io.Writer) command {
	clause := app.Command("show", "Show a partner's document and where it is in force.")
	o := newOperator(clause)
	partner := clause.Arg("partner", "The partner.").Required().String()
	return command{clause, func(ctx context.Context) error {
		var state router.DocumentState
		if _, err := o.call(ctx, o.base().Get(router.PathDocuments+*partner), &state); err != nil {
			return err
		}
		fmt.Fprintf(out, "# serial=%d accepted=%t in_force=%s waiting=%s\n", state.Current.Signed.Serial, state.Accepted, joinBoxes(state.InForce), joinBoxes(state.Waiting))
		fmt.Fprint(out, state.Current.Signed.Text)
		return nil
	}}
}
