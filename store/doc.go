// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package store provides conditional writes to the platform's key-value store that resolve
// ambiguous outcomes.
//
// The response to a write may be lost, and the write may take effect seconds later. Create
// and Swap determine the outcome of such a write by reading the key back.
//
// The package has no state and starts no goroutine. It uses granitehoist.Store, which package
// platform implements over the store's protocol and package standin in memory. Packages
// fleet, once, bill and orphan of 'granitehoist router' use it. Begin reading at Swap.
package store
