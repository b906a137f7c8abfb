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
	// ID is new at each start of an upstream.
	ID      granitehoist.Upstream
	Service granitehoist.Service
	// Address is its IP and port.
	Address string
	Zone    granitehoist.AvailabilityZone
	// Capacity is the number of requests that it runs at once; zero where the
	// announcement does not say.
	Capacity int
	// Draining instances finish the requests that they have and get no new one.
	Draining bool
	// ColdFor is for how much longer the instance was cold when it announced itself:
	// it then bears only so many requests a second (Query.ColdPerSecond). Zero says
	// that it is warm.
	ColdFor time.Duration
	// Born is when this life of the instance began, in milliseconds since 1970; zero
	// where the announcement does not say. An instance that starts again may keep its
	// ID: of two announcements the one with the later Born is of a new life.
	Born int64
	// Version is the store's version of the announcement.
	Version granitehoist.Version
}

// Life is one life of an instance: one that starts again under its ID has another Born.
type Life struct {
	ID   granitehoist.Upstream
	Born int64
}

// life returns the life that the instance is in.
func (i *Instance) life() Life { return Life{ID: i.ID, Born: i.Born} }

// Settings configure a Table. The zero value works.
type Settings struct {
	// Zone is this router's own; of equal instances it prefers one there.
	Zone granitehoist.AvailabilityZone
	// Seed seeds the random choice among equals.
	Seed uint64
	// Regions holds the region of each availability zone.
	Regions map[granitehoist.AvailabilityZone]granitehoist.Region
	// LimitChanged, if set, is called without a lock held when the table learns of a
	// limit, of another rate, or of the end.
	LimitChanged func(LimitChange)
	// LeavingNoted, if set, is called without a lock held when the table learns that an
	// instance leaves, once for each life.
	LeavingNoted func(LeavingNote)
	// RestNoted, if set, is called without a lock held when an instance asks this router
	// for rest.
	RestNoted func(RestNote)
}

// Table holds the instances of all services, and for each instance this
// router's requests in progress and the results of its attempts. It makes no
// calls and is safe for concurrent use. Its functions that decide take the
// present time as an argument.
type Table struct {
	settings Settings

	// mu guards the fields below, the instances and the open leases.
	mu        sync.Mutex
	random    *rand.Rand
	services  map[granitehoist.Service]*serviceState
	instances map[granitehoist.Upstream]*instanceState
	// evacuated holds the zones whose instances get no attempt.
	evacuated map[granitehoist.AvailabilityZone]bool
	// newsVersion counts what answers to this router itself have said that is news to the
	// others.
	newsVersion uint64
	// earlyLimits holds what others said of instances that are not announced yet.
	earlyLimits map[Life]knownLimit
	// leavers holds the lives that said that they leave.
	leavers leavers
	// spared counts the choices that spared an instance.
	spared Spared
	// wanting holds the instances for which permits are wanted.
	wanting []*instanceState

	// permitsWanted is the channel of PermitsWanted. It holds one.
	permitsWanted chan struct{}
	// deferredChanged is the channel of DeferredChanged; mu guards it.
	deferredChanged chan struct{}
}

// instanceState is an instance with what this router observed of it. The lock of its
// table guards it.
type instanceState struct {
	Instance
	health
	// inFlight is the number of this router's attempts in progress there.
	inFlight int
	// unreadTokens is the part of their prompts that it has yet to read.
	unreadTokens granitehoist.Tokens
	// removedAt is when its announcement was removed; zero while it is there.
	removedAt time.Time
	// leaving says that it said in an answer that it is about to end.
	leaving bool
	// leavingVersion is the table's newsVersion when an answer to this router said so; zero
	// if it has that from others.
	leavingVersion uint64
	// rest is what it has asked this router for.
	rest pushback.Rest
	// coldUntil is when it is expected to be warm; zero if it never was cold.
	coldUntil time.Time
	// admitted is what this router may send it in the present second while it is cold.
	admitted coldAdmission
	// limit is nil if the instance has never named a limit.
	limit *limitState
	// idHash is the hash of its ID, for the choice of a prefix's owner.
	idHash uint64
	// eventGap follows the milliseconds between two events of its streams.
	eventGap quantile
	// slow says that its pace is far above its service's median.
	slow bool
	// prefixSentAt holds by prefix hash when this router last sent the prefix
	// here although another instance owns it.
	prefixSentAt map[uint64]time.Time
}

// New returns an empty table.
func New(s Settings) *Table {
	return &Table{
		settings:  s,
		random:    rand.New(rand.NewPCG(s.Seed, 1)),
		services:  map[granitehoist.Service]*serviceState{},
		instances: map[granitehoist.Upstream]*instanceState{},
		evacuated: map[granitehoist.AvailabilityZone]bool{},

		earlyLimits:     map[Life]knownLimit{},
		permitsWanted:   make(chan struct{}, 1),
		deferredChanged: make(chan struct{}),
	}
}
