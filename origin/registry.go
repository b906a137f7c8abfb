// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package origin

import (
	"maps"
	"slices"
	"sync"
	"time"

	"granitehoist.example/granitehoist"
)

const (
	// trustAfterLast is how long a registration is trusted after the last instance of the
	// release has gone. If the release comes back later, it has to be read again.
	trustAfterLast = 5 * time.Minute
	// deleteAfterLast is the time after which the registration may be deleted. By then no
	// router trusts it, and no stream that began there can be resumed.
	deleteAfterLast = 2 * trustAfterLast
)

// Registry holds the releases of each service that may begin streams. The zero value is
// empty. It is safe for concurrent use.
type Registry struct {
	mu       sync.RWMutex
	services map[granitehoist.Service]*releases
	// changed is closed at the next registration.
	changed chan struct{}
}

// releases holds the releases of a service.
type releases struct {
	// registered holds the registrations that this router trusts.
	registered map[granitehoist.Release]bool
	// announced holds the releases with instances.
	announced map[granitehoist.Release]bool
	// goneSince is when the last instance of a registered release was found gone.
	goneSince map[granitehoist.Release]time.Time
	// unregistered caches the announced releases without a registration, sorted.
	unregistered []granitehoist.Release
}

// Announce records that a release has an instance, and reports whether it has to be
// registered.
func (r *Registry) Announce(s granitehoist.Service, release granitehoist.Release) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.service(s)
	known.announced[release] = true
	delete(known.goneSince, release)
	known.update()
	return !known.registered[release]
}

// Register records that releases are registered, as read from the store by this router or
// another one.
func (r *Registry) Register(s granitehoist.Service, registered ...granitehoist.Release) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.service(s)
	for _, release := range registered {
		known.registered[release] = true
	}
	known.update()
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// Unregistered returns the announced releases that must not begin streams yet, and a
// channel that is closed when a release has been registered. The caller must not change
// the slice.
func (r *Registry) Unregistered(s granitehoist.Service) ([]granitehoist.Release, <-chan struct{}) {
	r.mu.RLock()
	known := r.services[s]
	if known == nil || len(known.unregistered) == 0 {
		r.mu.RUnlock()
		return nil, nil
	}
	r.mu.RUnlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.services[s].unregistered, r.changed
}

// Pending returns the announced releases of all services that are not registered.
func (r *Registry) Pending() map[granitehoist.Service][]granitehoist.Release {
	r.mu.RLock()
	defer r.mu.RUnlock()
	pending := map[granitehoist.Service][]granitehoist.Release{}
	for name, known := range r.services {
		if len(known.unregistered) > 0 {
			pending[name] = known.unregistered
		}
	}
	return pending
}

// Registered returns the registrations that this router trusts, sorted.
func (r *Registry) Registered() map[granitehoist.Service][]granitehoist.Release {
	r.mu.RLock()
	defer r.mu.RUnlock()
	registered := map[granitehoist.Service][]granitehoist.Release{}
	for name, known := range r.services {
		registered[name] = slices.Sorted(maps.Keys(known.registered))
	}
	return registered
}

// IsMixed reports whether more than one release may be registered in the store, so that the
// origin of a stream has to be recorded.
func (r *Registry) IsMixed(s granitehoist.Service) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	known := r.services[s]
	if known == nil {
		return false
	}
	count := len(known.registered)
	for release := range known.goneSince {
		if !known.registered[release] {
			count++
		}
	}
	return count > 1
}

// Sweep compares the registry with the releases of a service that have instances. It
// returns the registrations that may be deleted from the store.
func (r *Registry) Sweep(s granitehoist.Service, announced []granitehoist.Release, now time.Time) []granitehoist.Release {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.service(s)
	clear(known.announced)
	for _, release := range announced {
		known.announced[release] = true
		delete(known.goneSince, release)
	}
	for release := range known.registered {
		if _, isGone := known.goneSince[release]; !isGone && !known.announced[release] {
			known.goneSince[release] = now
		}
	}
	var deletable []granitehoist.Release
	for release, since := range known.goneSince {
		if len(known.registered) > 1 && now.Sub(since) >= trustAfterLast {
			delete(known.registered, release)
		}
		if !known.registered[release] && now.Sub(since) >= deleteAfterLast {
			deletable = append(deletable, release)
			delete(known.goneSince, release)
		}
	}
	known.update()
	slices.Sort(deletable)
	return deletable
}

// service returns the releases of a service, creating them if needed. The caller holds mu.
func (r *Registry) service(s granitehoist.Service) *releases {
	known := r.services[s]
	if known == nil {
		known = &releases{registered: map[granitehoist.Release]bool{}, announced: map[granitehoist.Release]bool{}, goneSince: map[granitehoist.Release]time.Time{}}
		if r.services == nil {
			r.services = map[granitehoist.Service]*releases{}
		}
		r.services[s] = known
	}
	return known
}

// update sets unregistered to a new slice.
func (r *releases) update() {
	r.unregistered = nil
	for release := range r.announced {
		if !r.registered[release] {
			r.unregistered = append(r.unregistered, release)
		}
	}
	slices.Sort(r.unregistered)
}
