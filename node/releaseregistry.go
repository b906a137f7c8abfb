// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package node

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/internal/event"
	"granitehoist.example/granitehoist/internal/pause"
	"granitehoist.example/granitehoist/origin"
	"granitehoist.example/granitehoist/store"
)

// A release may begin streams of a service once it is registered in the store. So a node
// that reads a single registration knows that no stream of the service began at another
// release, at any node. A node that sees an instance of an unregistered release registers
// it; meanwhile streams begin at the other releases.

// methodReleases is the method by which a node reads the registrations that another one
// trusts.
const methodReleases = "releases.read"

const (
	// releasesPrefix is the prefix of the keys of registrations, followed by the escaped
	// service, a slash and the escaped release.
	releasesPrefix = "releases/"
	// registrationValue is the value of a registration, of which only the key matters.
	registrationValue = "{}"
	// registrationSpread spreads the calls of the nodes that see a new release at the same
	// time, so that most of them find it registered.
	registrationSpread = 60 * time.Millisecond
	// registrationRetry is the delay before a failed registration is retried.
	registrationRetry = 300 * time.Millisecond
	// rejectedRetry is the delay before a registration that the store rejected is tried again.
	rejectedRetry = 10 * time.Minute
	// releaseSweepInterval is the time between two comparisons with the instances.
	releaseSweepInterval = 15 * time.Second
)

// releasesParams are the parameters of methodReleases.
type releasesParams struct{}

// releasesResult is the result of methodReleases.
type releasesResult struct {
	Services map[granitehoist.Service][]granitehoist.Release `json:"services,omitempty"`
}

// releaseRegistry keeps a node's copy of the registrations, and registers releases. It is
// safe for concurrent use.
type releaseRegistry struct {
	known *origin.Registry
	store granitehoist.Store
	table *balance.Table
	peers *peers
	clock granitehoist.Clock
	log   *zap.Logger
	// loaded is called once when the registrations have been read after the start.
	loaded func()
	// storeAge returns the age of the copy of the instances.
	storeAge func(now time.Time) time.Duration
	// restored asks run to write again the registrations that the store may have lost.
	restored atomic.Bool
	// eraMu guards eraSince, when this node learned of the store's era, and era.
	eraMu    sync.Mutex
	era      granitehoist.Era
	eraSince time.Time
	// rejectedUntil holds by key until when a registration that the store rejected is not tried
	// again. Only run's goroutine uses it.
	rejectedUntil map[string]time.Time
	// wake wakes run, changed wakes awaitChange. Both have a capacity of one.
	wake, changed chan struct{}

	// readMu is held during a read of the store for only. It guards lastRead, when the last
	// successful read began, and lastList, its result.
	readMu   sync.Mutex
	lastRead map[granitehoist.Service]time.Time
	lastList map[granitehoist.Service][]granitehoist.Release
}

// newReleaseRegistry returns a registry that has read nothing yet.
func newReleaseRegistry(n *Node, c *components) *releaseRegistry {
	return &releaseRegistry{
		known: &origin.Registry{}, store: n.adapter.Store, table: c.table, peers: c.peers, clock: n.clock, log: n.log,
		loaded:        c.suspects.gate.sourceRead,
		storeAge:      func(now time.Time) time.Duration { return n.instances.follower.Age(now) },
		rejectedUntil: map[string]time.Time{},

		wake: make(chan struct{}, 1), changed: make(chan struct{}, 1),
		lastRead: map[granitehoist.Service]time.Time{}, lastList: map[granitehoist.Service][]granitehoist.Release{},
	}
}

// announce handles an announcement of an instance before the table has it.
func (r *releaseRegistry) announce(instance balance.Instance) {
	if r.known.Announce(instance.Service, instance.Release) {
		wake(r.wake)
	}
}

// register records registrations that were read.
func (r *releaseRegistry) register(s granitehoist.Service, releases ...granitehoist.Release) {
	r.known.Register(s, releases...)
	wake(r.changed)
}

// awaitChange waits until a release has been registered, or until the timeout.
func (r *releaseRegistry) awaitChange(ctx context.Context, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.changed:
	}
}

// run reads the registrations, then registers the releases that are announced, until ctx
// ends.
func (r *releaseRegistry) run(ctx context.Context) {
	for !r.load(ctx) && ctx.Err() == nil {
		pause.For(ctx, registrationRetry)
	}
	r.loaded()
	sweptAt := r.clock()
	for ctx.Err() == nil {
		if now := r.clock(); now.Sub(sweptAt) >= releaseSweepInterval {
			sweptAt = now
			r.sweep(ctx, now)
		}
		if r.rewriteLost(ctx) && r.registerPending(ctx) {
			r.awaitWake(ctx)
		} else {
			pause.For(ctx, registrationRetry)
		}
	}
}

