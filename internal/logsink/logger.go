// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package logsink

import (
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes each event of at least the given level as one
// line of key=value pairs. The logger's name is the value of the key "box", the message
// that of "event". w must be safe for concurrent use.
func NewLogger(w io.Writer, minLevel zapcore.LevelEnabler) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.MessageKey = "event"
	encoding.NameKey = "box"
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(encoding), zapcore.AddSync(w), minLevel))
}
