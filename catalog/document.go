// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package catalog

import (
	"time"

	"granitehoist.example/granitehoist"
)

// RouteName names a route within a configuration.
type RouteName string

// Kind says how often a request of a route may run and how it is answered.
type Kind int

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Stream requests are answered by a sequence of events. They run at most
	// once unless the route says that they may be resumed.
	Stream
)

// String returns the name of a kind as logs show it. It panics for a number that
// is none of the kinds.
func (k Kind) String() string {
	return [...]string{"safe", "unsafe", "stream"}[k]
}

// Share is a service's part of the requests of a route.
type Share struct {
	Service granitehoist.Service
	// Weight is its part relative to the sum of the weights of the route; it is
	// not negative.
	Weight float64
}

// Route leads the requests of a host below a path to services. It does not change
// once a Snapshot holds it.
type Route struct {
	Name RouteName
	// Host is compared without port and case.
	Host string
	// Prefix is that of the path. It begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest that a request may be held; zero sets no bound.
	Timeout time.Duration
	// Target is the latency that the operators want for an answer; a later one is
	// worth less to them. Zero if they state none.
	Target time.Duration
	// Pause is the longest pause between two events with which a stream is still in
	// time; zero if the operators state none.
	Pause    time.Duration
	Priority granitehoist.Priority
	Split    []Share
	// MaxAttempts bounds the upstreams that may run one request, the first
	// included; 0 counts as 1.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Affinity says that requests with a common prefix gain by sharing an
	// upstream.
	Affinity bool
	// Resume says that a stream that broke off may continue at another upstream.
	Resume bool
	// Homes are the only regions whose upstreams may get its requests; none set no
	// bound.
	Homes []granitehoist.Region
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resume)
}

// MayRunAgain decides whether a request of the route may run once more after runs
// attempts that ran or may have run: only if it is repeatable, and MaxAttempts
// allows another upstream.
func (r *Route) MayRunAgain(runs int) bool {
	return r.Repeatable() && runs < max(1, r.MaxAttempts)
}

// Service is a group of upstreams that offer the same thing.
type Service struct {
	Name granitehoist.Service
	// TokensPerEvent is the most tokens that one event of a stream holds; zero
	// where events are not counted.
	TokensPerEvent granitehoist.Tokens
	// ColdPerSecond is the number of requests a second, of all routers together, that
	// an upstream bears while it is cold; zero sets no bound.
	ColdPerSecond float64
}

// Workspace is a customer and its rights.
type Workspace struct {
	Name granitehoist.Workspace
	// Keys are the secrets that identify its requests. No two workspaces share
	// one.
	Keys []string
	// Priority replaces that of the route if HasPriority is set.
	Priority    granitehoist.Priority
	HasPriority bool
	// Homes are as those of a route. Both bind where both have some.
	Homes []granitehoist.Region
	// Prepaid is the total that the workspace may ever spend, if Limited is set.
	Prepaid granitehoist.Tokens
	Limited bool
}

// Limits bound what callers send, as the configuration says; zero where it does
// not. Its limits of headers and idle connections are not here: the servers of
// package node are made before a configuration is known and have constants for
// them.
type Limits struct {
	// BodyBytes bounds the body of a request.
	BodyBytes int64
}

// Document is a configuration as operators wrote it, decoded. Build checks it.
type Document struct {
	// Revision is the operators' own number of the configuration.
	Revision   int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// Keyed says that requests of routes which are not anonymous need a key.
	Keyed  bool
	Limits Limits
}

// PickService decides which service of a route's split serves a request. point is a
// random number from 0 up to 1; each service has a part of that range in proportion
// to its weight, in the order of the split. If all weights are zero it
// is the last service. It panics if the split is empty, which Build refuses.
func (r *Route) PickService(point float64) granitehoist.Service {
	var total float64
	for _, share := range r.Split {
		total += share.Weight
	}
	mark := point * total
	for _, share := range r.Split {
		if mark < share.Weight {
			return share.Service
		}
		mark -= share.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
