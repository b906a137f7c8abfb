// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package explain tells the story of one request from the log lines of nodes:
// what the router knew when it decided, which attempts it made, what the caller
// got, and which lost dependencies caused it.
//
// 'granitehoist explain' runs it on a log from its standard input; granitehoist-edge
// writes the lines. The package keeps no state between stories, and a Story is used
// by one goroutine at a time. It relies on the names of events (internal/event), on
// the keys of their lines as package forward and others write them, and on the
// root package's result codes: a key that is renamed there is no longer found here.
//
// Read collects: boxState keeps what each box logged of its dependencies up to the
// line at hand, sentences.go turns the lines of the request into facts. Begin
// reading at Read.
package explain
