// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package readlimit bounds what a process reads from its peers: the bytes and the time of
// each part of a message, and the memory of all parts together.
//
// A Conn bounds the parts of messages that are read from a connection. A Buffer collects a
// part that is kept until it is complete. Buffers, Reservations and Conns that share a Memory
// take its bytes as they grow. A read that exceeds a bound ends with an *Error, which names
// the part and the bound; the message can't be used after that, and the connection must be
// closed.
//
// A Memory is safe for concurrent use. A Conn, a Buffer and a Reservation each belong to one
// goroutine; others may write to a Conn and close it.
//
// The decisions are Memory.mayGrow and Limits.afterDeadline. Begin reading at Limits.
package readlimit
