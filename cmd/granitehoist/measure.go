// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package main

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"granitehoist.example/granitehoist/measure"
)

// newMeasureCapacity returns the command that measures the cost of each role of a router.
func newMeasureCapacity(app *kingpin.Application, out io.Writer) command {
	parent := app.Command("measure", "Measure the cost of the parts of a router.")
	clause := parent.Command("capacity", "Print the measured slopes, and the load of each role for a full and a small fleet.")
	return command{clause, func(context.Context) error { return measure.Capacity(out, measure.Sizes) }}
}
