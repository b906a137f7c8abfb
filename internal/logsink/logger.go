// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package logsink

import (
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a log that writes one line of key=value pairs an event, of
// the given level or above. A named logger tells its name as the box. w is not
// locked.
func NewLogger(w io.Writer, least zapcore.LevelEnabler) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.MessageKey = "event"
	encoding.NameKey = "box"
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(encoding), zapcore.AddSync(w), least))
}
