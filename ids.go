// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package granitehoist

import (
	"encoding/hex"
	"io"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Partner names one of the organisations that share the fleet.
type Partner string

// Region names a set of availability zones that is cut off, or reachable, as a whole.
type Region string

// AvailabilityZone names an availability zone.
type AvailabilityZone string

// Box names a machine that runs one router.
type Box string

// Incarnation names one run of a router process. A box has a new incarnation
// each time its router starts; an incarnation is never used twice.
type Incarnation string

// Workspace names a customer of a partner. Workspace names are unique within
// their partner only.
type Workspace string

// Service names a group of upstreams that offer the same thing.
type Service string

// Model names a language model as callers write it.
type Model string

// Upstream names one back end of a service.
type Upstream string

// RequestID names a request of a caller. All attempts of one request share it.
type RequestID string

// AttemptID names one sending of a request to one upstream.
type AttemptID string

// Serial numbers the documents of one partner, from 1. A later document has a
// larger one.
type Serial uint64

// Tokens counts prepaid tokens. It is the unit of every budget and charge.
type Tokens int64

// Priority orders requests that wait for the same upstream; a larger number is
// served first.
type Priority int

// The range of a Priority. The priority classes of the users' platform are 0 to 9
// as well, but 0 is their most urgent; package platform turns them round.
const (
	// MinPriority is served last.
	MinPriority Priority = 0
	// DefaultPriority is that of a request for which nobody chose one.
	DefaultPriority Priority = 5
	// MaxPriority is served first.
	MaxPriority Priority = 9
)

// BudgetID names a prepaid budget across the fleet, as
// "partner/workspace/name".
type BudgetID string

const (
	// idSeparator stands between the parts of a BudgetID. Partners and workspaces
	// have none in their names.
	idSeparator = "/"
	// budgetPartCount is the number of parts of a BudgetID.
	budgetPartCount = 3
)

// NewBudgetID returns the fleet-wide name of a workspace's budget. name is unique
// within the workspace.
func NewBudgetID(p Partner, w Workspace, name string) BudgetID {
	return BudgetID(string(p) + idSeparator + string(w) + idSeparator + name)
}

// Partner returns the partner that owns the budget, or "" if the id is not
// of the form that NewBudgetID makes.
func (b BudgetID) Partner() Partner {
	p, _, ok := strings.Cut(string(b), idSeparator)
	if !ok {
		return ""
	}
	return Partner(p)
}

// Workspace returns the workspace that owns the budget, or "" if the id is
// not of the form that NewBudgetID makes.
func (b BudgetID) Workspace() Workspace {
	parts := strings.SplitN(string(b), idSeparator, budgetPartCount)
	if len(parts) < budgetPartCount {
		return ""
	}
	return Workspace(parts[1])
}

// Name returns the budget's name within its workspace, or "" if the id is not
// of the form that NewBudgetID makes.
func (b BudgetID) Name() string {
	parts := strings.SplitN(string(b), idSeparator, budgetPartCount)
	if len(parts) < budgetPartCount {
		return ""
	}
	return parts[2]
}

// Parts of an AttemptID, in their order: the incarnation, a number, the hash of
// the budget, the request. Numbers and hashes have no dots; incarnations and
// requests may.
const (
	attemptSeparator = "."
	// partsAfterIncarnation is the number of parts after the first.
	partsAfterIncarnation = 3
	// numberBase writes numbers and hashes with digits and lower-case letters, the
	// shortest form that strconv offers.
	numberBase = 36
)

// NewAttemptID names the n-th attempt of an incarnation. An upstream's record of
// the attempt therefore tells whom to charge, even after the incarnation has
// ended. n must not repeat within an incarnation.
func NewAttemptID(i Incarnation, n uint64, b BudgetID, r RequestID) AttemptID {
	parts := []string{string(i), strconv.FormatUint(n, numberBase), BudgetHash(b), string(r)}
	return AttemptID(strings.Join(parts, attemptSeparator))
}

// BudgetHash returns the short name of a budget in an AttemptID: a hash of 64
// bits, from which the budget can't be read back.
func BudgetHash(b BudgetID) string {
	return strconv.FormatUint(xxhash.Sum64String(string(b)), numberBase)
}

// AttemptParts is what an AttemptID says of its attempt.
type AttemptParts struct {
	// BudgetHash is the BudgetHash of the budget that pays for it.
	BudgetHash string
	// Request is the request that it serves.
	Request RequestID
}

// Parts returns the parts of the id of an attempt of i, and false if the id is not
// one that NewAttemptID makes for i.
func (a AttemptID) Parts(i Incarnation) (AttemptParts, bool) {
	remaining, ok := strings.CutPrefix(string(a), AttemptPrefix(i))
	parts := strings.SplitN(remaining, attemptSeparator, partsAfterIncarnation)
	if !ok || len(parts) < partsAfterIncarnation {
		return AttemptParts{}, false
	}
	return AttemptParts{BudgetHash: parts[1], Request: RequestID(parts[2])}, true
}

// AttemptPrefix returns what the ids of all attempts of an incarnation begin with.
func AttemptPrefix(i Incarnation) string { return string(i) + attemptSeparator }

// randomIDBytes is the random part of an identifier, 96 bits: two of them are not expected
// to be equal in the life of a fleet.
const randomIDBytes = 12

// NewID returns a random identifier with the given prefix: randomIDBytes of random
// as hexadecimal digits. It panics if random fails, since no safe identifier can be
// made then. It is safe for concurrent use if random is, as crypto/rand.Reader is.
func NewID(prefix string, random io.Reader) string {
	var raw [randomIDBytes]byte
	if _, err := io.ReadFull(random, raw[:]); err != nil {
		panic("granitehoist: random source failed: " + err.Error())
	}
	return prefix + hex.EncodeToString(raw[:])
}
