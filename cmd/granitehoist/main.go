// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Command granitehoist runs a partner router, the stand-ins of external systems, an
// end-to-end test on loopback, and the operators' tools.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"granitehoist.example/granitehoist/internal/logsink"
)

// version is set by the release build.
var version = "development"

const description = "A router fleet for prepaid token budgets that partners share."

// command is one subcommand. run returns an error that ends the program with
// status 1.
type command struct {
	clause *kingpin.CmdClause
	run    func(ctx context.Context) error
}

// failed is returned by a command that has already printed its error. The program then
// exits with status 1.
type failed struct{}

// Error implements error.
func (failed) Error() string { return "failed" }

// main runs the selected command until it returns or is stopped by SIGTERM or SIGINT. The
// exit status is 1 if the command returns an error.
func main() {
	app, commands := newApp(os.Stdout)
	selected, err := app.Parse(os.Args[1:])
	app.FatalIfError(err, "")
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	for _, c := range commands {
		if c.clause.FullCommand() != selected {
			continue
		}
		if err := c.run(ctx); err != nil {
			fmt.Fprintf(os.Stderr, "granitehoist: %v\n", err)
			os.Exit(1)
		}
	}
}

// newApp returns the command line with all its commands.
func newApp(out io.Writer) (*kingpin.Application, []command) {
	app := kingpin.New("granitehoist", description)
	app.HelpFlag.Short('h')
	commands := []command{
		newTry(app, out),
		newRouter(app),
		newStandinStore(app),
		newStandinEngine(app),
		newStandinService(app),
		newCheck(app, out),
		newKeysPartner(app, out),
		newKeysCaller(app, out),
		newApply(app, out),
		newShow(app, out),
		newBudgets(app, out),
		newBills(app, out),
		newSettle(app, out),
		newReportBurn(app, out),
		newMeasureCapacity(app, out),
		newExplain(app, out),
		newExplainBudget(app, out),
		newExplainRollout(app, out),
		newVersion(app, out),
	}
	return app, commands
}

// newVersion returns the command that prints the version.
func newVersion(app *kingpin.Application, out io.Writer) command {
	clause := app.Command("version", "Print the version.")
	return command{clause, func(context.Context) error {
		fmt.Fprintln(out, "granitehoist", version)
		return nil
	}}
}

// newLog returns a logger that writes one line of key=value pairs per event to standard
// error. It returns an error for an unknown level.
func newLog(level string) (*zap.Logger, error) {
	var minLevel zapcore.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		return nil, eris.Wrap(err, "log level")
	}
	return logsink.NewLogger(zapcore.Lock(os.Stderr), minLevel), nil
}
