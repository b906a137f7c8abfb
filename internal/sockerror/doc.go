// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package sockerror reports the failure of a connection to its reader even if a writer was told
// of it first.
//
// The kernel reports a pending error of a socket once (SO_ERROR in socket(7)). If a goroutine
// writes to a connection while another one reads from it, and the peer resets the connection,
// the writer may get that error, and the reader then sees the end of the connection as if the
// peer had closed it in good order. A response whose end is that of its connection would be
// taken as whole.
//
// Packages exchange, tunnel and partner/upstream read responses through a Conn. A Conn may be
// read by one goroutine while another one writes. Begin reading at Conn.Read.
package sockerror
