// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package logsink

import (
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes each event of the given level or above as
// one line of key=value pairs. The name of a logger appears as the key "box", the
// message as the key "event". It calls w from all goroutines that log, so w must be
// safe for concurrent use.
func NewLogger(w io.Writer, minLevel zapcore.LevelEnabler) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.MessageKey = "event"
	encoding.NameKey = "box"
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(encoding), zapcore.AddSync(w), minLevel))
}
