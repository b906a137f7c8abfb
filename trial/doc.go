// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package trial runs the whole system in one process on loopback: the
// stand-ins, the routers of two partners, their documents and a mixed load. It
// judges the routers by the books of the stand-ins and by what callers were
// told, and not by the routers' own counts.
package trial
