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
	// bucketLength is the shortest of Windows, so that each is a number of
	// buckets.
	bucketLength = 5 * time.Minute
	// bucketCount covers the longest of Windows, a day.
	bucketCount = int64(24 * time.Hour / bucketLength)
	// bucketSeconds is bucketLength in seconds of Unix time.
	bucketSeconds = int64(bucketLength / time.Second)
	// maxRecordedKeys bounds a recorder's memory. A key takes 18.6 KB (burn-memory in
	// docs/CAPACITY.md), all of them 37 MB.
	maxRecordedKeys = 2000
)

// Windows are those that a burn report is made for, shortest first.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 24 * time.Hour}

// Key is what burn is counted by.
type Key struct {
	Service   granitehoist.Service          `json:"service"`
	Workspace granitehoist.Workspace        `json:"workspace"`
	Zone      granitehoist.AvailabilityZone `json:"place"`
}

// bucket holds the counts of one stretch of time.
type bucket struct {
	// number counts the stretches since 1970; a bucket is reused a day later.
	number int64
	counts Counts
}

// Recorder keeps a router's counts of the last day. Its zero value is ready. It
// is safe for concurrent use.
type Recorder struct {
	// mu guards keys.
	mu   sync.Mutex
	keys map[Key]*[bucketCount]bucket
}

// Add enters counts. A key beyond the first 2,000 is counted under the empty key,
// so that the sums stay right.
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

// sortRows puts rows in the order of their keys.
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
