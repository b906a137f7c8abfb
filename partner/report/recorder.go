// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package report

import (
	"sort"
	"sync"
	"time"

	"granitehoist.example/granitehoist"
)

const (
	// bucketLength is the resolution of the counts. Each of Windows is a multiple of it.
	bucketLength = 5 * time.Minute
	// bucketCount is the number of buckets in the longest of Windows, one day.
	bucketCount = int64(24 * time.Hour / bucketLength)
	// bucketSeconds is bucketLength in seconds.
	bucketSeconds = int64(bucketLength / time.Second)
	// maxRecordedKeys bounds a recorder's memory to 37 MB (docs/CAPACITY.md).
	maxRecordedKeys = 2000
)

// Windows lists the periods that a burn-rate report covers, shortest first.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 24 * time.Hour}

// Key identifies the requests that are counted together.
type Key struct {
	Service   granitehoist.Service          `json:"service"`
	Workspace granitehoist.Workspace        `json:"workspace"`
	Zone      granitehoist.AvailabilityZone `json:"place"`
}

// bucket holds the counts of one interval of bucketLength.
type bucket struct {
	// number is the number of intervals since the Unix epoch. Buckets form a ring and are
	// reused after a day.
	number int64
	counts Counts
}

// Recorder keeps a router's counts of the last day. The zero value is ready for use.
// It is safe for concurrent use.
type Recorder struct {
	// mu guards keys.
	mu   sync.Mutex
	keys map[Key]*[bucketCount]bucket
}

// Add adds counts to a key's bucket for the time now. Once maxRecordedKeys keys are
// recorded, new keys are counted under the zero Key, so that totals stay correct.
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

// Row holds the counts of a key for each of Windows.
type Row struct {
	Key     Key      `json:"key"`
	Windows []Counts `json:"windows"`
}

// Rows returns the counts of all keys with requests in the last day, in order of keys.
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

// sumWindow sums the buckets of the window that ends with the current bucket.
func sumWindow(buckets *[bucketCount]bucket, window time.Duration, now time.Time) Counts {
	current := now.Unix() / bucketSeconds
	before := current - int64(window/bucketLength)
	var sum Counts
	for _, b := range buckets {
		if b.number > before && b.number <= current {
			sum = sum.Add(b.counts)
		}
	}
	return sum
}

// sortRows sorts rows by service, workspace and availability zone.
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
