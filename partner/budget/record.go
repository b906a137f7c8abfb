// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/internal/pack"
)

// recordFormat is the format number of the stored records. A router refuses all
// others.
const recordFormat = 1

// Row is what a page has of one incarnation and budget.
type Row struct {
	// Totals holds the grants as written here and all else as last reported.
	Totals Totals `json:"t"`
	// Rate is the forecast last reported, in tokens a second, and Largest the
	// largest bound of a request.
	Rate    float64             `json:"f,omitempty"`
	Largest granitehoist.Tokens `json:"m,omitempty"`
	// Need is what requests of the incarnation waited for at its last report,
	// and Least what the smallest of them did.
	Need  granitehoist.Tokens `json:"n,omitempty"`
	Least granitehoist.Tokens `json:"y,omitempty"`
}

// Member is what a page has of one incarnation.
type Member struct {
	Box granitehoist.Box `json:"box"`
	// Seen is when it last reported, in Unix seconds.
	Seen int64 `json:"seen"`
	// Closed says that it stopped gracefully and holds nothing.
	Closed bool `json:"closed,omitempty"`
}

// PageAccount is a region's part of one budget.
type PageAccount struct {
	// Received is the total received from the root, Sent the total returned.
	Received granitehoist.Tokens `json:"in,omitempty"`
	Sent     granitehoist.Tokens `json:"out,omitempty"`
	// Confirmed is the part of Sent that the root has said it took back.
	Confirmed granitehoist.Tokens `json:"conf,omitempty"`
	// Folded holds the sums of rows that were removed.
	Folded Totals `json:"folded"`
	// ReportedAt is when the account was last reported to the root, in Unix seconds.
	ReportedAt int64 `json:"told,omitempty"`
	// Limit is what the root lets the region hold, and Elsewhere what the
	// whole budget has left outside the region, as the root last said.
	Limit     granitehoist.Tokens `json:"limit,omitempty"`
	Elsewhere granitehoist.Tokens `json:"else,omitempty"`
	// Rows holds the incarnations that drew on the page.
	Rows map[granitehoist.Incarnation]Row `json:"rows,omitempty"`
}

// Page is the record of a region and a shard of budgets.
type Page struct {
	Format   int                                    `json:"format"`
	Members  map[granitehoist.Incarnation]Member    `json:"members"`
	Accounts map[granitehoist.BudgetID]*PageAccount `json:"accounts"`
}

// RegionRow is what the root has of a region and one budget.
type RegionRow struct {
	// Given is the total given to the region and Back the total taken back.
	Given granitehoist.Tokens `json:"g,omitempty"`
	Back  granitehoist.Tokens `json:"b,omitempty"`
	// Spent is the region's total of charges and Live what it holds that is
	// not in doubt, as last reported.
	Spent granitehoist.Tokens `json:"s,omitempty"`
	Live  granitehoist.Tokens `json:"live,omitempty"`
	// Rate is the region's forecast and Largest the largest bound of a
	// request, as last reported at the Unix second Seen.
	Rate    float64             `json:"f,omitempty"`
	Largest granitehoist.Tokens `json:"m,omitempty"`
	Seen    int64               `json:"seen,omitempty"`
}

// RootAccount is one budget at the root.
type RootAccount struct {
	Prepaid granitehoist.Tokens `json:"prepaid"`
	// PrepaidAt is the serial of the document that Prepaid was read from.
	PrepaidAt granitehoist.Serial               `json:"at"`
	Regions   map[granitehoist.Region]RegionRow `json:"regions,omitempty"`
}

// Root is the record of a shard of budgets.
type Root struct {
	Format   int                                    `json:"format"`
	Accounts map[granitehoist.BudgetID]*RootAccount `json:"accounts"`
}

// NewPage returns a page without accounts.
func NewPage() *Page {
	return &Page{Format: recordFormat, Members: map[granitehoist.Incarnation]Member{}, Accounts: map[granitehoist.BudgetID]*PageAccount{}}
}

// newRoot returns a root without accounts.
func newRoot() *Root {
	return &Root{Format: recordFormat, Accounts: map[granitehoist.BudgetID]*RootAccount{}}
}

// DecodePage reads a stored page. A key that does not exist is an empty page;
// anything else that can't be read is an error and never an empty page.
func DecodePage(e granitehoist.Entry) (*Page, error) {
	page := NewPage()
	if e.Version == 0 {
		return page, nil
	}
	if err := decodeRecord(e, page, &page.Format); err != nil {
		return nil, err
	}
	if page.Members == nil || page.Accounts == nil {
		return nil, eris.Errorf("budget: record %s lacks its tables", e.Key)
	}
	for k, a := range page.Accounts {
		if a == nil {
			return nil, eris.Errorf("budget: record %s has no account %s", e.Key, k)
		}
		if a.Stock() < 0 {
			return nil, eris.Errorf("budget: record %s granted more of %s than it received", e.Key, k)
		}
	}
	return page, nil
}