// noteEra learns the store's era at now.
func (r *releaseRegistry) noteEra(era granitehoist.Era, now time.Time) {
	r.eraMu.Lock()
	defer r.eraMu.Unlock()
	r.era, r.eraSince = era, now
}

// noteRestored makes run register the releases again whose registrations may be lost.
func (r *releaseRegistry) noteRestored() {
	r.restored.Store(true)
	wake(r.wake)
}

// isComplete reports whether the registrations in the store are complete: the store has
// never been restored, or this node has known its era long enough for all nodes to have
// written again what it had lost.
func (r *releaseRegistry) isComplete(now time.Time) bool {
	r.eraMu.Lock()
	defer r.eraMu.Unlock()
	return r.era == 0 || now.Sub(r.eraSince) >= rewriteTime
}

// rewriteLost registers the releases again whose registrations the store has lost, and
// reports whether it succeeded.
func (r *releaseRegistry) rewriteLost(ctx context.Context) bool {
	if !r.restored.Load() {
		return true
	}
	r.restored.Store(false)
	if !r.peers.rewritesForFleet() {
		return true
	}
	pauseToRewrite(ctx)
	if err := r.tryRewriteLost(ctx); err != nil {
		r.log.Warn(event.ReleaseFailed, zap.Error(err))
		r.restored.Store(true)
		return false
	}
	return true
}

// tryRewriteLost implements rewriteLost and returns the first error of the store.
func (r *releaseRegistry) tryRewriteLost(ctx context.Context) error {
	trusted := r.known.Registered()
	if len(trusted) == 0 {
		return nil
	}
	entries, _, err := r.store.List(ctx, releasesPrefix)
	if err != nil {
		return err
	}
	stored := map[string]bool{}
	for _, e := range entries {
		stored[e.Key] = true
	}
	for service, releases := range trusted {
		for _, release := range releases {
			key := releaseKey(service, release)
			if stored[key] {
				continue
			}
			if err := r.create(ctx, key); err != nil && !r.skipRejected(service, release, err) {
				return err
			}
		}
	}
	return nil
}

// skipRejected reports whether the store rejected the registration of a release. It logs and notes
// that, so that the registration is not tried again for rejectedRetry.
func (r *releaseRegistry) skipRejected(s granitehoist.Service, release granitehoist.Release, err error) bool {
	if !errors.Is(err, granitehoist.ErrRejected) {
		return false
	}
	r.rejectedUntil[releaseKey(s, release)] = r.clock().Add(rejectedRetry)
	r.log.Warn(event.ReleaseFailed, zap.String("service", string(s)), zap.String("release", string(release)), zap.Error(err))
	return true
}

// pending returns the releases that have to be registered, without those that the store rejected a
// short while ago.
func (r *releaseRegistry) pending() map[granitehoist.Service][]granitehoist.Release {
	now := r.clock()
	maps.DeleteFunc(r.rejectedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	pending := map[granitehoist.Service][]granitehoist.Release{}
	for service, releases := range r.known.Pending() {
		for _, release := range releases {
			if _, rejected := r.rejectedUntil[releaseKey(service, release)]; !rejected {
				pending[service] = append(pending[service], release)
			}
		}
	}
	return pending
}

// create writes a registration unless the store has it. It returns the error of the store.
func (r *releaseRegistry) create(ctx context.Context, key string) error {
	_, err := store.Create(ctx, r.store, key, []byte(registrationValue))
	if errors.Is(err, granitehoist.ErrConflict) {
		return nil
	}
	return err
}

// awaitWake waits for an unregistered release, at most until the next sweep.
func (r *releaseRegistry) awaitWake(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseSweepInterval)
	defer cancel()
	waitForWake(ctx, r.wake)
}

// load reads all registrations, from relays or from the store, and reports whether it
// succeeded.
func (r *releaseRegistry) load(ctx context.Context) bool {
	for !r.peers.knowsRelays() && ctx.Err() == nil {
		pause.For(ctx, startPollInterval)
	}
	if r.readPeers(ctx, r.peers.relaysToAsk()) || r.readStore(ctx, releasesPrefix) == nil {
		return true
	}
	return r.readPeers(ctx, r.peers.neighboursToAsk())
}

// readPeers reads the registrations that the first of some nodes trusts which answers and
// has some. It reports whether there is one.
func (r *releaseRegistry) readPeers(ctx context.Context, sources []granitehoist.Peer) bool {
	for _, source := range sources[:min(len(sources), maxPullPeers)] {
		var result releasesResult
		// A node that does not answer is passed over.
		_ = r.peers.Call(ctx, source, methodReleases, releasesParams{}, &result)
		for service, releases := range result.Services {
			r.register(service, releases...)
		}
		if len(result.Services) > 0 {
			return true
		}
	}
	return false
}

// readStore reads the registrations whose keys begin with prefix.
func (r *releaseRegistry) readStore(ctx context.Context, prefix string) error {
	entries, _, err := r.store.List(ctx, prefix)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if service, release, ok := parseReleaseKey(e.Key); ok {
			r.register(service, release)
		}
	}
	return nil
}

