// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package catalog

import (
	"sort"
	"strings"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
)

// Snapshot is an immutable configuration, indexed for request routing. It is safe for
// concurrent use.
type Snapshot struct {
	// Version is the store's version of the configuration.
	Version granitehoist.Version
	// Revision is the revision number that the operators assign.
	Revision int64
	Limits   Limits
	// RequireKey says that routes which are not anonymous require an API key.
	RequireKey bool
	// routesByHost holds the routes by canonical host, longest prefix first.
	routesByHost    map[string][]*Route
	services        map[granitehoist.Service]*Service
	workspaces      map[granitehoist.Workspace]*Workspace
	workspacesByKey map[string]*Workspace
}

// Build validates a configuration and returns its snapshot. It returns an error that names
// the invalid route or workspace: a prefix that does not begin and end with a slash, a route
// without services or with a negative weight, a workspace without a name, or a key of two
// workspaces. Of several services or workspaces with the same name the last one wins. The
// snapshot refers to d, which must not be changed afterwards.
func Build(d *Document, version granitehoist.Version) (*Snapshot, error) {
	s := &Snapshot{
		Version:         version,
		Revision:        d.Revision,
		Limits:          d.Limits,
		RequireKey:      d.RequireKey,
		routesByHost:    map[string][]*Route{},
		services:        map[granitehoist.Service]*Service{},
		workspaces:      map[granitehoist.Workspace]*Workspace{},
		workspacesByKey: map[string]*Workspace{},
	}
	for i := range d.Services {
		s.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Routes {
		if err := s.addRoute(&d.Routes[i]); err != nil {
			return nil, err
		}
	}
	for _, routes := range s.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range d.Workspaces {
		if err := s.addWorkspace(&d.Workspaces[i]); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// addRoute validates a route and indexes it by its host.
func (s *Snapshot) addRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return eris.Errorf("catalog: route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	}
	if len(r.Split) == 0 {
		return eris.Errorf("catalog: route %q has no services", r.Name)
	}
	for _, share := range r.Split {
		if share.Weight < 0 {
			return eris.Errorf("catalog: route %q: service %q has a negative weight", r.Name, share.Service)
		}
	}
	host := canonicalHost(r.Host)
	s.routesByHost[host] = append(s.routesByHost[host], r)
	return nil
}

// addWorkspace validates a workspace and indexes it by its name and keys.
func (s *Snapshot) addWorkspace(w *Workspace) error {
	if w.Name == "" {
		return eris.New("catalog: a workspace has no name")
	}
	s.workspaces[w.Name] = w
	for _, key := range w.Keys {
		if other, found := s.workspacesByKey[key]; found && other.Name != w.Name {
			return eris.Errorf("catalog: workspaces %q and %q share a key", other.Name, w.Name)
		}
		s.workspacesByKey[key] = w
	}
	return nil
}

// canonicalHost returns a host in lower case and without its port. An IPv6 address must be
// in brackets.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Match returns the route of a host whose Prefix is the longest one that path begins with,
// and nil if no route matches. Of several routes with the same prefix the first in the
// configuration wins.
func (s *Snapshot) Match(host, path string) *Route {
	for _, r := range s.routesByHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with a name, and nil if there is none.
func (s *Snapshot) Service(name granitehoist.Service) *Service { return s.services[name] }

// WorkspaceByKey returns the workspace of a key, and nil if the key is unknown.
func (s *Snapshot) WorkspaceByKey(key string) *Workspace { return s.workspacesByKey[key] }

// Workspaces returns the workspaces by name. The caller must not change the map.
func (s *Snapshot) Workspaces() map[granitehoist.Workspace]*Workspace { return s.workspaces }
