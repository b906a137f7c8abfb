// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package tcpstate asks the kernel about the TCP connection of an HTTP request: how long its
// bytes waited to be read, and whether the client has closed its side. A process that was
// frozen, or had no processor, can't know either in another way: the bytes and the close wait
// in the socket.
//
// httpserver adds the connection to the context of each request, and platform reads the state
// there. Begin reading at Of.
package tcpstate
