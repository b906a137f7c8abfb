// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"go.uber.org/zap"

	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/internal/event"
)

// leavingNoted logs that an upstream was said to leave, once for each of its lives: the
// announcement that says so may come much later, or never.
func (n *Node) leavingNoted(note balance.LeavingNote) {
	n.log.Info(event.UpstreamLeaving,
		zap.String("upstream", string(note.ID)),
		zap.String("service", string(note.Service)),
		zap.Bool("observed", note.Observed))
}
