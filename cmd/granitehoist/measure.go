// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package main

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"granitehoist.example/granitehoist/measure"
)

// newMeasureCapacity returns the command that measures the costs of the roles.
func newMeasureCapacity(app *kingpin.Application, out io.Writer) command {
	parent := app.Command("measure", "Measure what the parts of a router cost.")
	clause := parent.Command("capacity", "Slopes of the costs of each role, and the loads at full and at small size.")
	return command{clause, func(context.Context) error { return measure.Capacity(out, measure.Sizes) }}
}
