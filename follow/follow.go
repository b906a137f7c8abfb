// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
	"granitehoist.example/granitehoist/internal/event"
)

// Settings configure a Follower.
type Settings struct {
	Store  granitehoist.Store
	Prefix string
	// Relays returns the routers that follow the store for this one, nil if it
	// does so itself. Updates asks one of them.
	Relays func() []granitehoist.Peer
	// Neighbours returns routers that may have a newer copy while the store
	// does not answer; nil asks nobody.
	Neighbours func() []granitehoist.Peer
	// Updates asks a router what changed after a version, waiting a while for a
	// change. It is needed with Relays or Neighbours.
	Updates func(ctx context.Context, to granitehoist.Peer, prefix string, after granitehoist.Version, wait time.Duration) (Update, error)
	// Changed is told of each changed entry, a deleted one included, and of
	// the end of each list or batch of changes. It runs on the follower's own
	// goroutine.
	Changed func(changed []granitehoist.Entry, at granitehoist.Version)
	// Same reports whether an entry that was written anew says what it said
	// before, so that nobody need be told; nil tells everything.
	Same func(before, after granitehoist.Entry) bool
	// Gather is the least time from one watch of the store to the next, so that
	// changes that come together cost one call.
	Gather time.Duration
	// Failed is called with each error of the store; nil ignores them. It runs
	// on the follower's own goroutine.
	Failed func(error)
	// Pause is the time between tries while the store fails; zero stands for
	// DefaultPause.
	Pause time.Duration
	// MaxPause bounds the pause, which doubles while the store fails; zero stands
	// for twice Pause.
	MaxPause time.Duration
	Clock    granitehoist.Clock
	Log      *zap.Logger
}

// DefaultPause keeps the calls of a router whose store fails to a few a second.
const DefaultPause = 250 * time.Millisecond

const (
	// maxPauses is how many pauses the longest one has, unless it is set.
	maxPauses = 2
	// probeWait bounds the watches of a store that failed, so that its return is
	// soon seen: one that was sent before would wait for its whole time.
	probeWait = 100 * time.Millisecond
	// firstListTimeout bounds the first list.
	firstListTimeout = 800 * time.Millisecond
	// fullTimeEvery is how often such a call gets its whole time all the same:
	// the store may be slow.
	fullTimeEvery = 4
	// relayWait is how long a relay holds a question that nothing answers.
	relayWait = 400 * time.Millisecond
	// maxRelayAge is the age above which a relay's word is no longer relied upon.
	maxRelayAge = 1500 * time.Millisecond
	// relayTries is the number of relays that are asked before the store is.
	relayTries = 2
	// avoidRelayFor is how long a relay that failed is left out.
	avoidRelayFor = 2 * time.Second
	// relayWatchWait bounds the watches of a router that is a relay itself, so that
	// what it tells others is not old.
	relayWatchWait = time.Second
	// relayFor is how long after a question a router counts as a relay.
	relayFor = 5 * time.Second
)

// Follower keeps the copy of one prefix. Run drives it.
type Follower struct {
	settings     Settings
	copy         *prefixCopy
	lastQuestion lastTime
	// next chooses the relay that is asked; avoided holds until when relays that
	// failed are left out; watched is when the last watch began.
	next    int
	avoided map[string]time.Time
	watched time.Time
	// failures counts the steps that failed in a row.
	failures int
}

