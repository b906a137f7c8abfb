// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import "time"

const (
	// prefixCacheTime is how long an upstream is assumed to keep a prefix in its cache.
	prefixCacheTime = 20 * time.Second
	// maxRememberedPrefixes is the maximum number of prefixes remembered for one instance.
	// Each takes 32 bytes.
	maxRememberedPrefixes = 512
)

// prefixCached estimates whether an instance has a prefix in its cache: the instance owns
// the prefix, or this router sent the prefix to the instance less than prefixCacheTime ago
// (sentAt). A zero sentAt means never. Upstreams don't report the contents of their caches.
func prefixCached(owner bool, sentAt, now time.Time) bool {
	return owner || (!sentAt.IsZero() && now.Sub(sentAt) < prefixCacheTime)
}

// cachesPrefix reports whether a query's prefix is probably in the instance's cache.
func (s *instanceState) cachesPrefix(q *Query, owner *instanceState, now time.Time) bool {
	return q.PrefixHash != 0 && prefixCached(s == owner, s.prefixSentAt[q.PrefixHash], now)
}

// rememberPrefix records that a prefix was sent to an instance that does not own it. At
// maxRememberedPrefixes it first drops all earlier records.
func (s *instanceState) rememberPrefix(prefixHash uint64, now time.Time) {
	if s.prefixSentAt == nil || len(s.prefixSentAt) >= maxRememberedPrefixes {
		s.prefixSentAt = map[uint64]time.Time{}
	}
	s.prefixSentAt[prefixHash] = now
}
