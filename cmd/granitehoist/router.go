// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package main

import (
	"context"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"granitehoist.example/granitehoist/internal/httpvalid"
	"granitehoist.example/granitehoist/partner/boxlist"
	"granitehoist.example/granitehoist/partner/router"
	"granitehoist.example/granitehoist/partner/settings"
	"granitehoist.example/granitehoist/platform"
)

// newRouter returns the command that runs a router.
func newRouter(app *kingpin.Application) command {
	clause := app.Command("router", "Run a router until SIGTERM or SIGINT.")
	file := clause.Flag("settings", "The router's settings file.").Required().String()
	return command{clause, func(ctx context.Context) error { return runRouter(ctx, *file) }}
}

// runRouter runs a router until ctx ends, then stops it within the drain limit of its
// settings.
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
	stopping, cancel := context.WithTimeout(context.Background(), time.Duration(parsed.Limits.DrainTimeout))
	defer cancel()
	return r.Stop(stopping)
}

// Limits of calls to the platform's store. The times are longer than the defaults of
// platform.StoreSettings, which granitehoist-edge uses.
const (
	// storeTimeout limits one call.
	storeTimeout = 2 * time.Second
	// storeWatchWait is the long-poll time of a watch. It sets the call rate of an idle
	// router.
	storeWatchWait = 20 * time.Second
	// storeWatchGrace is added to storeWatchWait for the round trip.
	storeWatchGrace = 5 * time.Second
	// storeIdleConns is the number of idle connections kept open, so that concurrent writes
	// for requests that must run at most once need no new connections.
	storeIdleConns = 8
	// storeIdleTime is how long an idle connection is kept open. It exceeds the interval of
	// every periodic call.
	storeIdleTime = time.Minute
	// storeHeaderBytes bounds the header of a response of the store.
	storeHeaderBytes = 32 << 10
)

// newStoreClient returns the HTTP client shared by the store and the list of boxes.
func newStoreClient() *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: storeIdleConns, IdleConnTimeout: storeIdleTime, MaxResponseHeaderBytes: storeHeaderBytes}
	return &http.Client{Transport: &httpvalid.Transport{Base: transport}}
}

// newStore returns a client of the platform's store.
func newStore(address string, client *http.Client) *platform.Store {
	return platform.NewStore(platform.StoreSettings{
		Address:    address,
		Timeout:    storeTimeout,
		WatchWait:  storeWatchWait,
		WatchGrace: storeWatchGrace,
		Client:     client,
	})
}
