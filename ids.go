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

// The range of a Priority and the value given where nobody chose one.
const (
	MinPriority     Priority = 0
	DefaultPriority Priority = 5
	MaxPriority     Priority = 9
)

// BudgetID names a prepaid budget across the fleet, as
// "partner/workspace/name".
type BudgetID string

const idSeparator = "/"

// NewBudgetID returns the fleet-wide name of a workspace's budget.
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
	parts := strings.SplitN(string(b), idSeparator, 3)
	if len(parts) < 3 {
		return ""
	}
	return Workspace(parts[1])
}

// Name returns the budget's name within its workspace, or "" if the id is not
// of the form that NewBudgetID makes.
func (b BudgetID) Name() string {
	parts := strings.SplitN(string(b), idSeparator, 3)
	if len(parts) < 3 {
		return ""
	}
	return parts[2]
}

// Parts of an AttemptID, in their order: the incarnation, a number, the hash of
// the budget, the request. Incarnations, numbers and hashes have no dots.
const (
	attemptSeparator = "."
	attemptParts     = 4
	numberBase       = 36
)

// NewAttemptID names the n-th attempt of an incarnation, so that an upstream's
// record of it tells whom to charge even if the incarnation is gone.
func NewAttemptID(i Incarnation, n uint64, b BudgetID, r RequestID) AttemptID {
	parts := []string{string(i), strconv.FormatUint(n, numberBase), BudgetHash(b), string(r)}
	return AttemptID(strings.Join(parts, attemptSeparator))
}

// BudgetHash is the short name of a budget in an AttemptID.
func BudgetHash(b BudgetID) string {
	return strconv.FormatUint(xxhash.Sum64String(string(b)), numberBase)
}

// Parts returns the incarnation, the hash of the budget and the request of an
// attempt, and false if the id is not of the form that NewAttemptID makes.
func (a AttemptID) Parts() (i Incarnation, budgetHash string, r RequestID, ok bool) {
	parts := strings.SplitN(string(a), attemptSeparator, attemptParts)
	if len(parts) < attemptParts {
		return "", "", "", false
	}
	return Incarnation(parts[0]), parts[2], RequestID(parts[3]), true
}

// AttemptPrefix is what the ids of all attempts of an incarnation begin with.
func AttemptPrefix(i Incarnation) string { return string(i) + attemptSeparator }

const randomIDBytes = 12

// NewID returns a random identifier with the given prefix, drawn from random.
// It panics if random fails, since no safe identifier can be made then.
func NewID(prefix string, random io.Reader) string {
	var raw [randomIDBytes]byte
	if _, err := io.ReadFull(random, raw[:]); err != nil {
		panic("granitehoist: random source failed: " + err.Error())
	}
	return prefix + hex.EncodeToString(raw[:])
}
