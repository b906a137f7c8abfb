// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package trial runs the whole system of the partner routers in one process on
// loopback: the stand-ins, the routers of two partners, their documents and a
// mixed load. It judges the routers by the books of the stand-ins and by what
// callers were told, and not by the routers' own counts.
//
// A Site owns the stand-ins and the routers. Only the load changes its list of
// routers, under Site.mu, since the requests in the background read it. Each
// call of the load has its own outcome, which is read after all calls have
// ended. The package relies on partner/router for the routers and on standin
// for everything around them.
//
// 'granitehoist try' runs it, and the benchmark of partner/router uses a Site.
// Begin reading at Run; Judge decides whether every promise was held.
package trial
