// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"go.uber.org/zap"

	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/internal/event"
)

// restLog logs that upstreams ask this node for rest. It is safe for concurrent use.
type restLog struct {
	node *Node
	// pace bounds the lines of an upstream that turns many requests away.
	pace logPace
}

// noted logs that an upstream asked for rest.
func (l *restLog) noted(note balance.RestNote) {
	if !l.pace.allows(note.ID, l.node.clock()) {
		return
	}
	l.node.log.Info(event.UpstreamRests,
		zap.String("upstream", string(note.ID)),
		zap.String("service", string(note.Service)),
		zap.Duration("asked", note.Asked),
		zap.Duration("left", note.Left))
}
