// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package policy

import "granitehoist.example/granitehoist"

// Set holds the policies of one partner for one use: either requests of its own
// workspaces, or requests of other partners' workspaces on its capacity.
type Set []*Policy

// Decide permits a request if the set is not empty and every policy in it permits
// the request. It returns the lowest priority that any of the policies yields. A
// denied request yields an error with code PolicyDenied. A failed program yields an
// error with code PolicyFailed.
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
			return 0, granitehoist.Errorf(granitehoist.PolicyDenied, "policy %s", p.name)
		}
		priority = min(priority, d.Priority)
	}
	return priority, nil
}
