// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"encoding/json"
	"io"
	"net/http"

	"granitehoist.example/granitehoist"
)

func (g *Gate) serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "alive\n")
}

func (g *Gate) serveReady(w http.ResponseWriter, _ *http.Request) {
	response := g.availability().readiness()
	status := http.StatusServiceUnavailable
	if response.ready {
		status = http.StatusOK
	}
	writeText(w, status, response.text)
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	// The write fails only if the client has closed the connection.
	_, _ = io.WriteString(w, text)
}

// serveUnknown refuses requests whose path or method has no handler.
func (g *Gate) serveUnknown(w http.ResponseWriter, r *http.Request) {
	code := granitehoist.NotFound
	switch r.URL.Path {
	case pathChat, pathCompletions, pathModels:
		code = granitehoist.MethodNotAllowed
	}
	g.refuse(w, g.requestID(r), granitehoist.Errorf(code, "%s %s", r.Method, r.URL.Path))
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      granitehoist.Model   `json:"id"`
	Object  string               `json:"object"`
	OwnedBy granitehoist.Partner `json:"owned_by"`
}

// serveModels lists the models that the caller's partner may use, in the format of the
// OpenAI-compatible API.
func (g *Gate) serveModels(w http.ResponseWriter, r *http.Request) {
	view := g.settings.View()
	identity, err := identify(view, r)
	if err != nil {
		g.refuse(w, g.requestID(r), err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, offer := range view.Offers(identity.Partner) {
		for _, model := range offer.Models {
			list.Data = append(list.Data, modelItem{ID: model, Object: "model", OwnedBy: offer.Owner})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	// Encoding can't fail; the write fails only if the client has closed the connection.
	_ = json.NewEncoder(w).Encode(list)
}
