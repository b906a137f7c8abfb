// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package standin holds small stand-ins of the systems around the fleet: the
// platform's store, a model engine and a plain service. They run in process
// for trials and tests, or as processes of their own, and fail on command.
// Each keeps books of what it did, against which the routers are judged.
package standin
