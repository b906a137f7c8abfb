// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package explain tells the story of one request from the log lines of nodes:
// what was known when it was decided on, what was tried, what the caller was
// told, and which lost dependencies stood behind it.
package explain
