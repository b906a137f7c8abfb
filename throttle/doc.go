// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package throttle deals out the rate that an upstream takes from all routers together.
//
// An upstream in need names that rate in its answers. No router sees what the others
// send, so one of them issues permits for the upstream, and all send there only with a
// permit. Package node chooses the issuer by rendezvous hashing and carries the requests
// for permits; package balance keeps the permits until they are used or expire.
//
// An Issuer paces by the generic cell rate algorithm (ITU-T I.371, in the form of virtual
// scheduling): it keeps for each upstream when the next permit is due, and books permits
// ahead for a short time. It makes no calls, stores nothing and forgets an upstream that
// nobody asks for. One that has just started and one that stands in for another issue at
// a part of the rate, since the permits of two issuers add up.
//
// Begin reading at Issuer.Issue.
package throttle
