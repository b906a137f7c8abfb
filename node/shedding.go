// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist/internal/event"
)

const (
	// bitsPerByte and bitsPerMbit turn the link's rate from Mbit/s into bytes a
	// second.
	bitsPerByte = 8
	// bitsPerMbit is a unit, see bitsPerByte.
	bitsPerMbit = 1e6
)

// watchLink reads the link's load and keeps the decision whether this box sheds
// callers, until ctx ends.
func (n *Node) watchLink(ctx context.Context) {
	watch := linkWatch{capacity: n.config.LinkMbps * bitsPerMbit / bitsPerByte}
	ticker := time.NewTicker(linkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		before := watch.shedding
		after := watch.observe(n.parts.meter.Read(n.clock()))
		if before == after {
			continue
		}
		n.shedding.Store(after)
		n.log.Warn(event.Shedding, zap.Bool("on", after), zap.Float64("link_mbps", n.config.LinkMbps), zap.Int("active", n.parts.forwarder.Active()))
	}
}
