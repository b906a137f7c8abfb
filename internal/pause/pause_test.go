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

func TestUntil(t *testing.T) {
	closed, open := make(chan struct{}), make(chan struct{})
	close(closed)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for name, wait := range map[string]func(){
		"a change":        func() { pause.Until(context.Background(), closed, time.Minute) },
		"an ended ctx":    func() { pause.Until(ended, open, time.Minute) },
		"the time passes": func() { pause.Until(context.Background(), open, time.Millisecond) },
		"no time":         func() { pause.Until(context.Background(), nil, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{})
			go func() {
				wait()
				close(done)
			}()
			select {
			case <-done:
			case <-time.After(10 * time.Second):
				t.Error("it goes on waiting")
			}
		})
	}
}
