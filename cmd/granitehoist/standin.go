// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"granitehoist.example/granitehoist/internal/httpserver"
	"granitehoist.example/granitehoist/standin"
)

func newStandinStore(app *kingpin.Application) command {
	clause := standinCommand(app).Command("store", "Serve a stand-in for the platform's store.")
	listen := clause.Flag("listen", "Listen address.").Default("127.0.0.1:7000").String()
	return command{clause, func(ctx context.Context) error {
		return serve(ctx, *listen, standin.NewStore(standin.StoreSettings{}).Handler())
	}}
}

// newStandinEngine returns the command that serves a model engine with configurable
// delays.
func newStandinEngine(app *kingpin.Application) command {
	clause := standinCommand(app).Command("engine", "Serve a stand-in for a model engine.")
	listen := clause.Flag("listen", "Listen address.").Default("127.0.0.1:9001").String()
	first := clause.Flag("first", "Time to the first token.").Default("50ms").Duration()
	token := clause.Flag("token", "Time between further tokens.").Default("10ms").Duration()
	return command{clause, func(ctx context.Context) error {
		engine := standin.NewEngine(standin.EngineSettings{FirstDelay: *first, TokenDelay: *token})
		return serve(ctx, *listen, engine.Handler())
	}}
}

func newStandinService(app *kingpin.Application) command {
	clause := standinCommand(app).Command("service", "Serve a stand-in for a plain service.")
	listen := clause.Flag("listen", "Listen address.").Default("127.0.0.1:9101").String()
	return command{clause, func(ctx context.Context) error {
		return serve(ctx, *listen, standin.NewPlain().Handler())
	}}
}

// standinCommand returns the parent of the standin commands.
func standinCommand(app *kingpin.Application) *kingpin.CmdClause {
	const name = "standin"
	if clause := app.GetCommand(name); clause != nil {
		return clause
	}
	return app.Command(name, "Run a stand-in for an external system.")
}

// standinHeaderTimeout limits the reading of a request's header by a stand-in.
const standinHeaderTimeout = 10 * time.Second

// serve serves a handler until ctx ends.
func serve(ctx context.Context, listen string, h http.Handler) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	server := httpserver.New(httpserver.Settings{Handler: h, HeaderTimeout: standinHeaderTimeout}, listener)
	stop := context.AfterFunc(ctx, server.Close)
	defer stop()
	return server.Serve()
}
