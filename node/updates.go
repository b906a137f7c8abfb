// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/follow"
)

// methodUpdates asks a router what changed under a prefix.
const methodUpdates = "follow.updates"

const (
	// updatesTimeout bounds a call of methodUpdates, in addition to the wait that
	// it asks for. Chosen, not measured; a configuration of 1,640 routes took half of it
	// on a link of 10 Mbit/s until replies were compressed
	// (docs/design/platform.md).
	updatesTimeout = 400 * time.Millisecond
	// maxUpdatesWait bounds the wait that is granted to a caller: above the 0.4 s that
	// package follow asks for.
	maxUpdatesWait = time.Second
	// maxAsked bounds the neighbours that are asked at one time.
	maxAsked = 3
)

// updatesParams asks for what changed under a prefix after a version, to be
// answered at the next change or after Wait.
type updatesParams struct {
	Prefix string               `json:"prefix"`
	After  granitehoist.Version `json:"after"`
	// Wait is in nanoseconds; a receiver grants at most maxUpdatesWait.
	Wait time.Duration `json:"wait,omitempty"`
	// Cut is how long the store has not answered the router that asks, in
	// nanoseconds.
	Cut time.Duration `json:"cut,omitempty"`
}

// askUpdates asks a router what changed, and reports how long the store has
// not answered this one.
func (n *Node) askUpdates(ctx context.Context, to granitehoist.Peer, prefix string, after granitehoist.Version, wait time.Duration) (follow.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+updatesTimeout)
	defer cancel()
	params := updatesParams{Prefix: prefix, After: after, Wait: wait, Cut: n.parts.ledger.CutOffTime(n.clock())}
	var packed follow.PackedUpdate
	if err := n.parts.peers.Call(ctx, to, methodUpdates, params, &packed); err != nil {
		return follow.Update{}, err
	}
	return packed.Unpack()
}

// serveUpdates answers another router. A prefix that this node does not follow
// has no updates: the empty answer changes nothing at the caller.
func (n *Node) serveUpdates(ctx context.Context, params updatesParams) (follow.PackedUpdate, error) {
	n.parts.ledger.NoteNeighbourCutOff(params.Cut, n.clock())
	for _, f := range []*follow.Follower{n.configs.follower, n.instances.follower} {
		if f.Prefix() == params.Prefix {
			return follow.Pack(f.Updates(ctx, params.After, min(params.Wait, maxUpdatesWait)))
		}
	}
	return follow.PackedUpdate{}, nil
}
