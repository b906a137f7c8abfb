// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router

import (
	"context"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/fleet"
)

// servingEvidence is the input of the rule whether a router that entered itself may
// still serve.
type servingEvidence struct {
	// live holds the routers whose lease stood when the view was read.
	live map[granitehoist.Incarnation]bool
	// boxes is the platform's list; empty if there is none.
	boxes map[granitehoist.Box]bool
}

// mayServe decides whether a router that entered itself may still serve. A lease
// that has ended proves nothing: the router may be cut off from the store and
// serve nevertheless. Only a box that the platform has stopped listing can't
// serve any more. An empty list counts as no list.
func (e servingEvidence) mayServe(m fleet.Member) bool {
	_, listed := e.boxes[m.Box]
	return e.live[m.Incarnation] || listed || len(e.boxes) == 0
}

// servingMembers returns the routers that may serve, and removes the entries of the
// others.
func (r *Router) servingMembers(ctx context.Context) ([]fleet.Member, error) {
	entered, err := fleet.Serving(ctx, r.settings.Store)
	if err != nil {
		return nil, err
	}
	if err := r.store.members.Refresh(ctx); err != nil {
		return nil, err
	}
	boxes, err := r.platformBoxes(ctx)
	if err != nil {
		return nil, err
	}
	seen := servingEvidence{live: map[granitehoist.Incarnation]bool{}, boxes: boxes}
	for _, m := range r.store.members.View().Members() {
		seen.live[m.Incarnation] = true
	}
	var members []fleet.Member
	for _, m := range entered {
		if seen.mayServe(m) {
			members = append(members, m)
			continue
		}
		// If this fails, the next call finds the entry and removes it.
		_ = fleet.Withdraw(ctx, r.settings.Store, m)
	}
	return members, nil
}

// platformBoxes returns the platform's list, empty without a platform.
func (r *Router) platformBoxes(ctx context.Context) (map[granitehoist.Box]bool, error) {
	if r.settings.Platform == nil {
		return map[granitehoist.Box]bool{}, nil
	}
	return r.settings.Platform.Boxes(ctx)
}

// withdraw removes a router that has stopped from those that may serve.
func (r *Router) withdraw(ctx context.Context, dead granitehoist.Incarnation) error {
	entered, err := fleet.Serving(ctx, r.settings.Store)
	if err != nil {
		return err
	}
	for _, m := range entered {
		if m.Incarnation == dead {
			return fleet.Withdraw(ctx, r.settings.Store, m)
		}
	}
	return nil
}
