// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Command granitehoist-edge runs a router on the users' platform until SIGTERM or
// SIGINT. It takes its settings from the file that the platform names and writes
// its log to the standard output, one line of key=value pairs an event.
//
// The program owns the process: signals, the memory limit and the log's queue.
// All else is package node's, by way of package platform. Begin reading at run,
// then at node.New.
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

	"granitehoist.example/granitehoist/internal/boottime"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/logsink"
	"granitehoist.example/granitehoist/node"
	"granitehoist.example/granitehoist/platform"
)

const (
	// logLines is the number of log lines that wait for a slow reader of the log; those
	// beyond are dropped and counted (log_dropped).
	logLines = 2048
	// logFlush bounds the writing of the lines that still wait when the process ends: it
	// has to fit between the end of a stop, at 97 % of the grace (node/stop.go,
	// returnShare), and the platform's SIGKILL.
	logFlush = 100 * time.Millisecond
	// memoryShare is the share of the process's memory limit (limits.memoryMb in the
	// settings file; above it the platform kills the process) that Go's memory limit gets,
	// above which the garbage collector runs more often. The remainder is for bytes that
	// have arrived and are not read yet: the platform counts them as well.
	memoryShare = 0.6
	// signalQueue is the number of signals that wait while one is handled: a signal beyond
	// it is lost, and a stop needs one only.
	signalQueue = 4
)

// main reads the command line and runs the router. It exits with 1 if the
// settings or an address can't be used.
func main() {
	app := kingpin.New("granitehoist-edge", "Run a router on the platform until SIGTERM.")
	file := app.Flag("settings", "The settings file.").Envar(platform.SettingsVariable).Required().String()
	metrics := app.Flag("metrics", "The port at which metrics are served; 0 serves none.").Default("0").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*file, *metrics); err != nil {
		fmt.Fprintf(os.Stderr, "granitehoist-edge: %v\n", err)
		os.Exit(1)
	}
}

// run serves with the settings in file until a signal to stop, and returns when
// the router has stopped. metricsPort is the port of the metrics, zero for none.
func run(file string, metricsPort int) error {
	config, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	if metricsPort > 0 {
		config.Metrics = fmt.Sprintf("%s:%d", config.IP, metricsPort)
	}
	limitMemory(config)
	sink := logsink.New(os.Stdout, logLines)
	defer sink.Close(logFlush)
	config.LogDropped = sink.Dropped
	log := logsink.NewLogger(sink, zapcore.InfoLevel)
	clock, err := boottime.New()
	if err != nil {
		return err
	}
	config.Clock = clock.Now
	n, err := node.New(config, platform.NewAdapter(platform.StoreSettings{Address: config.Store}), log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, signalQueue)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	n.Start()
	for received := range signals {
		if received != syscall.SIGHUP {
			break
		}
		reload(n, file, log)
	}
	n.Stop()
	return nil
}

// limitMemory tells the runtime how much memory the process may use.
func limitMemory(c *node.Config) {
	if c.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(c.Memory)))
	}
}

// reload reads the settings file again after SIGHUP and puts in force what a running
// process can change: the memory, and what node.Node.Reload names. The log tells which
// other settings differ and wait for a restart. A file that can't be read changes
// nothing.
func reload(n *node.Node, file string, log *zap.Logger) {
	config, err := platform.ReadSettings(file)
	if err != nil {
		log.Error(event.ReloadFailed, zap.Error(err))
		return
	}
	waiting, err := n.Reload(config)
	if err != nil {
		log.Error(event.ReloadFailed, zap.Error(err))
		return
	}
	limitMemory(config)
	log.Info(event.Reload, zap.String("file", file), zap.Strings("waiting_for_restart", waiting))
}
