// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/defaults"
)

// Instance is one run of an upstream as it announced itself.
type Instance struct {
	// ID is new at each start of an upstream.
	ID      granitehoist.Upstream
	Service granitehoist.Service
	// Address is its IP and port.
	Address  string
	Zone     granitehoist.AvailabilityZone
	Capacity int
	// Draining instances finish what they have and get nothing new.
	Draining bool
	// Version is the store's version of the announcement.
	Version granitehoist.Version
}

// Settings configure a Table.
type Settings struct {
	// Zone is this router's own; equal instances nearby are preferred.
	Zone granitehoist.AvailabilityZone
	// Ejection is how long an instance is left out after failures in a row; zero
	// stands for DefaultEject.
	Ejection time.Duration
	// Seed chooses among equals.
	Seed uint64
}

// Constants of the estimate. They need only be roughly right: what counts is
// the order of instances.
const (
	DefaultEjection = 400 * time.Millisecond
	maxEjection     = 4 * time.Second
	// ejectAfterFailures is the number of failures in a row after which an instance is
	// left out.
	ejectAfterFailures = 2
	// tokensPerMS is how fast a prompt is read.
	tokensPerMS = 50.0
	// perRequestMS is how much one more request in progress slows an instance.
	perRequestMS = 4.0
	// failureMS is the weight of an instance all of whose attempts fail.
	failureMS = 400.0
	// otherZoneMS is the weight of being in another availability zone.
	otherZoneMS = 1.0
	// failureWeight is that of the newest attempt in the mean of failures.
	failureWeight = 0.2
	// cacheMissWeight is what sending a beginning away from its home costs besides
	// reading it there, as a part of that.
	cacheMissWeight = 0.5
	// prefixCacheTime is how long a beginning is taken to be in a cache.
	prefixCacheTime = 20 * time.Second
	// maxRememberedPrefixes bounds the beginnings that are remembered of an instance.
	maxRememberedPrefixes = 512
	// removedGrace is how long an instance whose announcement has gone may be
	// used when its service has no other.
	removedGrace = 1500 * time.Millisecond
)

// Table knows the instances of all services and what this router has under way
// at each. It makes no calls and is safe for concurrent use.
type Table struct {
	settings Settings

	mu       sync.Mutex
	random   *rand.Rand
	services map[granitehoist.Service][]*member
	members  map[granitehoist.Upstream]*member
}

type member struct {
	Instance
	inFlight      int
	prefill       granitehoist.Tokens
	failuresInRow int
	failureRate   float64
	ejectedUntil  time.Time
	removedAt     time.Time
	seed          uint64
	// prefixSentAt holds when beginnings were sent here that have their home elsewhere.
	prefixSentAt map[uint64]time.Time
}

// New returns an empty table.
func New(s Settings) *Table {
	defaults.Set(&s.Ejection, DefaultEjection)
	return &Table{
		settings: s,
		random:   rand.New(rand.NewPCG(s.Seed, 1)),
		services: map[granitehoist.Service][]*member{},
		members:  map[granitehoist.Upstream]*member{},
	}
}
