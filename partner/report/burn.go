// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package report

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"granitehoist.example/granitehoist"
)

// The service levels: each objective is to hold for 95 in 100.
const (
	FirstTokenLevel = 1100 * time.Millisecond
	BetweenLevel    = 61 * time.Millisecond
	slowAllowance   = 0.05
	bucketLength    = 5 * time.Minute
	bucketCount     = 288
	maxRecordedKeys = 2000
	bucketSeconds   = int64(bucketLength / time.Second)
)

// Windows are those that a burn report is made for.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 24 * time.Hour}

// Key is what burn is told apart by.
type Key struct {
	Service   granitehoist.Service          `json:"service"`
	Workspace granitehoist.Workspace        `json:"workspace"`
	Zone      granitehoist.AvailabilityZone `json:"place"`
}

// Counts are the requests of a key in some time.
type Counts struct {
	// Requests have ended, whatever their result.
	Requests int `json:"requests"`
	// First and Between count answers with a first token and gaps between
	// tokens, and SlowFirst and SlowBetween those beyond the levels.
	First       int `json:"first"`
	SlowFirst   int `json:"slow_first"`
	Between     int `json:"between"`
	SlowBetween int `json:"slow_between"`
	// Refused were not run for want of budget, room or upstreams; Errors ended
	// with an upstream's or a router's failure. What the caller did wrong
	// counts as neither.
	Refused int `json:"refused"`
	Errors  int `json:"errors"`
}

// Add returns the sum of two counts.
func (c Counts) Add(d Counts) Counts {
	return Counts{
		Requests:    c.Requests + d.Requests,
		First:       c.First + d.First,
		SlowFirst:   c.SlowFirst + d.SlowFirst,
		Between:     c.Between + d.Between,
		SlowBetween: c.SlowBetween + d.SlowBetween,
		Refused:     c.Refused + d.Refused,
		Errors:      c.Errors + d.Errors,
	}
}

// CountFirst enters an answer whose first token took a time.
func (c *Counts) CountFirst(took time.Duration) {
	c.First++
	if took > FirstTokenLevel {
		c.SlowFirst++
	}
}

// CountBetween enters a gap between two tokens.
func (c *Counts) CountBetween(gap time.Duration) {
	c.Between++
	if gap > BetweenLevel {
		c.SlowBetween++
	}
}

// codeRanges: 30xx and 40xx are refusals, 50xx and 60xx failures.
const (
	refusalCodes  = 3000
	failureCodes  = 5000
	documentCodes = 7000
)

// CountsOf returns the counts of one request's result.
func CountsOf(code granitehoist.Code) Counts {
	c := Counts{Requests: 1}
	switch {
	case code == granitehoist.AlreadyRun:
	case code >= failureCodes && code < documentCodes:
		c.Errors = 1
	case code >= refusalCodes && code < failureCodes:
		c.Refused = 1
	}
	return c
}

// bucket holds the counts of one stretch of time.
type bucket struct {
	number int64
	counts Counts
}

// Recorder keeps a router's counts of the last day. Its zero value is ready. It
// is safe for concurrent use.
type Recorder struct {
	mu   sync.Mutex
	keys map[Key]*[bucketCount]bucket
}

// Add enters counts. A key beyond the first 2,000 is counted under none of its
// names.
func (r *Recorder) Add(k Key, c Counts, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.keys == nil {
		r.keys = map[Key]*[bucketCount]bucket{}
	}
	buckets, ok := r.keys[k]
	if !ok && len(r.keys) >= maxRecordedKeys {
		k = Key{}
		buckets, ok = r.keys[k]
	}
	if !ok {
		buckets = &[bucketCount]bucket{}
		r.keys[k] = buckets
	}
	number := now.Unix() / bucketSeconds
	b := &buckets[number%bucketCount]
	if b.number != number {
		*b = bucket{number: number}
	}
	b.counts = b.counts.Add(c)
}

// Row is the counts of a key over each of Windows.
type Row struct {
	Key     Key      `json:"key"`
	Windows []Counts `json:"windows"`
}

// Rows returns the counts of all keys that had requests in the last day.
func (r *Recorder) Rows(now time.Time) []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rows []Row
	for k, buckets := range r.keys {
		row := Row{Key: k, Windows: make([]Counts, len(Windows))}
		for i, w := range Windows {
			row.Windows[i] = sumWindow(buckets, w, now)
		}
		if row.Windows[len(Windows)-1].Requests > 0 {
			rows = append(rows, row)
		}
	}
	sortRows(rows)
	return rows
}

// sumWindow sums the buckets that begin in a window.
func sumWindow(buckets *[bucketCount]bucket, window time.Duration, now time.Time) Counts {
	last := now.Unix() / bucketSeconds
	oldest := last - int64(window/bucketLength)
	var sum Counts
	for _, b := range buckets {
		if b.number > oldest && b.number <= last {
			sum = sum.Add(b.counts)
		}
	}
	return sum
}

func sortRows(rows []Row) {
	sort.Slice(rows, func(i, j int) bool {
		a, b := rows[i].Key, rows[j].Key
		if a.Service != b.Service {
			return a.Service < b.Service
		}
		if a.Workspace != b.Workspace {
			return a.Workspace < b.Workspace
		}
		return a.Zone < b.Zone
	})
}

// Burn is the burn of a fleet, as far as its routers could be asked.
type Burn struct {
	Rows []Row `json:"rows"`
	// Asked lists the boxes whose counts are in Rows, and Unreached those whose
	// counts are not.
	Asked     []granitehoist.Box `json:"asked"`
	Unreached []granitehoist.Box `json:"unreached"`
}

// Merge adds the rows of another router.
func (b *Burn) Merge(rows []Row) {
	index := map[Key]int{}
	for i, row := range b.Rows {
		index[row.Key] = i
	}
	for _, row := range rows {
		i, ok := index[row.Key]
		if !ok {
			index[row.Key] = len(b.Rows)
			b.Rows = append(b.Rows, row)
			continue
		}
		for w := range b.Rows[i].Windows {
			b.Rows[i].Windows[w] = b.Rows[i].Windows[w].Add(row.Windows[w])
		}
	}
	sortRows(b.Rows)
}

// Rate returns how fast a service level's allowance is used up: 1 uses it up
// exactly, 20 is all bad. It is 0 without events.
func Rate(bad, all int) float64 {
	if all == 0 {
		return 0
	}
	return float64(bad) / float64(all) / slowAllowance
}

// WriteBurn writes the burn as text: a table a window, and who could not be
// asked.
func WriteBurn(w io.Writer, b Burn) error {
	for i, window := range Windows {
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintf(table, "last %v\tworkspace\tplace\trequests\tfirst token\tbetween tokens\trefused\terrors\n", window)
		for _, row := range b.Rows {
			c := row.Windows[i]
			if c.Requests == 0 {
				continue
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\n", row.Key.Service, row.Key.Workspace, row.Key.Zone, c.Requests,
				Rate(c.SlowFirst, c.First), Rate(c.SlowBetween, c.Between), Rate(c.Refused, c.Requests), Rate(c.Errors, c.Requests))
		}
		fmt.Fprintln(table)
		if err := table.Flush(); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "burn 1.00 uses the allowance of 5 in 100 up exactly; asked=%d unreached=%v\n", len(b.Asked), b.Unreached)
	return err
}
