// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package router

import (
	"context"
	"io"
	"net/http"
	"sync"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/fleet"
	"granitehoist.example/granitehoist/partner/config"
)

// DocumentState reports the boxes at which a partner's document is in force.
type DocumentState struct {
	Partner granitehoist.Partner `json:"partner"`
	// Current is the stored document.
	Current config.Current `json:"current"`
	// InForce lists the boxes whose router has the stored document or a newer one in force.
	// Waiting lists the boxes whose router has not or can't be reached. The document is
	// accepted when it is stored and Waiting is empty.
	InForce  []granitehoist.Box `json:"in_force"`
	Waiting  []granitehoist.Box `json:"waiting"`
	Accepted bool               `json:"accepted"`
}

// serveDocument returns the state of a partner's document.
func (r *Router) serveDocument(w http.ResponseWriter, req *http.Request) {
	state, err := r.documentState(req.Context(), granitehoist.Partner(req.PathValue("partner")))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, state)
}

// serveApply writes a signed document to the store. The status is 200 if every router
// already applies it, otherwise 202.
func (r *Router) serveApply(w http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, req.Body, granitehoist.MaxValueSize))
	if err != nil {
		writeError(w, granitehoist.Wrap(granitehoist.BodyTooLarge, err, ""))
		return
	}
	signed, err := config.Apply(req.Context(), r.settings.Store, r.trust, raw)
	if err != nil {
		writeError(w, err)
		return
	}
	state, err := r.documentState(req.Context(), signed.Partner)
	if err != nil {
		writeError(w, granitehoist.Wrap(granitehoist.DocumentPending, err, ""))
		return
	}
	status := http.StatusOK
	if !state.Accepted {
		status = http.StatusAccepted
	}
	writeJSON(w, status, state)
}

// methodSerials is the method by which routers request each other's serials.
const methodSerials = "config.serials"

// serialsResult is the result of methodSerials.
type serialsResult struct {
	Serials map[granitehoist.Partner]granitehoist.Serial `json:"serials"`
}

// serveSerials handles methodSerials with the serials in force at this router.
func (r *Router) serveSerials(context.Context, struct{}) (serialsResult, error) {
	return serialsResult{Serials: r.View().Serials()}, nil
}

// documentState queries every router that may be serving. It lists the routers after it
// reads the document, because a router that registers later reads this document or a
// newer one.
func (r *Router) documentState(ctx context.Context, p granitehoist.Partner) (DocumentState, error) {
	current, err := config.ReadCurrent(ctx, r.settings.Store, p)
	if err != nil {
		return DocumentState{}, err
	}
	members, err := r.servingMembers(ctx)
	if err != nil {
		return DocumentState{}, granitehoist.Wrap(granitehoist.StoreDown, err, "the list of routers can't be read")
	}
	return newDocumentState(p, current, r.serialsAt(ctx, members, p)), nil
}

// memberSerial holds the serial of a partner's document in force at one router.
type memberSerial struct {
	box granitehoist.Box
	// serial is zero if the router has no document of the partner or can't be
	// reached.
	serial granitehoist.Serial
}

// newDocumentState decides whether a document is accepted: it is in the store, and every
// router that may be serving has it or a newer one in force. A router that can't be
// reached counts as waiting.
func newDocumentState(p granitehoist.Partner, current config.Current, serials []memberSerial) DocumentState {
	state := DocumentState{Partner: p, Current: current, InForce: []granitehoist.Box{}, Waiting: []granitehoist.Box{}}
	for _, m := range serials {
		if m.serial >= current.Signed.Serial {
			state.InForce = append(state.InForce, m.box)
		} else {
			state.Waiting = append(state.Waiting, m.box)
		}
	}
	state.Accepted = current.Version != 0 && len(state.Waiting) == 0
	return state
}

// serialsAt queries routers concurrently for the serial of a partner's document.
func (r *Router) serialsAt(ctx context.Context, members []fleet.Member, p granitehoist.Partner) []memberSerial {
	serials := make([]memberSerial, len(members))
	var group sync.WaitGroup
	for i, m := range members {
		group.Go(func() { serials[i] = memberSerial{m.Box, r.serialAt(ctx, m, p)} })
	}
	group.Wait()
	return serials
}

// serialAt returns the serial in force at a router, zero if the call fails; the box is then
// listed as waiting.
func (r *Router) serialAt(ctx context.Context, m fleet.Member, p granitehoist.Partner) granitehoist.Serial {
	if m.Incarnation == r.self.Incarnation {
		return r.View().Serial(p)
	}
	var result serialsResult
	if err := r.components.client.Call(ctx, m.Peer(), methodSerials, struct{}{}, &result); err != nil {
		return 0
	}
	return result.Serials[p]
}
