// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package rollout

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
)

// recordPrefix is followed by the name of the service.
const recordPrefix = "rollout/"

// Record is the progress of the last order of a service in the store. It changes only
// together with the status that operators read.
type Record struct {
	State
	Target granitehoist.Release `json:"target"`
	// WrittenAtMS is the writer's time in milliseconds since the Unix epoch. It is used only
	// to estimate how long no router ran.
	WrittenAtMS int64 `json:"written_at_ms,omitempty"`
}

// stored is a record as read from the store. The zero value stands for no record.
type stored struct {
	record Record
	// version and statusVersion are the versions of the record and of the status.
	version, statusVersion granitehoist.Version
}

// accepts reports whether the record may be replaced by next: by one of a later order, or
// of the same order with a later phase. A verdict is never replaced by another one of its
// order.
func (s *stored) accepts(next Record) bool {
	switch {
	case s.version == 0 || next.Order > s.record.Order:
		return true
	case next.Order < s.record.Order || s.record.Stage.isFinal():
		return false
	}
	return next.Stage.phase() > s.record.Stage.phase()
}

// exceptFor returns the releases that get no requests under the order of next: those of its
// state and, if next replaces an earlier order that was not completed, those of that order
// and its target.
func (s *stored) exceptFor(next Record) []granitehoist.Release {
	replaced := s.record
	if s.version == 0 || next.Order <= replaced.Order || replaced.Stage == StageComplete {
		return next.Except
	}
	except := unionReleases(next.Except, append(replaced.Except, replaced.Target))
	return slices.DeleteFunc(except, func(r granitehoist.Release) bool { return r == next.Target })
}

// recorder reads and writes the records.
type recorder struct {
	store        granitehoist.Store
	statusKey    func(granitehoist.Service) string
	encodeStatus func(Status) []byte
}

// load reads the record of a service. The versions of both keys are read, since a write
// depends on both.
func (r *recorder) load(ctx context.Context, service granitehoist.Service) (stored, error) {
	entry, err := r.store.Get(ctx, recordPrefix+string(service))
	if err != nil {
		return stored{}, err
	}
	status, err := r.store.Get(ctx, r.statusKey(service))
	if err != nil {
		return stored{}, err
	}
	found := stored{version: entry.Version, statusVersion: status.Version}
	if entry.Version == 0 {
		return found, nil
	}
	if err := json.Unmarshal(entry.Value, &found.record); err != nil {
		return stored{}, eris.Wrapf(err, "rollout: %s at version %d", entry.Key, entry.Version.Revision())
	}
	return found, nil
}

// save writes a record and the status of its phase, and returns what the store holds
// afterwards and whether this call wrote it. It writes nothing if the store does not accept
// the record (stored.accepts). It reads the store first, so that a retry after an unknown
// outcome continues from what was written. After an error the outcome is unknown.
func (r *recorder) save(ctx context.Context, service granitehoist.Service, next Record) (stored, bool, error) {
	found, err := r.load(ctx, service)
	if err != nil || !found.accepts(next) {
		return found, false, err
	}
	next.Except = found.exceptFor(next)
	value, err := json.Marshal(next)
	if err != nil {
		return found, false, eris.Wrapf(err, "rollout: encode the record of %s", service)
	}
	status := r.encodeStatus(Status{Target: next.Target, Phase: next.Stage.phase()})
	version, err := r.store.CompareAndSwapAll(ctx, []granitehoist.Change{
		{Key: recordPrefix + string(service), Value: value, Expect: found.version},
		{Key: r.statusKey(service), Value: status, Expect: found.statusVersion},
	})
	if err != nil {
		return found, false, err
	}
	return stored{record: next, version: version, statusVersion: version}, true, nil
}

// stateAt returns the state at now, with the time since the record was written, which is
// taken as zero if the clocks disagree.
func (r *Record) stateAt(now time.Time) State {
	s := r.State
	since := max(0, now.UnixMilli()-r.WrittenAtMS)
	s.ElapsedMS += since
	if s.AtMostMS > 0 {
		s.AtMostMS += since
	}
	return s
}
