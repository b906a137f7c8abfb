// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

// Package httpvalid finds what HTTP does not allow in a response that net/http has parsed.
//
// net/http takes any three characters that are a number for a status, any major version, and
// field names with blanks, which it leaves as they are: a length in the field "Content-Length "
// does not frame the body. Such a response is broken, and the length and the meaning of what it
// holds are in doubt (RFC 9110, sections 5.1 and 15; RFC 9112, sections 2.3 and 5.1). What
// net/http rejects itself is not checked again: control bytes, lengths that differ and unknown
// transfer codings.
//
// Packages exchange and tunnel call Response; the clients of net/http in platform,
// partner/upstream and partner/boxlist use a Transport. Begin reading at Response.
package httpvalid
