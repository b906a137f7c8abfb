// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"granitehoist.example/granitehoist/catalog"
)

// identify determines the route, workspace, service, priority and deadline of a request,
// or why it is refused; the fields decided before a refusal are set. s is nil before the
// first configuration has arrived. draw is a random number in [0, 1) that selects among
// the services of a split route.
//
// A stopping router still reports an unknown route or key, since every other box would
// refuse the request as well. The priority of a workspace overrides that of the route.
func identify(s *catalog.Snapshot, r *Request, stopping bool, draw float64) (admission, refusal) {
	if s == nil {
		return admission{}, configurationMissing
	}
	a := admission{version: s.Version, requireKey: s.RequireKey, route: s.Match(r.Host, r.Path)}
	if a.route == nil {
		return a, routeUnknown
	}
	if s.RequireKey && !a.route.Anonymous {
		if r.Key == "" {
			return a, keyMissing
		}
		if a.workspace = s.WorkspaceByKey(r.Key); a.workspace == nil {
			return a, keyUnknown
		}
	}
	if stopping {
		return a, routerStopping
	}
	if a.service = s.Service(a.route.PickService(draw)); a.service == nil {
		return a, serviceMissing
	}
	a.priority = a.route.Priority
	if a.workspace != nil && a.workspace.HasPriority {
		a.priority = a.workspace.Priority
	}
	a.deadline = r.Arrived.Add(effectiveTimeout(a.route.Timeout, r.Timeout))
	return a, noRefusal
}
