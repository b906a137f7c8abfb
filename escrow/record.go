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
	// dividedFormat is that of a record whose workspaces have moved to shards. A
	// router that does not know it can't write it, and so owns no more than it did.
	dividedFormat = 2
)

// RecordKey is the store's key of the record of all workspaces. In a large fleet
// each shard has a record of its own, and this one is kept as it was when they were
// divided: what it has of a workspace is where the record of its shard begins.
const RecordKey = "budget/escrow"

// Row is what one incarnation has had of a workspace's tokens.
type Row struct {
	// Granted and Returned only grow.
	Granted  granitehoist.Tokens `json:"g"`
	Returned granitehoist.Tokens `json:"r,omitempty"`
	// Spent and Idle are as the incarnation last reported. They only decide what
	// callers are answered and how large grants are, never what may be spent.
	Spent granitehoist.Tokens `json:"s,omitempty"`
	Idle  granitehoist.Tokens `json:"i,omitempty"`
	// Rate is what the incarnation and its borrowers spend in tokens a second, as
	// it last reported.
	Rate granitehoist.Tokens `json:"v,omitempty"`
}

// Net returns the tokens that the incarnation got and did not return.
func (r Row) Net() granitehoist.Tokens { return r.Granted - r.Returned }

// StoredAccount is the record of one workspace.
type StoredAccount struct {
	// Folded is the sum of the rows of incarnations that have ended.
	Folded granitehoist.Tokens              `json:"f,omitempty"`
	Rows   map[granitehoist.Incarnation]Row `json:"rows,omitempty"`
}

// Taken returns the tokens that are not left in the store.
func (a *StoredAccount) Taken() granitehoist.Tokens {
	taken := a.Folded
	for _, row := range a.Rows {
		taken += row.Net()
	}
	return taken
}

// IdleElsewhere returns what other incarnations last reported to be idle.
func (a *StoredAccount) IdleElsewhere(self granitehoist.Incarnation) granitehoist.Tokens {
	var idle granitehoist.Tokens
	for incarnation, row := range a.Rows {
		if incarnation != self {
			idle += row.Idle
		}
	}
	return idle
}

// rateElsewhere returns what other incarnations last reported to spend, in tokens
// a second.
func (a *StoredAccount) rateElsewhere(self granitehoist.Incarnation) granitehoist.Tokens {
	var sum granitehoist.Tokens
	for incarnation, row := range a.Rows {
		if incarnation != self {
			sum += row.Rate
		}
	}
	return sum
}

// Record is the state of all workspaces, or of those of a shard, as it is stored.
type Record struct {
	Format int `json:"format"`
	// Shards is the number of shards into which the record was divided, zero if it
	// was not.
	Shards int `json:"shards,omitempty"`
	// Boxes names the incarnation that last wrote for each box.
	Boxes    map[granitehoist.Box]granitehoist.Incarnation `json:"boxes"`
	Accounts map[granitehoist.Workspace]*StoredAccount     `json:"accounts"`
	// unknown holds what a later version has put into the stored record.
	unknown unknownFields
}

// DecodeRecord reads a stored record. A key that does not exist is an empty
// record. The error says that the value is not a record or has another format.
func DecodeRecord(e granitehoist.Entry) (*Record, error) {
	r := &Record{Format: recordFormat}
	if e.Version != 0 {
		unknown, err := decodeKeeping(e.Value, r)
		if err != nil {
			return nil, eris.Wrapf(err, "escrow: record %s can't be read", e.Key)
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
			return nil, eris.Errorf("escrow: record %s has nothing of workspace %q", e.Key, w)
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

// divide marks the record as one whose workspaces have moved to shards. Nothing else
// in it may change from then on.
func (r *Record) divide() { r.Format, r.Shards = dividedFormat, shardCount }

// part returns the record with which a shard of a divided record begins: the rows of
// its workspaces as they were.
func (r *Record) part(of Shard) *Record {
	p := &Record{
		unknown:  r.unknown,
		Format:   recordFormat,
		Boxes:    maps.Clone(r.Boxes),
		Accounts: map[granitehoist.Workspace]*StoredAccount{},
	}
	for w, account := range r.Accounts {
		if ShardOf(w) == of {
			p.Accounts[w] = &StoredAccount{Folded: account.Folded, Rows: maps.Clone(account.Rows)}
		}
	}
	return p
}

// Encode returns the stored form. The error says that it is larger than
// granitehoist.MaxValueSize.
func (r *Record) Encode() ([]byte, error) {
	raw, err := encodeKeeping(r, r.unknown)
	if err != nil {
		return nil, eris.Wrap(err, "escrow: record can't be written")
	}
	if len(raw) > granitehoist.MaxValueSize {
		return nil, eris.Errorf("escrow: record has %d bytes, more than the store takes", len(raw))
	}
	return raw, nil
}

// Enter makes an incarnation the present one of its box. The rows of the one
// before it are folded: a box runs one router at a time, so that one has ended.
func (r *Record) Enter(box granitehoist.Box, incarnation granitehoist.Incarnation) {
	before, found := r.Boxes[box]
	if found && before == incarnation {
		return
	}
	r.Boxes[box] = incarnation
	if !found {
		return
	}
	for _, account := range r.Accounts {
		row, ok := account.Rows[before]
		if !ok {
			continue
		}
		account.Folded += row.Net()
		delete(account.Rows, before)
	}
}

// account returns the account of a workspace and creates it if there is none.
func (r *Record) account(w granitehoist.Workspace) *StoredAccount {
	a, ok := r.Accounts[w]
	if !ok {
		a = &StoredAccount{}
		r.Accounts[w] = a
	}
	if a.Rows == nil {
		a.Rows = map[granitehoist.Incarnation]Row{}
	}
	return a
}
