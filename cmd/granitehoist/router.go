// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package main

import (
	"context"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"granitehoist.example/granitehoist/partner/router"
	"granitehoist.example/granitehoist/partner/settings"
	"granitehoist.example/granitehoist/store"
)

func newRouter(app *kingpin.Application) command {
	clause := app.Command("router", "Run a router until it is told to stop by SIGTERM or SIGINT.")
	file := clause.Flag("settings", "The router's settings file.").Required().String()
	return command{clause, func(ctx context.Context) error { return runRouter(ctx, *file) }}
}

func runRouter(ctx context.Context, file string) error {
	parsed, faults, err := settings.Load(file)
	if err != nil {
		return err
	}
	if len(faults) > 0 {
		return faults
	}
	log, err := newLog(parsed.Log.Level)
	if err != nil {
		return err
	}
	platform := store.NewHTTP(store.HTTPSettings{Address: parsed.Store})
	r, err := router.New(router.Settings{Router: parsed, Store: platform, Platform: platform, Log: log})
	if err != nil {
		return err
	}
	r.Start()
	<-ctx.Done()
	stopping, cancel := context.WithTimeout(context.Background(), time.Duration(parsed.Limits.Drain))
	defer cancel()
	return r.Stop(stopping)
}
