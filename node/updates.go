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
	// updatesTimeout bounds the way there and back of such a call, the wait for
	// a change not included.
	updatesTimeout = 400 * time.Millisecond
	// maxUpdatesWait bounds the wait that is granted to a caller.
	maxUpdatesWait = time.Second
	// maxAsked bounds the neighbours that are asked at a time.
	maxAsked = 3
)

// updatesParams asks for what changed under a prefix after a version, to be
// answered at the next change or after Wait.
type updatesParams struct {
	Prefix string               `json:"prefix"`
	After  granitehoist.Version `json:"after"`
	Wait   time.Duration        `json:"wait,omitempty"`
	// Cut is how long the store has not answered the asking router.
	Cut time.Duration `json:"cut,omitempty"`
}

// askUpdates asks a router what changed.
func (n *Node) askUpdates(ctx context.Context, to granitehoist.Peer, prefix string, after granitehoist.Version, wait time.Duration) (follow.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+updatesTimeout)
	defer cancel()
	params := updatesParams{Prefix: prefix, After: after, Wait: wait, Cut: n.ledger.StoreSilence(time.Now())}
	var packed follow.PackedUpdate
	if err := n.peers.Call(ctx, to, methodUpdates, params, &packed); err != nil {
		return follow.Update{}, err
	}
	return packed.Unpack()
}

// neighboursToAsk returns some routers, each in its turn.
func (p *peers) neighboursToAsk() []granitehoist.Peer {
	var chosen []granitehoist.Peer
	for _, other := range p.nextNeighbours(maxAsked) {
		chosen = append(chosen, other.peer())
	}
	return chosen
}

// serveUpdates answers another router.
func (n *Node) serveUpdates(ctx context.Context, params updatesParams) (follow.PackedUpdate, error) {
	n.ledger.NoteNeighbourSilence(params.Cut, time.Now())
	for _, f := range []*follow.Follower{n.configs, n.instances} {
		if f.Prefix() == params.Prefix {
			return follow.Pack(f.Updates(ctx, params.After, min(params.Wait, maxUpdatesWait)))
		}
	}
	return follow.PackedUpdate{}, nil
}
