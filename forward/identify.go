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
// would refuse the request for it too. The priority of a workspace takes precedence over that of
// its route. For a refused request the fields are set that were decided before
// the refusal.
func identify(s *catalog.Snapshot, r *Request, stopping bool, draw float64) (decided, refusal) {
	if s == nil {
		return decided{}, configurationMissing
	}
	d := decided{version: s.Version, keyed: s.Keyed, route: s.Match(r.Host, r.Path)}
	if d.route == nil {
		return d, routeUnknown
	}
	if s.Keyed && !d.route.Anonymous {
		if r.Key == "" {
			return d, keyMissing
		}
		if d.workspace = s.ByKey(r.Key); d.workspace == nil {
			return d, keyUnknown
		}
	}
	if stopping {
		return d, routerStopping
	}
	if d.service = s.Service(d.route.Pick(draw)); d.service == nil {
		return d, serviceMissing
	}
	d.priority = d.route.Priority
	if d.workspace != nil && d.workspace.HasPriority {
		d.priority = d.workspace.Priority
	}
	d.deadline = r.Arrived.Add(timeoutOf(d.route.Timeout, r.Timeout))
	return d, noRefusal
}
