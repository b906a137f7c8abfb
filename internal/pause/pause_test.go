// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package pause_test

import (
	"context"
	"testing"
	"time"

	"granitehoist.example/granitehoist/internal/pause"
)

// elapsed returns how long a pause took.
func elapsed(ctx context.Context, d time.Duration) time.Duration {
	began := time.Now()
	pause.For(ctx, d)
	return time.Since(began)
}

func TestFor(t *testing.T) {
	t.Run("waits", func(t *testing.T) {
		const d = 30 * time.Millisecond
		if got := elapsed(context.Background(), d); got < d {
			t.Fatalf("waited %v of %v", got, d)
		}
	})
	t.Run("ends with the context", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if got := elapsed(ctx, time.Hour); got > time.Minute {
			t.Fatalf("waited %v", got)
		}
	})
	t.Run("returns at once for a negative duration", func(t *testing.T) {
		if got := elapsed(context.Background(), -time.Hour); got > time.Minute {
			t.Fatalf("waited %v", got)
		}
	})
}