// New returns a follower that knows nothing yet. It panics if the settings
// lack the store or the prefix.
func New(s Settings) *Follower {
	if s.Store == nil || s.Prefix == "" {
		panic("follow: a setting is missing")
	}
	defaults.Set(&s.Pause, DefaultPause)
	defaults.Set(&s.MaxPause, maxPauses*s.Pause)
	if s.Failed == nil {
		s.Failed = func(error) {}
	}
	if s.Changed == nil {
		s.Changed = func([]granitehoist.Entry, granitehoist.Version) {}
	}
	if s.Clock == nil {
		s.Clock = time.Now
	}
	if s.Log == nil {
		s.Log = zap.NewNop()
	}
	nobody := func() []granitehoist.Peer { return nil }
	if s.Relays == nil {
		s.Relays = nobody
	}
	if s.Neighbours == nil {
		s.Neighbours = nobody
	}
	return &Follower{settings: s, copy: newPrefixCopy(s.Same), avoided: map[string]time.Time{}}
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := f.settings.Pause
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if down := err != nil; down != (f.failures > 0) {
			f.logState(down, err)
		}
		if err == nil {
			f.failures = 0
			pause = f.settings.Pause
			continue
		}
		f.failures++
		f.settings.Failed(err)
		f.askNeighbours(ctx)
		sleep(ctx, pause)
		pause = min(2*pause, f.settings.MaxPause)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (f *Follower) logState(down bool, err error) {
	fields := []zap.Field{zap.String("prefix", f.settings.Prefix), zap.Uint64("at", uint64(f.At()))}
	if down {
		f.settings.Log.Warn(event.StoreLost, append(fields, zap.Error(err))...)
		return
	}
	f.settings.Log.Info(event.StoreRegained, fields...)
}

// step takes in what a relay tells, or else what the store does.
func (f *Follower) step(ctx context.Context) error {
	if f.askRelays(ctx) {
		return nil
	}
	if !f.HasCopy() {
		return f.firstList(ctx)
	}
	return f.watch(ctx)
}

// askRelays asks relays in turn, and reports whether one of them is fresh. One
// that is not is left out for a while. If two in a row are not, the store itself
// is asked next.
func (f *Follower) askRelays(ctx context.Context) bool {
	for range relayTries {
		relay, ok := f.nextRelay()
		if !ok {
			return false
		}
		if f.ask(ctx, relay, relayWait) {
			return true
		}
		if ctx.Err() == nil {
			f.avoided[relay.Address] = f.settings.Clock().Add(avoidRelayFor)
			f.settings.Log.Warn(event.RelayLost, zap.String("prefix", f.settings.Prefix), zap.String("relay", string(relay.Incarnation)), zap.Uint64("at", uint64(f.At())))
		}
	}
	return false
}

// nextRelay returns the next relay that did not fail a short while ago.
func (f *Follower) nextRelay() (granitehoist.Peer, bool) {
	relays := f.settings.Relays()
	now := f.settings.Clock()
	for range relays {
		f.next++
		relay := relays[f.next%len(relays)]
		if now.After(f.avoided[relay.Address]) {
			return relay, true
		}
	}
	return granitehoist.Peer{}, false
}

// ask takes in what a router tells, and reports whether that is fresh.
func (f *Follower) ask(ctx context.Context, to granitehoist.Peer, wait time.Duration) bool {
	update, err := f.settings.Updates(ctx, to, f.settings.Prefix, f.At(), wait)
	if err != nil || !update.HasCopy || update.Prefix != f.settings.Prefix {
		return false
	}
	f.apply(update)
	return update.Age <= maxRelayAge
}

// watch waits for changes at the store.
func (f *Follower) watch(ctx context.Context) error {
	sleep(ctx, f.settings.Gather-f.settings.Clock().Sub(f.watched))
	f.watched = f.settings.Clock()
	changed, at, err := f.settings.Store.Watch(ctx, f.settings.Prefix, f.At(), f.watchTime())
	if errors.Is(err, granitehoist.ErrHistoryGone) {
		f.settings.Log.Warn(event.HistoryGone, zap.String("prefix", f.settings.Prefix), zap.Uint64("at", uint64(f.At())))
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	f.apply(Update{At: at, Entries: changed})
	return nil
}

// firstList lists a prefix of which nothing is known. A router that starts while
// the store is silent makes short calls too, but for every so many.
func (f *Follower) firstList(ctx context.Context) error {
	if f.failures%fullTimeEvery != fullTimeEvery-1 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, firstListTimeout)
		defer cancel()
	}
	return f.list(ctx)
}

// watchTime returns how long the next watch may wait; zero is as long as the
// store's client does.
func (f *Follower) watchTime() time.Duration {
	switch {
	case f.failures%fullTimeEvery != 0:
		return probeWait
	case f.lastQuestion.isRecent(relayFor, f.watched):
		return relayWatchWait
	}
	return 0
}

func (f *Follower) list(ctx context.Context) error {
	entries, at, err := f.settings.Store.List(ctx, f.settings.Prefix)
	if err != nil {
		return err
	}
	f.apply(Update{At: at, Complete: true, Entries: entries})
	return nil
}

// askNeighbours asks all at once for what is newer.
func (f *Follower) askNeighbours(ctx context.Context) {
	neighbours := f.settings.Neighbours()
	updates := make(chan Update, len(neighbours))
	after := f.At()
	for _, to := range neighbours {
		go func() {
			update, err := f.settings.Updates(ctx, to, f.settings.Prefix, after, 0)
			update.HasCopy = update.HasCopy && err == nil
			updates <- update
		}()
	}
	for range neighbours {
		u := <-updates
		if !u.HasCopy || u.Prefix != f.settings.Prefix || u.At <= f.At() {
			continue
		}
		f.settings.Log.Info(event.CopyFromNeighbour, zap.String("prefix", f.settings.Prefix), zap.Uint64("at", uint64(u.At)), zap.Duration("age", u.Age))
		f.apply(u)
	}
}

// apply takes an update in and tells what it changed.
func (f *Follower) apply(update Update) {
	first := !f.HasCopy()
	changed := f.copy.apply(update, f.settings.Clock())
	if len(changed) > 0 || first {
		f.settings.Changed(changed, update.At)
	}
}

// Updates returns what changed after a version, waiting for a change if there
// is none. It serves other routers.
func (f *Follower) Updates(ctx context.Context, after granitehoist.Version, wait time.Duration) Update {
	f.lastQuestion.set(f.settings.Clock())
	u, changed := f.copy.changesAfter(after, f.settings.Clock())
	if wait > 0 && len(u.Entries) == 0 && u.HasCopy && u.Age <= maxRelayAge {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-changed:
		}
		u, _ = f.copy.changesAfter(after, f.settings.Clock())
	}
	u.Prefix = f.settings.Prefix
	return u
}

// At returns the store's version of the copy.
func (f *Follower) At() granitehoist.Version { return f.copy.version() }

// HasCopy reports whether the prefix has been read at all.
func (f *Follower) HasCopy() bool { return f.copy.hasCopy() }

// Age returns the time since the copy was last known to be the newest.
func (f *Follower) Age(now time.Time) time.Duration { return f.copy.age(now) }

// Prefix returns the prefix that is followed.
func (f *Follower) Prefix() string { return f.settings.Prefix }
