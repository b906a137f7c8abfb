// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package fleet

import (
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"

	"github.com/sourcegraph/jsonrpc2"

	"granitehoist.example/granitehoist"
)

// envelope is the parameters of a call: the incarnation that it is for, and the
// method's own parameters. Another router, even one of another fleet, may have got
// the address since the caller learnt it (docs/design/fleet.md has the
// measurement).
type envelope struct {
	To     granitehoist.Incarnation `json:"to"`
	Params json.RawMessage          `json:"params"`
}

// ErrOtherIncarnation says that the address belongs to another router than the one
// called. The call was not run.
var ErrOtherIncarnation = errors.New("fleet: another incarnation has the address")

// codeOtherIncarnation is the JSON-RPC error code of ErrOtherIncarnation. It
// is the second of the codes that JSON-RPC 2.0 leaves to servers (-32000 to
// -32099).
const codeOtherIncarnation = -32001

// discardLog drops the lines that the library would write to the standard error:
// the caller of a call gets its error anyway.
var discardLog = log.New(io.Discard, "", 0)

// newStream frames the messages of a connection: each is preceded by its length.
func newStream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{})
}

// discard closes a connection or listener that is not used any more.
func discard(c io.Closer) {
	// The calls in progress on it have failed or are given up, so that an error in
	// closing it changes nothing.
	_ = c.Close()
}
