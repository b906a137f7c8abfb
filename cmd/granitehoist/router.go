// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package main

import (
	"context"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"granitehoist.example/granitehoist/partner/boxlist"
	"granitehoist.example/granitehoist/partner/router"
	"granitehoist.example/granitehoist/partner/settings"
	"granitehoist.example/granitehoist/platform"
)

// newRouter returns the command that runs a router.
func newRouter(app *kingpin.Application) command {
	clause := app.Command("router", "Run a router until it is told to stop by SIGTERM or SIGINT.")
	file := clause.Flag("settings", "The router's settings file.").Required().String()
	return command{clause, func(ctx context.Context) error { return runRouter(ctx, *file) }}
}

// runRouter starts a router, waits until ctx ends and stops it within the drain
// limit of its settings.
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
	client := newStoreClient()
	r, err := router.New(router.Settings{
		Router:   parsed,
		Store:    newStore(parsed.Store, client),
		Platform: boxlist.New(boxlist.Settings{Address: parsed.Store, Timeout: storeTimeout, Client: client}),
		Log:      log,
	})
	if err != nil {
		return err
	}
	r.Start()
	<-ctx.Done()
	stopping, cancel := context.WithTimeout(context.Background(), time.Duration(parsed.Limits.Drain))
	defer cancel()
	return r.Stop(stopping)
}

// Limits of the calls to the platform's store. The times are longer than those of
// granitehoist-edge, the defaults of platform.StoreSettings.
const (
	// storeTimeout bounds a call.
	storeTimeout = 2 * time.Second
	// storeWatch is the longest wait of a watch: it sets the number of calls of a router
	// while nothing changes.
	storeWatch = 20 * time.Second
	// storeWatchGrace is added to it for the round trip.
	storeWatchGrace = 5 * time.Second
	// storeIdleConns serves requests that are to run once, each of which makes a write.
	storeIdleConns = 8
	// storeIdleTime is longer than the interval of every regular call.
	storeIdleTime = time.Minute
)

// newStoreClient returns the connections that the store and the list of boxes
// share.
func newStoreClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: storeIdleConns, IdleConnTimeout: storeIdleTime}}
}

// newStore returns a client of the platform's store.
func newStore(address string, client *http.Client) *platform.Store {
	return platform.NewStore(platform.StoreSettings{
		Address:    address,
		Timeout:    storeTimeout,
		Watch:      storeWatch,
		WatchGrace: storeWatchGrace,
		Client:     client,
	})
}
