// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package catalog

import (
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
)

// RouteName names a route within a configuration.
type RouteName string

// Kind tells how often a request of a route may run and how it is answered.
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

// String returns the name of a kind as logs show it.
func (k Kind) String() string {
	return [...]string{"safe", "unsafe", "stream"}[k]
}

// Share is a service's part of the requests of a route.
type Share struct {
	Service granitehoist.Service
	Weight  float64
}

// Route leads the requests of a host below a path to services.
type Route struct {
	Name RouteName
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest that a request may be held; zero sets no bound.
	Timeout time.Duration
	// Target is the time within which an answer has its full worth.
	Target   time.Duration
	Priority granitehoist.Priority
	Split    []Share
	// MaxAttempts bounds the upstreams that may run one request.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Affinity says that requests with a common beginning gain by sharing an
	// upstream.
	Affinity bool
	// Resume says that a stream may go on at another upstream.
	Resume bool
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resume)
}

// Service is a group of upstreams that offer the same thing.
type Service struct {
	Name       granitehoist.Service
	HealthPath string
	// TokensPerEvent is the most tokens that one event of a stream holds; zero
	// where events are not counted.
	TokensPerEvent granitehoist.Tokens
	// Capacity is the number of requests that an upstream runs at once; zero
	// where the configuration says nothing.
	Capacity int
}

// Workspace is a customer and its rights.
type Workspace struct {
	Name granitehoist.Workspace
	Keys []string
	// Priority goes before that of the route if HasPriority is set.
	Priority    granitehoist.Priority
	HasPriority bool
	// Prepaid is what the workspace may spend in all if Limited is set.
	Prepaid granitehoist.Tokens
	Limited bool
}

// Limits bound what callers send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	Idle          time.Duration
}

// Document is a configuration as operators wrote it, decoded.
type Document struct {
	// Revision is the operators' own number of the configuration.
	Revision   int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// Keyed says that routes which are not anonymous need a key.
	Keyed  bool
	Limits Limits
}

// Snapshot is a configuration prepared for requests. It does not change.
type Snapshot struct {
	// Version is the store's version of the configuration.
	Version granitehoist.Version
	// Revision is the operators' own number.
	Revision   int64
	Limits     Limits
	Keyed      bool
	hosts      map[string][]*Route
	services   map[granitehoist.Service]*Service
	workspaces map[granitehoist.Workspace]*Workspace
	keys       map[string]*Workspace
}

// Build prepares a configuration. It returns an error that names the route or
// workspace that can't be served.
func Build(d *Document, version granitehoist.Version) (*Snapshot, error) {
	s := &Snapshot{
		Version:    version,
		Revision:   d.Revision,
		Limits:     d.Limits,
		Keyed:      d.Keyed,
		hosts:      map[string][]*Route{},
		services:   map[granitehoist.Service]*Service{},
		workspaces: map[granitehoist.Workspace]*Workspace{},
		keys:       map[string]*Workspace{},
	}
	for i := range d.Services {
		s.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Routes {
		if err := s.addRoute(&d.Routes[i]); err != nil {
			return nil, err
		}
	}
	for _, routes := range s.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range d.Workspaces {
		if err := s.addWorkspace(&d.Workspaces[i]); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *Snapshot) addRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return eris.Errorf("catalog: route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	}
	if len(r.Split) == 0 {
		return eris.Errorf("catalog: route %q leads to no service", r.Name)
	}
	for _, share := range r.Split {
		if share.Weight < 0 {
			return eris.Errorf("catalog: route %q: service %q has a negative weight", r.Name, share.Service)
		}
	}
	host := canonicalHost(r.Host)
	s.hosts[host] = append(s.hosts[host], r)
	return nil
}

func (s *Snapshot) addWorkspace(w *Workspace) error {
	if w.Name == "" {
		return eris.New("catalog: a workspace has no name")
	}
	s.workspaces[w.Name] = w
	for _, key := range w.Keys {
		if other, taken := s.keys[key]; taken && other.Name != w.Name {
			return eris.Errorf("catalog: workspaces %q and %q share a key", other.Name, w.Name)
		}
		s.keys[key] = w
	}
	return nil
}

// canonicalHost drops the port of a host and folds its letters.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Match returns the route of a host with the longest prefix that begins the
// path, and nil if there is none.
func (s *Snapshot) Match(host, path string) *Route {
	for _, r := range s.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service, and nil if the configuration has none of the name.
func (s *Snapshot) Service(name granitehoist.Service) *Service { return s.services[name] }

// ByKey returns the workspace that holds a key, and nil if none does.
func (s *Snapshot) ByKey(key string) *Workspace { return s.keys[key] }

// Workspaces returns the workspaces by name. The map is not to be changed.
func (s *Snapshot) Workspaces() map[granitehoist.Workspace]*Workspace { return s.workspaces }

// Pick returns the service of a route's split at a point from 0 up to 1.
func (r *Route) Pick(point float64) granitehoist.Service {
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

// Current holds the snapshot in force. The zero value holds none. It is safe
// for concurrent use.
type Current struct {
	newest atomic.Pointer[Snapshot]
}

// Get returns the snapshot in force, nil before the first.
func (c *Current) Get() *Snapshot { return c.newest.Load() }

// Offer puts a snapshot in force if it is newer than the present one, and
// reports whether it did.
func (c *Current) Offer(s *Snapshot) bool {
	for {
		old := c.newest.Load()
		if old != nil && old.Version >= s.Version {
			return false
		}
		if c.newest.CompareAndSwap(old, s) {
			return true
		}
	}
}
