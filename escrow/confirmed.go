// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package escrow

import (
	"slices"
	"time"

	"granitehoist.example/granitehoist"
)

// The store may have lost the first grant to a box, so that no row tells of it. A record
// therefore lists the boxes whose routers may be granted tokens of it, before they are. Once
// the store was restored, the router on each listed box confirms that the record has all that
// was granted on the box.

// isConfirmed reports whether the record has all grants to the listed boxes.
func (r *Record) isConfirmed() bool {
	for _, era := range r.ConfirmedIn {
		if era < r.era {
			return false
		}
	}
	return true
}

// confirm records that the record has all grants to a box, and reports whether that has to be
// written. known is the latest record that the store has acknowledged to the router on the
// box, nil if there is none.
func (r *Record) confirm(box granitehoist.Box, known *Record) bool {
	era, listed := r.ConfirmedIn[box]
	if listed && (era >= r.era || !known.hasGrantsBefore(r.era, box)) {
		return false
	}
	r.list(box, r.era)
	return listed
}

// hasGrantsBefore reports whether the record, read by the router on a box, has all grants to
// earlier routers on the box. A record that was first read in an era may lack grants of the
// eras before.
func (r *Record) hasGrantsBefore(era granitehoist.Era, box granitehoist.Box) bool {
	if r == nil || r.era >= era {
		return false
	}
	confirmedIn, listed := r.ConfirmedIn[box]
	return !listed || confirmedIn >= r.era
}

// list lists a box.
func (r *Record) list(box granitehoist.Box, confirmedIn granitehoist.Era) {
	if r.ConfirmedIn == nil {
		r.ConfirmedIn = map[granitehoist.Box]granitehoist.Era{}
	}
	r.ConfirmedIn[box] = confirmedIn
}

// listMissing lists those of the boxes that are not listed.
func (r *Record) listMissing(boxes []granitehoist.Box, confirmedIn granitehoist.Era) {
	for _, box := range boxes {
		if _, listed := r.ConfirmedIn[box]; !listed {
			r.list(box, confirmedIn)
		}
	}
}

// mergeConfirmed adds the boxes that a record of an earlier era lists.
func (r *Record) mergeConfirmed(known *Record) {
	for box, era := range known.ConfirmedIn {
		if _, listed := r.ConfirmedIn[box]; !listed {
			r.list(box, era)
		}
	}
}

// absentBoxes tracks since when listed boxes have not been in the fleet.
type absentBoxes map[granitehoist.Box]time.Time

// removeFrom removes the boxes from the list that have not been in the fleet for the loss
// window: any copy from which the store may return has all grants to them. It removes none
// while the fleet is not known.
func (a absentBoxes) removeFrom(r *Record, fleet []granitehoist.Box, window time.Duration, now time.Time) {
	if len(fleet) == 0 {
		return
	}
	for box := range r.ConfirmedIn {
		since, known := a[box]
		switch {
		case slices.Contains(fleet, box):
			delete(a, box)
		case !known:
			a[box] = now
		case now.Sub(since) > window:
			delete(r.ConfirmedIn, box)
			delete(a, box)
		}
	}
}

// updateConfirmed updates the list of a record that is about to be written, and reports
// whether the record has to be written for that. A router lists boxes before they are granted
// anything, and removes some only from a record that has all grants.
func (s *Syncer) updateConfirmed(r *Record, c *recordCopy, now time.Time) bool {
	window := s.settings.Ledger.settings.LossWindow
	isEraKnown := r.era > 0 || c.lastEntry.Version > 0
	if window <= 0 || !isEraKnown {
		return false
	}
	fleet := s.settings.Boxes()
	listed := s.boxesToList(c.scope, fleet)
	if c.acknowledged != nil && c.acknowledged.era < r.era {
		r.listMissing(listed, 0)
	}
	needsWrite := r.confirm(s.settings.Box, c.acknowledged)
	if r.isConfirmed() {
		r.listMissing(listed, r.era)
		c.absent.removeFrom(r, fleet, window, now)
	}
	return needsWrite
}

// boxesToList returns the boxes that this router lists in a record. In the record of a shard
// each router lists itself only.
func (s *Syncer) boxesToList(of scope, fleet []granitehoist.Box) []granitehoist.Box {
	listed := []granitehoist.Box{s.settings.Box}
	if of.divided {
		return listed
	}
	return append(listed, fleet...)
}
