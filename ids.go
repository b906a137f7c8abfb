// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package granitehoist

import (
	"encoding/hex"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Partner names one of the organisations that share the fleet.
type Partner string

// Region names a set of availability zones that a network partition separates as a whole.
type Region string

// AvailabilityZone names an availability zone.
type AvailabilityZone string

// Box names a machine that runs one router.
type Box string

// Incarnation identifies one run of a router process. Each start of the router on a box has
// a new, unique incarnation.
type Incarnation string

// Workspace names the customer to whom a budget and a key belong. Names are unique within a
// partner.
type Workspace string

// Service names a group of interchangeable upstreams.
type Service string

// Release names a version of an upstream's software. Empty means unknown.
type Release string

// Model is the name of a language model in callers' requests.
type Model string

// Upstream names one model engine or plain service (a back end).
type Upstream string

// RequestID identifies a caller's request. All attempts of a request share it.
type RequestID string

// AttemptID identifies one attempt of a request at an upstream.
type AttemptID string

// Serial is the sequence number of a partner's document, from 1. A later document has a larger
// serial.
type Serial uint64

// Tokens is a number of prepaid tokens, the unit of budgets and charges.
type Tokens int64

// Priority orders requests that wait for the same upstream; a larger priority is served first.
type Priority int

// The range of a Priority. The platform's priority classes have the same range, but class 0
// is the most urgent; package platform converts them.
const (
	// MinPriority is served last.
	MinPriority Priority = 0
	// DefaultPriority applies to requests without a configured priority.
	DefaultPriority Priority = 5
	// MaxPriority is served first.
	MaxPriority Priority = 9
)

// BudgetID identifies a prepaid budget across the fleet as "partner/workspace/name".
type BudgetID string

const (
	// idSeparator separates the parts of a BudgetID. Names of partners and workspaces
	// don't contain it.
	idSeparator = "/"
	// budgetPartCount is the number of parts of a BudgetID.
	budgetPartCount = 3
)

// NewBudgetID returns the id of a workspace's budget. name must be unique within the
// workspace; p and w must not contain a slash.
func NewBudgetID(p Partner, w Workspace, name string) BudgetID {
	return BudgetID(string(p) + idSeparator + string(w) + idSeparator + name)
}

// Partner returns the partner that owns the budget, or "" if the id has no slash.
func (b BudgetID) Partner() Partner {
	p, _, ok := strings.Cut(string(b), idSeparator)
	if !ok {
		return ""
	}
	return Partner(p)
}

// Workspace returns the workspace that owns the budget, or "" if the id is malformed.
func (b BudgetID) Workspace() Workspace {
	parts := strings.SplitN(string(b), idSeparator, budgetPartCount)
	if len(parts) < budgetPartCount {
		return ""
	}
	return Workspace(parts[1])
}

// Name returns the budget's name within its workspace, or "" if the id is malformed.
func (b BudgetID) Name() string {
	parts := strings.SplitN(string(b), idSeparator, budgetPartCount)
	if len(parts) < budgetPartCount {
		return ""
	}
	return parts[2]
}

// The format of an AttemptID: the incarnation, a number, the hash of the budget and the
// request id, separated by dots. Incarnations and request ids may contain dots.
const (
	attemptSeparator = "."
	// partsAfterIncarnation is the number of parts that follow the incarnation.
	partsAfterIncarnation = 3
	// numberBase is the base of numbers and hashes, the largest that strconv supports.
	numberBase = 36
)

// NewAttemptID returns the id of the n-th attempt of an incarnation. It contains the hash of
// the budget, so that an attempt recorded by an upstream can be charged after the
// incarnation has ended. n must be unique within the incarnation.
func NewAttemptID(i Incarnation, n uint64, b BudgetID, r RequestID) AttemptID {
	parts := []string{string(i), strconv.FormatUint(n, numberBase), BudgetHash(b), string(r)}
	return AttemptID(strings.Join(parts, attemptSeparator))
}

// BudgetHash returns the 64-bit hash of a budget's id, as it appears in an AttemptID.
func BudgetHash(b BudgetID) string {
	return strconv.FormatUint(xxhash.Sum64String(string(b)), numberBase)
}

// AttemptParts holds the parsed parts of an AttemptID.
type AttemptParts struct {
	// BudgetHash is the hash of the budget that is charged for the attempt.
	BudgetHash string
	// Request is the id of the request.
	Request RequestID
}

// Parts parses the id of an attempt of incarnation i. It returns false if the id is malformed
// or belongs to another incarnation.
func (a AttemptID) Parts(i Incarnation) (AttemptParts, bool) {
	remaining, ok := strings.CutPrefix(string(a), AttemptPrefix(i))
	parts := strings.SplitN(remaining, attemptSeparator, partsAfterIncarnation)
	if !ok || len(parts) < partsAfterIncarnation {
		return AttemptParts{}, false
	}
	return AttemptParts{BudgetHash: parts[1], Request: RequestID(parts[2])}, true
}

// AttemptPrefix returns the common prefix of the ids of all attempts of an incarnation.
func AttemptPrefix(i Incarnation) string { return string(i) + attemptSeparator }

// EventID is the id of an event of a stream, or none. Ids ascend; the first one may be any, zero
// included. The zero value is none.
type EventID struct {
	number  int64
	present bool
}

// NewEventID returns the id with a number.
func NewEventID(number int64) EventID { return EventID{number: number, present: true} }

// IsNone reports whether there is no id.
func (e EventID) IsNone() bool { return !e.present }

// Number returns the number of the id; zero if there is none.
func (e EventID) Number() int64 { return e.number }

// String returns the number in decimal, and "none" for none.
func (e EventID) String() string {
	if !e.present {
		return "none"
	}
	return fmt.Sprint(e.number)
}

// randomIDBytes is the size of the random part of an identifier; 96 bits make collisions
// negligible.
const randomIDBytes = 12

// NewID returns prefix followed by randomIDBytes bytes of random in hexadecimal. It panics if
// random fails. It is safe for concurrent use if random is, as crypto/rand.Reader is.
func NewID(prefix string, random io.Reader) string {
	var raw [randomIDBytes]byte
	if _, err := io.ReadFull(random, raw[:]); err != nil {
		panic("granitehoist: random source failed: " + err.Error())
	}
	return prefix + hex.EncodeToString(raw[:])
}
