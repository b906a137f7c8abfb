// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package main

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"granitehoist.example/granitehoist/trial"
)

// newTry returns the command that runs an end-to-end test and prints its result.
func newTry(app *kingpin.Application, out io.Writer) command {
	clause := app.Command("try", "Run the whole system on loopback with stand-ins, send a mixed load and verify the results. Exits with 1 if a guarantee was violated.")
	requests := clause.Flag("requests", "Number of requests.").Default("500").Int()
	seed := clause.Flag("seed", "Seed of the load.").Default("1").Uint64()
	listen := clause.Flag("listen", "Listen address for callers of the first router, such as 127.0.0.1:8080.").String()
	hold := clause.Flag("hold", "Keep the routers serving for this long after the load.").Duration()
	calm := clause.Flag("calm", "Disable fault injection in the stand-ins.").Bool()
	kill := clause.Flag("kill", "Kill a router halfway through the load, and send requests to engines only.").Bool()
	stops := clause.Flag("stops", "Number of planned stops of routers during the load.").Int()
	verbose := clause.Flag("verbose", "Write the routers' log to standard error.").Bool()
	return command{clause, func(ctx context.Context) error {
		settings := trial.Settings{Requests: *requests, Seed: *seed, Listen: *listen, Hold: *hold, NoFaults: *calm, Kill: *kill, Stops: *stops, Out: out}
		if *verbose {
			log, err := newLog("debug")
			if err != nil {
				return err
			}
			settings.Log = log
		}
		verdict, err := trial.Run(ctx, settings)
		if err != nil {
			return err
		}
		fmt.Fprintln(out, verdict)
		if !verdict.Passed() {
			return failed{}
		}
		return nil
	}}
}
