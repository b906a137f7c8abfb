// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package fleet

import (
	"encoding/json"
	"errors"
	"io"
	"log"

	"granitehoist.example/granitehoist"
)

// envelope holds the parameters of a call: the incarnation that it is addressed to and the
// parameters of the method. The incarnation guards against an address that another router,
// even one of another fleet, has taken over since the caller learned the address.
type envelope struct {
	To     granitehoist.Incarnation `json:"to"`
	Params json.RawMessage          `json:"params"`
}

// ErrOtherIncarnation means that a router of another incarnation than the one called has the
// address. The call was not run.
var ErrOtherIncarnation = errors.New("fleet: another incarnation has the address")

// otherIncarnationCode is the JSON-RPC error code of ErrOtherIncarnation, from the range
// that JSON-RPC 2.0 reserves for servers (-32000 to -32099).
const otherIncarnationCode = -32001

// discardLog drops the log lines of package jsonrpc2, since errors are returned to the
// caller.
var discardLog = log.New(io.Discard, "", 0)

// closeQuietly closes a connection or listener that is no longer used.
func closeQuietly(c io.Closer) {
	// Calls in progress have failed or are abandoned, so that the error is irrelevant.
	_ = c.Close()
}
