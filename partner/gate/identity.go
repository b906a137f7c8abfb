// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package gate

import (
	"net/http"
	"strings"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/partner/config"
)

const (
	bearer = "Bearer "
	// maxRequestID is the largest size of a caller's request id in bytes.
	maxRequestID = 128
)

// identify returns the identity that the request's key belongs to. The error is a
// *granitehoist.Error with code MissingKey or WrongKey.
func identify(view *config.View, r *http.Request) (config.Identity, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !ok {
		return config.Identity{}, granitehoist.Errorf(granitehoist.MissingKey, `send it as "Authorization: Bearer KEY"`)
	}
	identity, ok := view.Identity(config.HashKey(strings.TrimSpace(key)))
	if !ok {
		return config.Identity{}, granitehoist.Errorf(granitehoist.WrongKey, "")
	}
	return identity, nil
}

// requestID returns the caller's request id, or a new one if it is missing or invalid.
func (g *Gate) requestID(r *http.Request) granitehoist.RequestID {
	id := r.Header.Get(HeaderRequest)
	if validRequestID(id) {
		return granitehoist.RequestID(id)
	}
	return granitehoist.RequestID(granitehoist.NewID("r", g.settings.Random))
}

// validRequestID reports whether an id is usable in logs, store keys and attempt ids without
// escaping.
func validRequestID(id string) bool {
	if id == "" || len(id) > maxRequestID {
		return false
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}
