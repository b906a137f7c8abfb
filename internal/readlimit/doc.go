// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package readlimit counts what a process reads from its peers, by the part of a message.
//
// A Conn belongs to the goroutine that reads from it; the callback that it calls must be
// safe for concurrent use if several Conns share it. Begin reading at Conn.
package readlimit
