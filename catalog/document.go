// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package catalog

import (
	"time"

	"granitehoist.example/granitehoist"
)

// RouteName identifies a route within a configuration.
type RouteName string

// RouteKind determines how often a request of a route may run and whether its response is a
// stream.
type RouteKind int

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe RouteKind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Stream requests get a sequence of events in response. They run at most once unless
	// Route.Resume is set.
	Stream
)

// String returns the name of the kind for logs. It panics if the kind is not one of the
// constants above.
func (k RouteKind) String() string {
	return [...]string{"safe", "unsafe", "stream"}[k]
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service granitehoist.Service
	// Weight, divided by the sum of the weights of the route, is the fraction of the
	// requests. It must not be negative.
	Weight float64
}

// Route maps the requests for a host and a path prefix to services. It must not be changed
// once a Snapshot holds it.
type Route struct {
	Name RouteName
	// Host is compared without port and case.
	Host string
	// Prefix is the path prefix, which begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout is the time from the arrival of a request to its deadline; zero means none.
	Timeout time.Duration
	// TargetLatency is the target latency of a response; zero means none.
	TargetLatency time.Duration
	// MaxEventGap is the target for the longest gap between two events of a stream; zero
	// means none.
	MaxEventGap time.Duration
	Priority    granitehoist.Priority
	Split       []Share
	// MaxAttempts is the maximum number of attempts of one request that ran it or may have
	// run it; zero means one. The maximum is one for routes that are not Repeatable.
	MaxAttempts int
	// Anonymous routes need no API key, even if Document.RequireKey is set.
	Anonymous bool
	// Affinity says that requests with a common prefix should go to the same upstream.
	Affinity bool
	// Resume says that an interrupted stream may continue at another upstream.
	Resume bool
	// AllowedRegions restricts the requests to upstreams of these regions; empty means no
	// restriction.
	AllowedRegions []granitehoist.Region
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resume)
}

// MayRunAgain reports whether a request of the route may be attempted again. runs is the
// number of attempts so far that ran the request or may have run it.
func (r *Route) MayRunAgain(runs int) bool {
	return r.Repeatable() && runs < max(1, r.MaxAttempts)
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name granitehoist.Service
	// TokensPerEvent is the maximum number of tokens in one event of a stream; zero if
	// events are not counted.
	TokensPerEvent granitehoist.Tokens
	// ColdRequestRate is the maximum number of requests per second that all routers together
	// send to an upstream during its warm-up; zero means no limit.
	ColdRequestRate float64
}

// Workspace holds the keys, priority, regions and budget of a customer.
type Workspace struct {
	Name granitehoist.Workspace
	// Keys are the API keys of the workspace's requests. A key belongs to one workspace.
	Keys []string
	// Priority replaces Route.Priority if HasPriority is set.
	Priority    granitehoist.Priority
	HasPriority bool
	// AllowedRegions restricts the requests of the workspace like Route.AllowedRegions. If
	// both are set, both apply.
	AllowedRegions []granitehoist.Region
	// Prepaid is the total budget over all time. It applies if Limited is set.
	Prepaid granitehoist.Tokens
	Limited bool
}

// Limits holds the configurable limits on what clients may send. The limits of headers and
// idle connections are constants in package node, since the servers of package node start
// before a configuration is available.
type Limits struct {
	// BodyBytes is the maximum size of a request's body; zero if the configuration sets none.
	BodyBytes int64
}

// Document is a decoded configuration file. Build validates it.
type Document struct {
	// Revision is the revision number that the operators assign.
	Revision   int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// RequireKey says that routes which are not anonymous require an API key.
	RequireKey bool
	Limits     Limits
}

// PickService chooses a service of the split at random in proportion to the weights. point
// is a random number in [0, 1). If all weights are zero it returns the last service. It
// panics if the split is empty, which Build rejects.
func (r *Route) PickService(point float64) granitehoist.Service {
	var total float64
	for _, share := range r.Split {
		total += share.Weight
	}
	remaining := point * total
	for _, share := range r.Split {
		if remaining < share.Weight {
			return share.Service
		}
		remaining -= share.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
