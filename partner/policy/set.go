// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package policy

import "granitehoist.example/granitehoist"

// Set is the policies of one partner for one use: its own workspaces, or its
// capacity lent to the other partner's workspaces.
type Set []*Policy

// Decide permits a request if the set has a policy and every policy of it
// permits: without a policy nothing may run, and no policy can allow what another
// denies. For the same reason the priority is the lowest that any of them gives. Denial returns an error with code PolicyDenied or
// PolicyFailed. The time of day is r.Time; nothing else is read.
func (s Set) Decide(r Request) (granitehoist.Priority, error) {
	if len(s) == 0 {
		return 0, granitehoist.Errorf(granitehoist.PolicyDenied, "no policy permits workspace %s of %s on %s of %s", r.Workspace, r.Partner, r.Service, r.Owner)
	}
	priority := granitehoist.MaxPriority
	for _, p := range s {
		d, err := p.Decide(r)
		if err != nil {
			return 0, err
		}
		if !d.Permit {
			return 0, granitehoist.Errorf(granitehoist.PolicyDenied, "policy %s of this request's partners", p.name)
		}
		priority = min(priority, d.Priority)
	}
	return priority, nil
}
