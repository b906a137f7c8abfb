// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package main

import (
	"os"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// newLog returns a log that writes one line of key=value pairs an event to
// standard error.
func newLog(level string) (*zap.Logger, error) {
	var least zapcore.Level
	if err := least.UnmarshalText([]byte(level)); err != nil {
		return nil, eris.Wrap(err, "log level")
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.MessageKey = "event"
	encoding.NameKey = "box"
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(encoding), zapcore.Lock(os.Stderr), least)), nil
}
