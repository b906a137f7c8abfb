// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package suspect

// Kind says what evidence is against.
type Kind int

// The kinds of what evidence is against.
const (
	// KindRequest is a request, in whatever copies it arrives.
	KindRequest Kind = iota
	// KindScope is all requests of a Scope.
	KindScope
	// KindPart is all requests whose prompts have a Part.
	KindPart
)

// subject is what evidence is against. The zero value is a request.
type subject struct {
	kind Kind
	// proven says that the request, or a request with the part, has succeeded: a part at any
	// time, a request since its first crash. It is not set for scopes, and never unset.
	proven bool
}

// merge adds what another observation or record says of the same subject.
func (s *subject) merge(other subject) {
	s.kind = max(s.kind, other.kind)
	s.proven = s.proven || other.proven
}
