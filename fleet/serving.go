// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package fleet

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/store"
)

// RegisterServing adds the router to the routers that may serve. It must succeed before
// the router reads its configuration and before its first request. The entry has no
// lease, since a router without a connection to the store continues to serve. The error
// is that of the store. Despite an error the entry may have been written; RegisterServing
// can be called again.
func (r *Registry) RegisterServing(ctx context.Context) error {
	raw, err := json.Marshal(r.settings.Self)
	if err != nil {
		return eris.Wrap(err, "fleet: encode entry")
	}
	key := ServingPrefix + memberKey(r.settings.Self)
	current, err := r.settings.Store.Get(ctx, key)
	if err != nil || current.Version != 0 {
		return err
	}
	_, err = store.Create(ctx, r.settings.Store, key, raw)
	return err
}

// ListServing returns the routers that may serve, whether live or not. It returns an
// error if any entry cannot be decoded.
func ListServing(ctx context.Context, s granitehoist.Store) ([]Member, error) {
	return readMembers(ctx, s, ServingPrefix)
}

// DeregisterServing removes a router from the routers that may serve. It must be called only
// after the router has stopped: by the router itself, or by another router after the platform
// or an operator has reported the end of the first.
func DeregisterServing(ctx context.Context, s granitehoist.Store, m Member) error {
	return deleteKey(ctx, s, ServingPrefix+memberKey(m))
}
