// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"encoding/json"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
)

// recordFormat is the format number of a stored Record.
const recordFormat = 1

// RecordKey is the store's key of the record.
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

// Record is the state of all workspaces as it is stored.
type Record struct {
	Format int `json:"format"`
	// Boxes names the incarnation that last wrote for each box.
	Boxes    map[granitehoist.Box]granitehoist.Incarnation `json:"boxes"`
	Accounts map[granitehoist.Workspace]*StoredAccount     `json:"accounts"`
}

// DecodeRecord reads a stored record. A key that does not exist is an empty
// record. The error says that the value is not a record or has another format.
func DecodeRecord(e granitehoist.Entry) (*Record, error) {
	r := &Record{Format: recordFormat}
	if e.Version != 0 {
		if err := json.Unmarshal(e.Value, r); err != nil {
			return nil, eris.Wrapf(err, "escrow: record %s can't be read", e.Key)
		}
	}
	if r.Format != recordFormat {
		return nil, eris.Errorf("escrow: record %s has format %d, not %d", e.Key, r.Format, recordFormat)
	}
	if r.Boxes == nil {
		r.Boxes = map[granitehoist.Box]granitehoist.Incarnation{}
	}
	if r.Accounts == nil {
		r.Accounts = map[granitehoist.Workspace]*StoredAccount{}
	}
	return r, nil
}

// Encode returns the stored form. The error says that it is larger than
// granitehoist.MaxValueSize.
func (r *Record) Encode() ([]byte, error) {
	raw, err := json.Marshal(r)
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
