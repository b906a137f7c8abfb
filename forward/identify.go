// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"granitehoist.example/granitehoist/catalog"
)

// identify decides by which route, for which workspace, at which service and
// until when a request is served, or why it is not. It reads the configuration
// in force (nil before the first one has come), which may be some seconds old;
// the request; whether this router is stopping; and draw, a random number from 0
// up to 1 that chooses among the services of a split route.
//
// A stopping router still reports a wrong path or key, since every other box
// would refuse the request for it too. The priority of a workspace takes
// precedence over that of its route. For a refused request the fields are set that
// were decided before the refusal.
func identify(s *catalog.Snapshot, r *Request, stopping bool, draw float64) (admission, refusal) {
	if s == nil {
		return admission{}, configurationMissing
	}
	a := admission{version: s.Version, keyed: s.Keyed, route: s.Match(r.Host, r.Path)}
	if a.route == nil {
		return a, routeUnknown
	}
	if s.Keyed && !a.route.Anonymous {
		if r.Key == "" {
			return a, keyMissing
		}
		if a.workspace = s.ByKey(r.Key); a.workspace == nil {
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
	a.deadline = r.Arrived.Add(timeoutOf(a.route.Timeout, r.Timeout))
	return a, noRefusal
}
