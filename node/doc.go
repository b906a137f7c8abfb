// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package node puts the parts of a router on the users' platform together:
// it follows the configuration and the workers' announcements, serves clients,
// keeps the prepaid tokens in step with the store, answers its neighbours, and
// stops in good order. Adapter holds all that depends on the platform.
package node
