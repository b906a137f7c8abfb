// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Command granitehoist-edge runs an edge router on the platform until SIGTERM or SIGINT.
// It reads its settings from the file given by the platform and logs to standard output,
// one line of key=value pairs per event.
//
// The command handles signals, the memory limit and the log queue; package node
// implements the router, on the adapters of package platform. Begin reading at run, then
// at node.New.
package main

// The platform loads its library into the program, which therefore has to be linked with
// the system's C library.

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
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"granitehoist.example/granitehoist/escrow"
	"granitehoist.example/granitehoist/internal/boottime"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/logsink"
	"granitehoist.example/granitehoist/node"
	"granitehoist.example/granitehoist/platform"
)

const (
	// logQueueLines is the number of log lines queued for a slow reader; further lines are
	// dropped and counted (log_dropped).
	logQueueLines = 2048
	// logFlushTimeout limits the writing of queued log lines at exit. It must fit between
	// the end of node.Node.Stop (see returnUntilFraction in node/stop.go) and the
	// platform's SIGKILL.
	logFlushTimeout = 100 * time.Millisecond
	// memoryFraction is the Go memory limit as a fraction of limits.memoryMb in the
	// settings file. The platform kills a process that uses more than limits.memoryMb,
	// socket buffers included, so the remaining fraction is left for socket buffers.
	memoryFraction = 0.6
	// signalQueue is the number of signals that are queued, for example during a reload;
	// further ones are dropped.
	signalQueue = 4
)

// main parses the command line and runs the router. It exits with 1 if the settings are
// invalid or an address can't be bound.
func main() {
	app := kingpin.New("granitehoist-edge", "Run a router on the platform until SIGTERM.")
	file := app.Flag("settings", "The settings file.").Envar(platform.SettingsVariable).Required().String()
	metrics := app.Flag("metrics", "The port at which metrics are served; 0 serves none.").Default("0").Int()
	penalty := app.Flag("cross-region-penalty", "The delay that is acceptable to keep a request in the router's region, besides the delay of the network.").Default("0s").Duration()
	lossWindow := app.Flag("store-loss-window", "The greatest age of the copies from which the platform's store may return, the same at all routers. Budgets are not overspent then, although all routers crash; 0 relies on the routers that live.").Default(escrow.DefaultLossWindow.String()).Duration()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*file, *metrics, *penalty, *lossWindow); err != nil {
		fmt.Fprintf(os.Stderr, "granitehoist-edge: %v\n", err)
		os.Exit(1)
	}
}

// run runs the router with the settings in file until SIGTERM or SIGINT, and returns when
// it has stopped. metricsPort is the port of the metrics, zero for none; penalty is
// node.Config.CrossRegionPenalty, lossWindow node.Config.StoreLossWindow.
func run(file string, metricsPort int, penalty, lossWindow time.Duration) error {
	config, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	if metricsPort > 0 {
		config.MetricsAddress = fmt.Sprintf("%s:%d", config.PeerIP, metricsPort)
	}
	config.CrossRegionPenalty = penalty
	config.StoreLossWindow = lossWindow
	if lossWindow == 0 {
		config.StoreLossWindow = escrow.NoLossWindow
	}
	limitMemory(config)
	sink := logsink.New(os.Stdout, logQueueLines)
	defer sink.Close(logFlushTimeout)
	config.LogDropped = sink.Dropped
	log := logsink.NewLogger(sink, zapcore.InfoLevel)
	clock, err := boottime.New()
	if err != nil {
		return err
	}
	config.Clock = clock.Now
	config.Machine = machineOf(clock, log)
	n, err := node.New(config, platform.NewAdapter(platform.StoreSettings{Address: config.StoreAddress}), log)
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

// limitMemory sets Go's memory limit, if the configuration has one.
func limitMemory(c *node.Config) {
	if c.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryFraction * float64(c.MemoryLimit)))
	}
}

// machineOf returns the machine of this process. Without the id or the time of its boot, which it
// logs, a crash loses the tokens that are held.
func machineOf(clock *boottime.Clock, log *zap.Logger) escrow.Machine {
	id, err := boottime.BootID()
	if err != nil {
		log.Warn(event.BootUnknown, zap.Error(err))
		return escrow.Machine{}
	}
	at, err := boottime.BootTime()
	if err != nil {
		log.Warn(event.BootUnknown, zap.Error(err))
		return escrow.Machine{}
	}
	boot := escrow.Boot{ID: xxhash.Sum64String(id), TimeMS: at.UnixMilli()}
	return escrow.Machine{Boot: boot, Started: clock.Started(), SinceBoot: clock.SinceBoot}
}

// reload reads the settings file again after SIGHUP and applies what can be changed at run
// time: the memory limit and the settings that node.Node.Reload applies. It logs the names
// of other changed settings, which need a restart. An invalid file changes nothing.
func reload(n *node.Node, file string, log *zap.Logger) {
	config, err := platform.ReadSettings(file)
	if err != nil {
		log.Error(event.ReloadFailed, zap.Error(err))
		return
	}
	restartNeeded, err := n.Reload(config)
	if err != nil {
		log.Error(event.ReloadFailed, zap.Error(err))
		return
	}
	limitMemory(config)
	log.Info(event.Reload, zap.String("file", file), zap.Strings("waiting_for_restart", restartNeeded))
}
