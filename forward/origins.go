// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/balance"
	"granitehoist.example/granitehoist/catalog"
	"granitehoist.example/granitehoist/origin"
)

// resumeGrace is how long after the deadline of a request its caller may take up the
// stream.
const resumeGrace = 30 * time.Second

// Origins knows which release began each resumable stream. Implementations must be safe
// for concurrent use.
type Origins interface {
	// Unregistered returns the releases of a service that must not begin a stream yet, and
	// a channel that is closed when that may have changed.
	Unregistered(s granitehoist.Service) ([]granitehoist.Release, <-chan struct{})
	// Record records where a stream began, before the caller gets its first event. It does
	// not block.
	Record(r origin.Record)
	// Find returns where a stream began; false if that is unknown. service is the one that
	// the route of the caller leads to. Find returns once ctx ends.
	Find(ctx context.Context, s origin.Stream, service granitehoist.Service) (origin.Origin, bool)
}

// localOrigins implements Origins for a single router.
type localOrigins struct {
	table origin.Table
	clock granitehoist.Clock
}

// Unregistered implements Origins.
func (*localOrigins) Unregistered(granitehoist.Service) ([]granitehoist.Release, <-chan struct{}) {
	return nil, nil
}

// Record implements Origins.
func (o *localOrigins) Record(r origin.Record) { o.table.Add(r, o.clock()) }

// Find implements Origins.
func (o *localOrigins) Find(_ context.Context, s origin.Stream, _ granitehoist.Service) (origin.Origin, bool) {
	return o.table.Lookup(s, o.clock())
}

// stream returns the identity of the stream that the request begins or takes up.
func (a *activeRequest) stream() origin.Stream {
	s := origin.Stream{Request: a.request.ID}
	if !a.request.LastEventID.IsNone() {
		s.Request = a.request.Resumes
	}
	if a.admission.workspace != nil {
		s.Workspace = a.admission.workspace.Name
	}
	return s
}

// errOriginUnknown is the cause of a refusal for want of a record.
var errOriginUnknown = errors.New("forward: no record of the stream")

// findOrigin finds where the stream that the caller takes up began. The stream may go on
// only there, so that findOrigin refuses the request if that is unknown or not possible.
func (a *activeRequest) findOrigin(ctx context.Context) error {
	if a.admission.route.Kind != catalog.Stream || a.request.LastEventID.IsNone() {
		return nil
	}
	settings := &a.forwarder.settings
	found, known := settings.Origins.Find(ctx, a.stream(), a.admission.service.Name)
	if !known {
		e := originUnknown.error(a.timeLeft())
		e.Cause = errOriginUnknown
		return e
	}
	if !a.useService(found.Service) || !settings.Table.Serves(found.Service, found.Release) {
		return a.originGoneError(fmt.Errorf("forward: no instance of release %q of %s", found.Release, found.Service))
	}
	a.progress.origin = &found
	return nil
}

// useService makes a service of the route the request's service, and reports whether the
// route leads there.
func (a *activeRequest) useService(name granitehoist.Service) bool {
	if a.admission.service.Name == name {
		return true
	}
	for _, share := range a.admission.route.Split {
		if share.Service != name || share.Weight <= 0 {
			continue
		}
		if service := a.forwarder.settings.Catalog.Get().Service(name); service != nil {
			a.admission.service = service
			// The digests of the parts depend on the service.
			a.progress.suspectStatus = suspectStatus{}
			return true
		}
	}
	return false
}

// originGoneError returns the refusal of a stream that can't go on where it began. cause
// may be nil.
func (a *activeRequest) originGoneError(cause error) error {
	e := originGone.error(a.timeLeft())
	e.Cause = cause
	return e
}

// unregisteredReleases returns the releases that must not run the next attempt because
// they may not begin streams yet.
func (a *activeRequest) unregisteredReleases() []granitehoist.Release {
	if !a.beginsStream() {
		return nil
	}
	unregistered, _ := a.forwarder.settings.Origins.Unregistered(a.admission.service.Name)
	return unregistered
}

// pickRegistered selects an instance. If the only instances are of releases that may not
// begin streams yet, it waits until one may, for at most deferredWait.
func (a *activeRequest) pickRegistered(ctx context.Context, query *balance.Query) (*balance.Lease, error) {
	settings := &a.forwarder.settings
	lease, err := a.pickAdmitted(query, settings.Clock())
	if granitehoist.CodeOf(err) != granitehoist.NoUpstream || len(a.unregisteredReleases()) == 0 {
		return lease, err
	}
	err = a.waitUntilReady(ctx, query.MaxWait, func(now time.Time) (*waitReason, error) {
		unregistered, changed := settings.Origins.Unregistered(query.Service)
		var pickErr error
		lease, pickErr = a.pickAdmitted(query, now)
		if granitehoist.CodeOf(pickErr) != granitehoist.NoUpstream || len(unregistered) == 0 {
			return nil, pickErr
		}
		return &waitReason{changed: changed, refusal: func() error { return pickErr }}, nil
	})
	return lease, err
}

// beginsStream reports whether the next attempt begins a stream that may be resumed.
func (a *activeRequest) beginsStream() bool {
	return a.progress.origin == nil && a.admission.route.Kind == catalog.Stream && a.admission.route.Resume
}

// recordOrigin fixes the release of the stream before an event is relayed from an
// instance of it.
func (a *activeRequest) recordOrigin(lease *balance.Lease) {
	if a.progress.originRecorded {
		return
	}
	a.progress.originRecorded = true
	if a.progress.origin == nil {
		a.progress.origin = &origin.Origin{Service: a.admission.service.Name, Release: lease.Release}
	}
	stream := a.stream()
	if !a.admission.route.Resume || stream.Request == "" {
		return
	}
	keep := max(0, a.timeLeft()) + resumeGrace
	a.forwarder.settings.Origins.Record(origin.Record{Stream: stream, Origin: *a.progress.origin, KeepMS: keep.Milliseconds()})
}
