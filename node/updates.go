// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/follow"
)

// methodUpdates is the method that returns what changed under a prefix.
const methodUpdates = "follow.updates"

const (
	// updatesCallTimeout bounds a call of methodUpdates, in addition to the wait that it
	// requests.
	updatesCallTimeout = 400 * time.Millisecond
	// maxUpdatesWait bounds the wait granted to a caller; it is above the wait that
	// package follow requests.
	maxUpdatesWait = time.Second
	// maxNeighboursAsked bounds the number of neighbours queried at a time.
	maxNeighboursAsked = 3
)

// updatesParams requests the changes under a prefix after a version. The response comes
// at the next change or after Wait.
type updatesParams struct {
	Prefix string `json:"prefix"`
	// After is the revision of the caller's copy, and Era the store's era to which it
	// belongs. Routers of older versions know no eras; theirs is nil.
	After uint64            `json:"after"`
	Era   *granitehoist.Era `json:"era,omitempty"`
	// Wait is in nanoseconds; a receiver grants at most maxUpdatesWait.
	Wait time.Duration `json:"wait,omitempty"`
	// Cut is how long the caller has been without a response from the store, in
	// nanoseconds.
	Cut time.Duration `json:"cut,omitempty"`
}

// after returns the version of the caller's copy. If the caller knows no eras, its revision
// counts as one of the receiver's era.
func (p updatesParams) after(receiver granitehoist.Era) granitehoist.Version {
	if p.Era == nil {
		return granitehoist.NewVersion(receiver, p.After)
	}
	return granitehoist.NewVersion(*p.Era, p.After)
}

// askUpdates queries a router for changes, and tells it how long this node has been
// without a response from the store.
func (n *Node) askUpdates(ctx context.Context, to granitehoist.Peer, prefix string, after granitehoist.Version, wait time.Duration) (follow.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+updatesCallTimeout)
	defer cancel()
	era := after.Era()
	params := updatesParams{Prefix: prefix, After: after.Revision(), Era: &era, Wait: wait, Cut: n.components.ledger.StoreUnreachableFor(n.clock())}
	var packed follow.PackedUpdate
	if err := n.components.peers.Call(ctx, to, methodUpdates, params, &packed); err != nil {
		return follow.Update{}, err
	}
	return packed.Unpack()
}

// serveUpdates serves another router's query for changes. For a prefix that this node does
// not follow it returns an empty update, which changes nothing at the caller.
func (n *Node) serveUpdates(ctx context.Context, params updatesParams) (follow.PackedUpdate, error) {
	n.components.ledger.NoteNeighbourUnreachableFor(params.Cut, n.clock())
	for _, f := range []*follow.Follower{n.configs.follower, n.instances.follower} {
		if f.Prefix() == params.Prefix {
			return follow.Pack(f.Updates(ctx, params.after(f.Version().Era()), min(params.Wait, maxUpdatesWait)))
		}
	}
	return follow.PackedUpdate{}, nil
}
