// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package main

import (
	"os"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"granitehoist.example/granitehoist/internal/logsink"
)

// newLog returns a log that writes one line of key=value pairs an event to
// standard error.
func newLog(level string) (*zap.Logger, error) {
	var minLevel zapcore.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		return nil, eris.Wrap(err, "log level")
	}
	return logsink.NewLogger(zapcore.Lock(os.Stderr), minLevel), nil
}
