// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"maps"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
)

const (
	// recordFormat is the format number of a stored Record.
	recordFormat = 1
	// dividedFormat is the format number of a record whose workspaces have moved to
	// shards. A router of an older version that does not support it can't decode the
	// record, and gets no more grants from it.
	dividedFormat = 2
)

// RecordKey is the store's key of the record of all workspaces. In a large fleet this
// record is divided: each shard has a record of its own, which starts with the accounts
// of the shard's workspaces in the divided record. The divided record does not change any
// more.
const RecordKey = "budget/escrow"

// Row is the state of one incarnation's tokens of a workspace.
type Row struct {
	// Granted and Returned only grow.
	Granted  granitehoist.Tokens `json:"g"`
	Returned granitehoist.Tokens `json:"r,omitempty"`
	// Spent and Idle are the spent and the unreserved tokens of the incarnation when it
	// last wrote the row; see owned. Idle is at least zero. They only affect which
	// requests are refused and how large grants are, never what may be spent.
	Spent granitehoist.Tokens `json:"s,omitempty"`
	Idle  granitehoist.Tokens `json:"i,omitempty"`
	// Rate is demand.rate of the incarnation, in tokens a second, when it last wrote the
	// row.
	Rate granitehoist.Tokens `json:"v,omitempty"`
	// Era is the store's era in which the incarnation wrote the row.
	Era granitehoist.Era `json:"e,omitempty"`
	// Bound is what the incarnation can have used, as of when it last wrote the row.
	Bound UseBound `json:"b,omitzero"`
}

// Net returns the tokens that were granted to the incarnation and not returned.
func (r Row) Net() granitehoist.Tokens { return r.Granted - r.Returned }

// HeldCeilings says for how long the store had held some ceilings of an account when it was
// written. A HeldCeilings is not changed after that.
type HeldCeilings struct {
	// Era and Lowerings are the store's era and StoredAccount.Lowerings at that time. In
	// others the ceilings are held anew.
	Era       granitehoist.Era `json:"e,omitempty"`
	Lowerings int              `json:"l,omitempty"`
	Ceilings  []HeldCeiling    `json:"c"`
}

// HeldCeiling is a ceiling and the least time for which the store had held it, in
// milliseconds.
type HeldCeiling struct {
	Total  granitehoist.Tokens `json:"t"`
	HeldMS int64               `json:"ms"`
}

// StoredAccount is the record of one workspace.
type StoredAccount struct {
	// EndedNet is the sum over incarnations that have ended of Row.Net, or of what they can have
	// used of that.
	EndedNet granitehoist.Tokens `json:"f,omitempty"`
	// Ceiling is the most that Outstanding may become before a higher ceiling has been in
	// the store for the loss window, and Durable one that has been. Lowerings counts how
	// often Ceiling was lowered.
	Ceiling   granitehoist.Tokens `json:"c,omitempty"`
	Durable   granitehoist.Tokens `json:"d,omitempty"`
	Lowerings int                 `json:"l,omitempty"`
	// Held holds for how long the store has held ceilings above Durable; nil if that is not
	// known of any.
	Held *HeldCeilings `json:"h,omitempty"`
	// Unconfirmed is how many more tokens can have been granted by writes that the store has
	// lost, in becoming the store of Era.
	Unconfirmed granitehoist.Tokens              `json:"u,omitempty"`
	Era         granitehoist.Era                 `json:"e,omitempty"`
	Rows        map[granitehoist.Incarnation]Row `json:"rows,omitempty"`
}

// Outstanding returns the most tokens that can have been granted and not returned.
func (a *StoredAccount) Outstanding() granitehoist.Tokens { return a.net() + a.Unconfirmed }

// net returns the tokens that were granted and not returned, as far as the account says.
func (a *StoredAccount) net() granitehoist.Tokens {
	net := a.EndedNet
	for _, row := range a.Rows {
		net += row.Net()
	}
	return net
}

// IdleOfOthers returns the sum of the idle tokens that other incarnations last
// reported.
func (a *StoredAccount) IdleOfOthers(self granitehoist.Incarnation) granitehoist.Tokens {
	var idle granitehoist.Tokens
	for incarnation, row := range a.Rows {
		if incarnation != self {
			idle += row.Idle
		}
	}
	return idle
}

// rateOfOthers returns the sum of the rates that other incarnations last reported, in
// tokens a second.
func (a *StoredAccount) rateOfOthers(self granitehoist.Incarnation) granitehoist.Tokens {
	var sum granitehoist.Tokens
	for incarnation, row := range a.Rows {
		if incarnation != self {
			sum += row.Rate
		}
	}
	return sum
}

