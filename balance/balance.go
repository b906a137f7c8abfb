// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pushback"
)

// Instance is one run of an upstream as it announced itself.
type Instance struct {
	// ID identifies the upstream. A restarted upstream may keep its ID; see StartedAtMS.
	ID      granitehoist.Upstream
	Service granitehoist.Service
	// Address is the IP address and port.
	Address string
	Zone    granitehoist.AvailabilityZone
	// Release is the version of the instance's software, empty if unknown.
	Release granitehoist.Release
	// Capacity is the number of requests that the instance runs at once; zero if unknown.
	Capacity int
	// Draining reports that the instance finishes its current requests and accepts no new
	// ones.
	Draining bool
	// ColdFor is how long the instance stays cold from the arrival of the announcement. A
	// cold instance handles a limited request rate (Query.ColdRequestRate). Zero means warm.
	ColdFor time.Duration
	// StartedAtMS is the start time of this incarnation in milliseconds since the Unix
	// epoch; zero if unknown. An instance may restart under the same ID: the announcement
	// with the later StartedAtMS belongs to the newer incarnation.
	StartedAtMS int64
	// Version is the store's version of the announcement.
	Version granitehoist.Version
}

// Incarnation identifies one incarnation of an instance. An instance that restarts under the
// same ID has a different StartedAtMS.
type Incarnation struct {
	ID          granitehoist.Upstream
	StartedAtMS int64
}

// incarnation identifies the current incarnation of the instance.
func (i *Instance) incarnation() Incarnation {
	return Incarnation{ID: i.ID, StartedAtMS: i.StartedAtMS}
}

// Settings configure a Table. The zero value works.
type Settings struct {
	// Zone is this router's own zone, which is preferred among otherwise equal instances.
	Zone granitehoist.AvailabilityZone
	// Seed seeds the random choices.
	Seed uint64
	// Regions holds the region of each availability zone.
	Regions map[granitehoist.AvailabilityZone]granitehoist.Region
	// CrossRegionPenalty is the delay that is acceptable to keep a request in the router's
	// own region, besides the delay of the network. It stands for the price of the bytes
	// between regions.
	CrossRegionPenalty time.Duration
	// OnLimitChange, if set, is called without a lock held when the table learns that a
	// rate limit has been set, changed or lifted.
	OnLimitChange func(LimitChange)
	// OnLeaving, if set, is called without a lock held when the table learns that an
	// instance is leaving, once for each incarnation.
	OnLeaving func(LeavingEvent)
	// OnRejections, if set, is called without a lock held when an instance states another
	// rejection limit than before to this router, or begins to reject requests.
	OnRejections func(RejectionEvent)
	// OnBackoff, if set, is called without a lock held when an instance asks this router
	// to back off.
	OnBackoff func(BackoffEvent)
}

// Table holds the instances of all services and, for each instance, this router's
// requests in progress and the results of its attempts. It makes no calls and is safe for
// concurrent use. Functions that depend on the time take it as an argument.
type Table struct {
	settings Settings

	// mu guards the fields below, the instances and the open leases.
	mu        sync.Mutex
	random    *rand.Rand
	services  map[granitehoist.Service]*serviceState
	instances map[granitehoist.Upstream]*instanceState
	// locality estimates the distances to other zones.
	locality locality
	// evacuated holds the zones whose instances get no attempts.
	evacuated map[granitehoist.AvailabilityZone]bool
	// updateVersion counts the changes that this router learned from responses and that
	// other routers have to be told.
	updateVersion uint64
	// hasRejectionLimits is set once an instance has stated a rejection limit.
	hasRejectionLimits bool
	// pendingLimits holds rate limits that other routers reported for instances not
	// announced yet.
	pendingLimits map[Incarnation]knownLimit
	// leavingIncarnations holds the incarnations that reported that they are leaving.
	leavingIncarnations leavingSet
	// skipCounts is the result of SkipCounts.
	skipCounts SkipCounts
	// awaitingPermits holds the instances for which permits are wanted.
	awaitingPermits []*instanceState

	// permitsWanted is the channel of PermitsWanted, with a buffer of one.
	permitsWanted chan struct{}
	// deferredChanged is the channel of DeferredChanged. It is guarded by mu.
	deferredChanged chan struct{}
}

// instanceState is an instance with this router's observations of it. It is guarded by
// the lock of its table.
type instanceState struct {
	Instance
	health
	// inFlight is the number of this router's attempts in progress at the instance.
	inFlight int
	// queuedTokens counts the uncached prompt tokens of the attempts in progress for which
	// no event has arrived yet.
	queuedTokens granitehoist.Tokens
	// removedAt is when the announcement was removed; zero while the instance is
	// announced.
	removedAt time.Time
	// leaving reports that a response to this router or another one said that the instance
	// is about to end.
	leaving bool
	// leavingVersion is the table's updateVersion at the response that reported leaving;
	// zero if another router reported it first.
	leavingVersion uint64
	// backoff is the backoff that the instance requested from this router.
	backoff pushback.Backoff
	// coldUntil is when the instance is expected to be warm. It is zero or in the past if
	// the instance is warm.
	coldUntil time.Time
	// coldQuota is what this router may send in the current second while the instance is
	// cold.
	coldQuota coldQuota
	// rejections holds the instance's rejection limit and what this router uses of it.
	rejections rejections
	// limit is nil if this router knows of no rate limit that the instance has set.
	limit *limitState
	// idHash is the hash of the ID, for rendezvous hashing.
	idHash uint64
	// eventGap estimates the eventGapQuantile of the times between two events of a stream,
	// in milliseconds.
	eventGap quantile
	// slow reports that the instance is slow for its service (serviceState.markSlow).
	slow bool
	// prefixSentAt holds, by prefix hash, when this router last sent the prefix to this
	// instance while another instance owned the prefix.
	prefixSentAt map[uint64]time.Time
}

// New returns an empty table.
func New(s Settings) *Table {
	return &Table{
		settings:  s,
		locality:  newLocality(s),
		random:    rand.New(rand.NewPCG(s.Seed, 1)),
		services:  map[granitehoist.Service]*serviceState{},
		instances: map[granitehoist.Upstream]*instanceState{},
		evacuated: map[granitehoist.AvailabilityZone]bool{},

		pendingLimits:   map[Incarnation]knownLimit{},
		permitsWanted:   make(chan struct{}, 1),
		deferredChanged: make(chan struct{}),
	}
}
