// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package budget

import (
	"context"
	"time"
)

// Tries of returning all tokens, and the time between them.
const (
	closeTries = 10
	closePause = 100 * time.Millisecond
)

// Close returns all tokens to the pages. It is called when no reservation is
// left. An error means that some are still recorded as held by this router.
func (a *Agent) Close(ctx context.Context) error {
	a.running.Lock()
	defer a.running.Unlock()
	a.settings.Purse.Close()
	var err error
	for range closeTries {
		now := a.settings.Clock()
		asks, _ := a.settings.Purse.Asks(now)
		if err = a.send(ctx, asks, SyncParams{Closing: true, Urgent: true}, now); err == nil {
			return nil
		}
		select {
		case <-time.After(closePause):
		case <-ctx.Done():
			return err
		}
	}
	return err
}
