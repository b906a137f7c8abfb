// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package exchange

// Trace is what Pool.Do saw of the connection of an exchange. The zero value belongs to a
// request for which no connection was found.
type Trace struct {
	// Exchange is the number of the exchange on its connection, from 1.
	Exchange int
	// Detour is set if the connection goes through another router.
	Detour bool
	// Stale is the number of responses to other requests that were read before the own one.
	Stale int
	// Early is set if the head of the response was read before the last part of the request
	// was written.
	Early bool
}

// begin records that the request with an id uses c.
func (t *Trace) begin(c *conn, id string) {
	c.history.add(id)
	t.Exchange, t.Detour = len(c.history.ids), c.detour
}