// Record is the stored state of all workspaces, or of those of a shard.
type Record struct {
	Format int `json:"format"`
	// Shards is the number of shards into which the record was divided, zero if it was
	// not.
	Shards int `json:"shards,omitempty"`
	// Boxes holds the incarnation that last wrote the record, by box.
	Boxes    map[granitehoist.Box]granitehoist.Incarnation `json:"boxes"`
	Accounts map[granitehoist.Workspace]*StoredAccount     `json:"accounts"`
	// ConfirmedIn lists the boxes whose routers may be granted tokens. Its values are the eras
	// in which the routers have confirmed that the record has all that was granted on their
	// boxes.
	ConfirmedIn map[granitehoist.Box]granitehoist.Era `json:"confirmed,omitempty"`
	// era is the era in which the record was read.
	era granitehoist.Era
	// unknown holds the fields that a later version added to the stored record.
	unknown unknownFields
}

// DecodeRecord decodes a stored record. A key that does not exist is an empty record. It
// returns an error if the value is not a record or has an unsupported format.
func DecodeRecord(e granitehoist.Entry) (*Record, error) {
	r := &Record{Format: recordFormat, era: e.Version.Era()}
	if e.Version != 0 {
		unknown, err := decodeWithUnknown(e.Value, r)
		if err != nil {
			return nil, eris.Wrapf(err, "escrow: decode record %s", e.Key)
		}
		r.unknown = unknown
	}
	if r.Format != recordFormat && r.Format != dividedFormat {
		return nil, eris.Errorf("escrow: record %s has format %d, not %d", e.Key, r.Format, recordFormat)
	}
	if r.isDivided() && r.Shards != shardCount {
		return nil, eris.Errorf("escrow: record %s is divided into %d shards, not %d", e.Key, r.Shards, shardCount)
	}
	for w, account := range r.Accounts {
		if account == nil {
			return nil, eris.Errorf("escrow: record %s has a null account for workspace %q", e.Key, w)
		}
	}
	if r.Boxes == nil {
		r.Boxes = map[granitehoist.Box]granitehoist.Incarnation{}
	}
	if r.Accounts == nil {
		r.Accounts = map[granitehoist.Workspace]*StoredAccount{}
	}
	return r, nil
}

// isDivided reports whether the workspaces have moved to shards.
func (r *Record) isDivided() bool { return r.Format == dividedFormat }

// divide marks the record as one whose workspaces have moved to shards. The record must
// not be changed afterwards.
func (r *Record) divide() { r.Format, r.Shards = dividedFormat, shardCount }

// forShard returns the initial record of a shard of a divided record: the rows of the
// shard's workspaces as they were, and the boxes that have not confirmed them.
func (r *Record) forShard(of Shard) *Record {
	p := &Record{
		era:      r.era,
		unknown:  r.unknown,
		Format:   recordFormat,
		Boxes:    maps.Clone(r.Boxes),
		Accounts: map[granitehoist.Workspace]*StoredAccount{},
	}
	for box, era := range r.ConfirmedIn {
		if era < r.era {
			p.list(box, era)
		}
	}
	for w, account := range r.Accounts {
		if ShardOf(w) == of {
			initial := *account
			initial.Rows = maps.Clone(account.Rows)
			p.Accounts[w] = &initial
		}
	}
	return p
}

// Encode returns the stored form. It returns an error if that exceeds
// granitehoist.MaxValueSize.
func (r *Record) Encode() ([]byte, error) {
	raw, err := encodeWithUnknown(r, r.unknown)
	if err != nil {
		return nil, eris.Wrap(err, "escrow: encode record")
	}
	if len(raw) > granitehoist.MaxValueSize {
		return nil, eris.Errorf("escrow: record has %d bytes, the store accepts at most %d", len(raw), granitehoist.MaxValueSize)
	}
	return raw, nil
}

// RegisterIncarnation registers an incarnation, which runs on a machine, as the current one of
// its box. The rows of the previous incarnation are deleted, and what it can have used is added
// to EndedNet: a box runs one router at a time, so the previous one had ended when the machine's
// time was Started. Its successor gets an empty row, unless that one
// had been granted nothing: without a row a restored record would not tell that grants of the
// successor may be lost. Rows of an earlier era stay: another router may know of later grants.
func (r *Record) RegisterIncarnation(box granitehoist.Box, incarnation granitehoist.Incarnation, on Machine) {
	previous, found := r.Boxes[box]
	if found && previous == incarnation {
		return
	}
	r.Boxes[box] = incarnation
	if !found {
		return
	}
	for _, account := range r.Accounts {
		row, ok := account.Rows[previous]
		if !ok || row.isStale(r.era) {
			continue
		}
		account.EndedNet += row.usedBy(on)
		delete(account.Rows, previous)
		if row.Granted > 0 {
			account.Rows[incarnation] = Row{Era: r.era}
		}
	}
}

// account returns the account of a workspace and creates it if there is none.
func (r *Record) account(w granitehoist.Workspace) *StoredAccount {
	a, ok := r.Accounts[w]
	if !ok {
		a = &StoredAccount{Era: r.era}
		r.Accounts[w] = a
	}
	if a.Rows == nil {
		a.Rows = map[granitehoist.Incarnation]Row{}
	}
	return a
}
