// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router

import (
	"context"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/fleet"
)

// servingEvidence holds what is known about whether registered routers are still serving.
type servingEvidence struct {
	// live holds the routers whose lease was valid when the view was read.
	live map[granitehoist.Incarnation]bool
	// boxes is the platform's list of boxes, empty if there is no list.
	boxes map[granitehoist.Box]bool
}

// mayServe reports whether a registered router may still be serving. An expired lease does
// not prove that the router has stopped, since a router that is partitioned from the store
// goes on serving. A router is known to have stopped only if its lease has expired and its
// box is missing from a list that is not empty.
func (e servingEvidence) mayServe(m fleet.Member) bool {
	_, listed := e.boxes[m.Box]
	return e.live[m.Incarnation] || listed || len(e.boxes) == 0
}

// servingMembers returns the routers that may be serving, and removes the registrations of
// all other routers.
func (r *Router) servingMembers(ctx context.Context) ([]fleet.Member, error) {
	registered, err := fleet.ListServing(ctx, r.settings.Store)
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
	evidence := servingEvidence{live: map[granitehoist.Incarnation]bool{}, boxes: boxes}
	for _, m := range r.store.members.View().Members() {
		evidence.live[m.Incarnation] = true
	}
	var members []fleet.Member
	for _, m := range registered {
		if evidence.mayServe(m) {
			members = append(members, m)
			continue
		}
		// If the removal fails, the next call tries again.
		_ = fleet.DeregisterServing(ctx, r.settings.Store, m)
	}
	return members, nil
}

// platformBoxes returns the platform's list of boxes, empty without a platform.
func (r *Router) platformBoxes(ctx context.Context) (map[granitehoist.Box]bool, error) {
	if r.settings.Platform == nil {
		return map[granitehoist.Box]bool{}, nil
	}
	return r.settings.Platform.Boxes(ctx)
}

// withdraw removes the registration of a crashed router, if there is one.
func (r *Router) withdraw(ctx context.Context, crashed granitehoist.Incarnation) error {
	registered, err := fleet.ListServing(ctx, r.settings.Store)
	if err != nil {
		return err
	}
	for _, m := range registered {
		if m.Incarnation == crashed {
			return fleet.DeregisterServing(ctx, r.settings.Store, m)
		}
	}
	return nil
}
