// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package pause provides sleeps that end with a context. Both routers use it between
// retries. It holds no state.
package pause

import (
	"context"
	"time"
)

// For waits until d has passed or ctx ends, whichever comes first. It returns at
// once if d is not positive. It is safe for concurrent use.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Until waits until changed is closed, ctx ends or d has passed, whichever comes first. It is
// safe for concurrent use.
func Until(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}
