// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package readlimit

import "syscall"

// socketBytes is the receive buffer of a socket. It holds what has arrived and was not read,
// for example while another connection takes the bytes slowly. The kernel would let it grow to
// megabytes, and doubles a value that is set.
const socketBytes = 128 << 10

// LimitSocket bounds what a socket holds of bytes that were not read. It must be called before
// the socket connects or listens; connections inherit the bound of their listener.
func LimitSocket(raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBytes)
	}); controlErr != nil {
		return controlErr
	}
	return err
}
