// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package store reaches the platform's key-value service.
//
// HTTP is the adapter of the one protocol known so far, the small HTTP and
// JSON one that package standin serves. Another protocol is another
// implementation of granitehoist.Store. Update and Create are the ways in which
// the fleet writes: they settle a write whose answer was lost by reading back.
package store
