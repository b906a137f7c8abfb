// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package main

import (
	"context"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/explain"
)

// newExplain returns the command that explains a request.
func newExplain(app *kingpin.Application, out io.Writer) command {
	clause := app.Command("explain", "Explain the outcome of one request from the routers' log lines on standard input.")
	id := clause.Arg("request", "The request's id.").Required().String()
	return command{clause, func(context.Context) error {
		timeline, err := explain.Read(os.Stdin, granitehoist.RequestID(*id))
		if err != nil {
			return err
		}
		return timeline.Write(out)
	}}
}

// newExplainBudget returns the command that explains a workspace's budget.
func newExplainBudget(app *kingpin.Application, out io.Writer) command {
	clause := app.Command("explain-budget", "Explain the use of a workspace's prepaid tokens from the routers' log lines on standard input.")
	workspace := clause.Arg("workspace", "The workspace's name.").Required().String()
	return command{clause, func(context.Context) error {
		budget, err := explain.ReadBudget(os.Stdin, granitehoist.Workspace(*workspace))
		if err != nil {
			return err
		}
		return budget.Write(out)
	}}
}

// newExplainRollout returns the command that explains the roll-outs of a service.
func newExplainRollout(app *kingpin.Application, out io.Writer) command {
	clause := app.Command("explain-rollout", "Explain the roll-outs of a service from the routers' log lines on standard input.")
	service := clause.Arg("service", "The service's name.").Required().String()
	return command{clause, func(context.Context) error {
		report, err := explain.ReadRollout(os.Stdin, granitehoist.Service(*service))
		if err != nil {
			return err
		}
		return report.Write(out)
	}}
}