// registerPending registers the releases that have to be. It reports whether none is left.
func (r *releaseRegistry) registerPending(ctx context.Context) bool {
	if len(r.pending()) == 0 {
		return true
	}
	if r.readPeers(ctx, r.peers.relaysToAsk()) && len(r.pending()) == 0 {
		return true
	}
	pause.For(ctx, time.Duration(rand.Float64()*float64(registrationSpread)))
	for service, releases := range r.pending() {
		if err := r.registerReleases(ctx, service, releases); err != nil {
			r.log.Warn(event.ReleaseFailed, zap.String("service", string(service)), zap.Error(err))
			r.readPeers(ctx, r.peers.neighboursToAsk())
			return len(r.pending()) == 0
		}
	}
	return true
}

// registerReleases registers releases of a service that the store lacks. A release that the store
// rejects does not hold up the others.
func (r *releaseRegistry) registerReleases(ctx context.Context, s granitehoist.Service, releases []granitehoist.Release) error {
	if err := r.readStore(ctx, releaseKey(s, "")); err != nil {
		return err
	}
	for _, release := range releases {
		if slices.Contains(r.known.Registered()[s], release) {
			continue
		}
		err := r.create(ctx, releaseKey(s, release))
		if r.skipRejected(s, release, err) {
			continue
		}
		if err != nil {
			return err
		}
		r.register(s, release)
		r.log.Info(event.Release, zap.String("service", string(s)), zap.String("release", string(release)))
	}
	return nil
}

// only returns the release of a service if it is the only registered one, as read from the
// store from now on. Calls at the same time share reads. A single registration is no proof
// while this router knows of another one, or the store may lack some.
func (r *releaseRegistry) only(ctx context.Context, s granitehoist.Service, now time.Time) (granitehoist.Release, bool) {
	r.readMu.Lock()
	defer r.readMu.Unlock()
	if r.lastRead[s].Before(now) {
		started := r.clock()
		entries, _, err := r.store.List(ctx, releaseKey(s, ""))
		if err != nil {
			return "", false
		}
		r.lastRead[s], r.lastList[s] = started, nil
		for _, e := range entries {
			if _, release, ok := parseReleaseKey(e.Key); ok {
				r.lastList[s] = append(r.lastList[s], release)
			}
		}
		r.register(s, r.lastList[s]...)
	}
	if len(r.lastList[s]) != 1 || len(r.known.Registered()[s]) != 1 || !r.isComplete(now) {
		return "", false
	}
	return r.lastList[s][0], true
}

// sweep compares the registry with the table, and deletes the registrations of releases
// that have been without instances for long. Only relays delete, from a new copy.
func (r *releaseRegistry) sweep(ctx context.Context, now time.Time) {
	for service := range r.known.Registered() {
		var announced []granitehoist.Release
		for _, status := range r.table.Releases(service) {
			announced = append(announced, status.Release)
		}
		for _, release := range r.known.Sweep(service, announced, now) {
			if r.peers.isRelay() && r.storeAge(now) <= silentStoreAge {
				r.delete(ctx, service, release)
			}
		}
	}
}

// delete deletes a registration. If it fails the registration stays, which is safe.
func (r *releaseRegistry) delete(ctx context.Context, s granitehoist.Service, release granitehoist.Release) {
	entry, err := r.store.Get(ctx, releaseKey(s, release))
	if err == nil && entry.Version > 0 {
		_, err = r.store.CompareAndSwap(ctx, granitehoist.Change{Key: entry.Key, Expect: entry.Version, Delete: true})
	}
	if err != nil && !errors.Is(err, granitehoist.ErrConflict) {
		r.log.Warn(event.ReleaseFailed, zap.String("service", string(s)), zap.String("release", string(release)), zap.Error(err))
	}
}

// serveReleases serves methodReleases.
func (r *releaseRegistry) serveReleases(context.Context, releasesParams) (releasesResult, error) {
	return releasesResult{Services: r.known.Registered()}, nil
}

// releaseKey returns the key of a registration, or their common prefix if the release is
// empty.
func releaseKey(s granitehoist.Service, release granitehoist.Release) string {
	return releasesPrefix + url.PathEscape(string(s)) + "/" + url.PathEscape(string(release))
}

// parseReleaseKey returns the service and the release of the key of a registration; false
// if it is none.
func parseReleaseKey(key string) (granitehoist.Service, granitehoist.Release, bool) {
	service, release, found := strings.Cut(strings.TrimPrefix(key, releasesPrefix), "/")
	if !found {
		return "", "", false
	}
	s, errService := url.PathUnescape(service)
	v, errRelease := url.PathUnescape(release)
	return granitehoist.Service(s), granitehoist.Release(v), errService == nil && errRelease == nil
}
