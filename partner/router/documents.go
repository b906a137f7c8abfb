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

// DocumentState lists where a partner's document is in force.
type DocumentState struct {
	Partner granitehoist.Partner `json:"partner"`
	// Current is what stands in the store.
	Current config.Current `json:"current"`
	// InForce lists the boxes that serve by it and Waiting those that do not or
	// can't be asked. The document is accepted when Waiting is empty.
	InForce  []granitehoist.Box `json:"in_force"`
	Waiting  []granitehoist.Box `json:"waiting"`
	Accepted bool               `json:"accepted"`
}

func (r *Router) serveDocument(w http.ResponseWriter, req *http.Request) {
	state, err := r.documentState(req.Context(), granitehoist.Partner(req.PathValue("partner")))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, state)
}

// serveApply writes a signed document to the store. It answers 200 when every
// router serves by it and 202 before.
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

const methodSerials = "config.serials"

type serialsResult struct {
	Serials map[granitehoist.Partner]granitehoist.Serial `json:"serials"`
}

// serveSerials answers another router with the serials in force at this one.
func (r *Router) serveSerials(context.Context, struct{}) (serialsResult, error) {
	return serialsResult{Serials: r.View().Serials()}, nil
}

// documentState asks every router that may serve, by a list read from the
// store after the document. The order matters: a router that enters itself
// later reads this document or a newer one.
func (r *Router) documentState(ctx context.Context, p granitehoist.Partner) (DocumentState, error) {
	current, err := config.ReadCurrent(ctx, r.settings.Store, p)
	if err != nil {
		return DocumentState{}, err
	}
	members, err := r.servingMembers(ctx)
	if err != nil {
		return DocumentState{}, granitehoist.Wrap(granitehoist.StoreDown, err, "the list of routers")
	}
	return newDocumentState(p, current, r.serialsAt(ctx, members, p)), nil
}

// memberSerial is the serial of one partner's document in force at a router.
type memberSerial struct {
	box granitehoist.Box
	// serial is zero if the router has no document of the partner or can't be
	// asked.
	serial granitehoist.Serial
}

// newDocumentState decides whether a document is accepted: it stands in the
// store, and every router that may serve has it, or a newer one, in force. One
// that can't be asked counts as serving by an older one.
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

// serialsAt asks routers for the serial of a partner's document, all at once.
func (r *Router) serialsAt(ctx context.Context, members []fleet.Member, p granitehoist.Partner) []memberSerial {
	serials := make([]memberSerial, len(members))
	var group sync.WaitGroup
	for i, m := range members {
		group.Go(func() { serials[i] = memberSerial{m.Box, r.serialAt(ctx, m, p)} })
	}
	group.Wait()
	return serials
}

// serialAt returns the serial in force at a router, zero if it can't be asked:
// its box is then listed as waiting, which is all that an operator can use.
func (r *Router) serialAt(ctx context.Context, m fleet.Member, p granitehoist.Partner) granitehoist.Serial {
	if m.Incarnation == r.self.Incarnation {
		return r.View().Serial(p)
	}
	var result serialsResult
	if err := r.parts.client.Call(ctx, m.Peer(), methodSerials, struct{}{}, &result); err != nil {
		return 0
	}
	return result.Serials[p]
}
