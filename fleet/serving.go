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

// Enroll enters the router among those that may serve. It must succeed before the
// router reads the documents by which it serves, and before its first request.
// The entry has no lease, since a router that is cut off from the store goes on
// serving. The error is that of the store; the entry may have been written in
// spite of it, and Enroll can be called again.
func (r *Registry) Enroll(ctx context.Context) error {
	raw, err := json.Marshal(r.settings.Self)
	if err != nil {
		return eris.Wrap(err, "fleet: entry does not encode")
	}
	key := ServingPrefix + memberKey(r.settings.Self)
	current, err := r.settings.Store.Get(ctx, key)
	if err != nil || current.Version != 0 {
		return err
	}
	_, err = store.Create(ctx, r.settings.Store, key, raw)
	return err
}

// Serving returns the routers that may serve, live or not.
func Serving(ctx context.Context, s granitehoist.Store) ([]Member, error) {
	return readMembers(ctx, s, ServingPrefix)
}

// Withdraw removes a router from those that may serve. It is called by the
// router itself when it has stopped, or by another when the platform or an
// operator says that the router has ended.
func Withdraw(ctx context.Context, s granitehoist.Store, m Member) error {
	return deleteKey(ctx, s, ServingPrefix+memberKey(m))
}
