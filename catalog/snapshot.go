// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package catalog

import (
	"sort"
	"strings"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
)

// Snapshot is a configuration prepared for requests. It does not change and is
// safe for concurrent use.
type Snapshot struct {
	// Version is the store's version of the configuration.
	Version granitehoist.Version
	// Revision is the operators' own number.
	Revision int64
	Limits   Limits
	// Keyed says that requests of routes which are not anonymous need a key.
	Keyed bool
	// hosts holds the routes by canonical host, those with longer prefixes first.
	hosts      map[string][]*Route
	services   map[granitehoist.Service]*Service
	workspaces map[granitehoist.Workspace]*Workspace
	keys       map[string]*Workspace
}

// Build prepares a configuration. It returns an error that names the route or
// workspace that can't be served: a prefix without slashes at its ends, a route
// without services or with a negative weight, a workspace without a name, a key of
// two workspaces. The last of several services or workspaces of the same name wins. The
// snapshot keeps parts of d, which must not change afterwards.
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

// addRoute checks a route and lists it under its host.
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

// addWorkspace checks a workspace and lists it under its name and keys.
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

// canonicalHost returns a host without its port, in lower case. An IPv6 address must
// be in brackets.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Match decides which route serves a request: that of its host with the longest
// prefix of its path. It returns nil if there is none. Among equal prefixes the first
// in the configuration wins.
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

// Workspaces returns the workspaces by name. The map must not be changed.
func (s *Snapshot) Workspaces() map[granitehoist.Workspace]*Workspace { return s.workspaces }
