// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Command granitehoist-edge runs a router on the users' platform. It takes its
// settings from the file that the platform names.
package main

// The platform loads its library into the program, which has to be linked with
// the system's C library for it.

// #include <stdlib.h>
import "C"

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/logsink"
	"granitehoist.example/granitehoist/node"
	"granitehoist.example/granitehoist/platform"
)

// Bounds of the log's queue.
const (
	logLines = 2048
	logFlush = 100 * time.Millisecond
)

// memoryPart of the process's limit is where the garbage collector works
// harder.
const memoryPart = 0.6

func main() {
	app := kingpin.New("granitehoist-edge", "Run a router on the platform until SIGTERM.")
	file := app.Flag("settings", "The settings file.").Envar(platform.SettingsVariable).Required().String()
	metrics := app.Flag("metrics", "The port of the figures; 0 serves none.").Default("0").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*file, *metrics); err != nil {
		fmt.Fprintf(os.Stderr, "granitehoist-edge: %v\n", err)
		os.Exit(1)
	}
}

func run(file string, metricsPort int) error {
	config, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	if metricsPort > 0 {
		config.Metrics = fmt.Sprintf("%s:%d", config.IP, metricsPort)
	}
	if config.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(config.Memory)))
	}
	sink := logsink.New(os.Stdout, logLines)
	defer sink.Close(logFlush)
	config.LogDropped = sink.Dropped
	log := logsink.NewLogger(sink, zapcore.InfoLevel)
	n, err := node.New(config, platform.NewAdapter(platform.StoreSettings{Address: config.Store}), log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	n.Start()
	for received := range signals {
		if received != syscall.SIGHUP {
			break
		}
		reload(file, log)
	}
	n.Stop()
	return nil
}

// reload reads the settings anew. The addresses of a running process stay; a
// file that can't be read changes nothing.
func reload(file string, log *zap.Logger) {
	if _, err := platform.ReadSettings(file); err != nil {
		log.Error(event.ReloadFailed, zap.Error(err))
		return
	}
	log.Info(event.Reload, zap.String("file", file))
}
