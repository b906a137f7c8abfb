// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package standin holds small stand-ins of the systems around the routers: the
// platform's store, a model engine and a plain service as the partner router
// calls them, and a worker of the users' platform, which granitehoist-edge
// calls. They run in process for trials and tests, or as processes of their own
// ('granitehoist standin'), and fail on command. Each keeps books of what it
// did, against which the routers are judged.
//
// Each stand-in owns its books and faults, guards them by its own lock and may
// be called at any time by any goroutine; its faults hold for the requests that
// begin after Fail. The package relies on partner/upstream for the engines'
// messages and on partner/boxlist for the list of boxes. No router runs it:
// 'granitehoist standin', packages trial and measure, and tests do.
//
// Begin reading at Store, which both routers use and PlatformStore serves; at
// Engine and Plain for the partner router; and at Worker, whose WorkerAnswer lists
// the failures that a test can script, for granitehoist-edge.
package standin
