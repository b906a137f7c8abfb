// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package follow_test

import (
	"context"
	"testing"
	"time"

	"granitehoist.example/granitehoist"
	"granitehoist.example/granitehoist/follow"
	"granitehoist.example/granitehoist/standin"
)

// TestAppliedVersion guards against a follower that states the version of a change which its
// user has not seen yet: a release that an order concerns would count as one without an order.
func TestAppliedVersion(t *testing.T) {
	const changes = 20
	store := standin.NewStore(standin.StoreSettings{})
	seen := make(chan granitehoist.Version, changes)
	var follower *follow.Follower
	follower = follow.New(follow.Settings{
		Prefix: "op/", Store: store,
		OnChange: func(changed []granitehoist.Entry, _ granitehoist.Version) {
			for _, e := range changed {
				if applied := follower.AppliedVersion(); applied >= e.Version {
					t.Errorf("version %d counts as applied while it is being applied", applied)
				}
				seen <- e.Version
			}
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		follower.Run(ctx)
		close(ended)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	version := granitehoist.Version(0)
	for range changes {
		var err error
		version, err = store.CompareAndSwap(ctx, granitehoist.Change{Key: "op/order", Value: []byte("x"), Expect: version})
		if err != nil {
			t.Fatal(err)
		}
		for at := granitehoist.Version(0); at < version; {
			select {
			case at = <-seen:
			case <-time.After(10 * time.Second):
				t.Fatal("a change was not reported")
			}
		}
		for end := time.Now().Add(10 * time.Second); follower.AppliedVersion() < version; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("version %d is not applied, %d is", version, follower.AppliedVersion())
			}
		}
	}
}