// DecodeRoot reads a stored root, as DecodePage does a page.
func DecodeRoot(e granitehoist.Entry) (*Root, error) {
	root := newRoot()
	if e.Version == 0 {
		return root, nil
	}
	if err := decodeRecord(e, root, &root.Format); err != nil {
		return nil, err
	}
	if root.Accounts == nil {
		return nil, eris.Errorf("budget: record %s lacks its table", e.Key)
	}
	for k, a := range root.Accounts {
		if a == nil {
			return nil, eris.Errorf("budget: record %s has no account %s", e.Key, k)
		}
	}
	return root, nil
}

// decodeRecord unpacks a stored record and checks its format, which is a field of
// record.
func decodeRecord(e granitehoist.Entry, record any, format *int) error {
	*format = 0
	if err := pack.Unpack(e.Value, record); err != nil {
		return eris.Wrapf(err, "budget: record %s can't be read", e.Key)
	}
	if *format != recordFormat {
		return eris.Errorf("budget: record %s has format %d and not %d", e.Key, *format, recordFormat)
	}
	return nil
}

// encodeRecord returns the stored form, or an error if it is larger than the
// store takes.
func encodeRecord(key string, record any) ([]byte, error) {
	raw, err := pack.Pack(record)
	if err != nil {
		return nil, eris.Wrapf(err, "budget: record %s can't be written", key)
	}
	if len(raw) > granitehoist.MaxValueSize {
		return nil, eris.Errorf("budget: record %s has %d bytes, more than the store takes; raise the number of shards", key, len(raw))
	}
	return raw, nil
}

// Shard numbers a group of budgets that share their records.
type Shard int

// shardOf returns the shard of a budget. All routers must use the same count.
func shardOf(k granitehoist.BudgetID, count int) Shard {
	return Shard(xxhash.Sum64String(string(k)) % uint64(count))
}

const (
	// pagePrefix begins the store's keys of pages.
	pagePrefix = "budget/page/"
	// rootPrefix begins the store's keys of roots.
	rootPrefix = "budget/root/"
)

// PageKey returns the store's key of a page.
func PageKey(r granitehoist.Region, s Shard) string {
	return fmt.Sprintf("%s%s/%04d", pagePrefix, r, s)
}

// RootKey returns the store's key of a root.
func RootKey(s Shard) string { return fmt.Sprintf("%s%04d", rootPrefix, s) }

// Stock returns the tokens that the region has and no incarnation holds.
func (a *PageAccount) Stock() granitehoist.Tokens {
	stock := a.Received - a.Sent - a.Folded.Granted + a.Folded.Returned
	for _, row := range a.Rows {
		stock -= row.Totals.Granted - row.Totals.Returned
	}
	return stock
}

// Spent returns the charges of the region, as last reported.
func (a *PageAccount) Spent() granitehoist.Tokens {
	spent := a.Folded.Spent
	for _, row := range a.Rows {
		spent += row.Totals.Spent
	}
	return spent
}

// Held returns what incarnations hold, as last reported.
func (a *PageAccount) Held() granitehoist.Tokens {
	var held granitehoist.Tokens
	for _, row := range a.Rows {
		held += row.Totals.Held()
	}
	return held
}

// doubtAfter is how long an incarnation may be silent before what it holds counts as in
// doubt: it is shown so, and left out when tokens are divided. Nobody else gets those
// tokens. It is three times reportInterval.
const doubtAfter = 3 * reportInterval

// InDoubt returns what is held by incarnations that have been silent for
// doubtAfter.
func (p *Page) InDoubt(k granitehoist.BudgetID, now time.Time) granitehoist.Tokens {
	a, ok := p.Accounts[k]
	if !ok {
		return 0
	}
	var doubt granitehoist.Tokens
	for incarnation, row := range a.Rows {
		seen := time.Unix(p.Members[incarnation].Seen, 0)
		if now.Sub(seen) > doubtAfter {
			doubt += row.Totals.Held()
		}
	}
	return doubt
}

// Unallocated returns the tokens that no region has. It is below zero after
// the prepaid amount was reduced under what regions have.
func (a *RootAccount) Unallocated() granitehoist.Tokens {
	left := a.Prepaid
	for _, row := range a.Regions {
		left -= row.Given - row.Back
	}
	return left
}

// sorted returns the keys of a map in order, so that what is worked out from
// it does not depend on chance.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
