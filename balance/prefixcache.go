// Copyright ©2026 The granitehoist Authors. All rights reserved.
// Use of this source code is governed by the MIT licence in the file LICENSE.

package balance

import "time"

const (
	// prefixCacheTime is how long an upstream is taken to keep a prefix in its
	// cache after it read it. Chosen, not measured.
	prefixCacheTime = 20 * time.Second
	// maxRememberedPrefixes bounds the prefixes that are remembered of one
	// instance, 32 bytes each. Chosen, not measured.
	maxRememberedPrefixes = 512
)

// prefixCached decides whether an instance is likely to have a prefix in its
// cache: it owns the prefix, so all routers send it there, or this router sent
// it there at sentAt, less than prefixCacheTime ago. A zero sentAt stands for
// never. The caches themselves can't be asked.
func prefixCached(owner bool, sentAt, now time.Time) bool {
	return owner || (!sentAt.IsZero() && now.Sub(sentAt) < prefixCacheTime)
}

// prefixCached reports whether a query's prefix is likely in a member's cache.
func (m *member) prefixCached(q *Query, owner *member, now time.Time) bool {
	return q.PrefixHash != 0 && prefixCached(m == owner, m.prefixSentAt[q.PrefixHash], now)
}

// rememberPrefix records that a prefix was sent to a member that does not own
// it. A full memory starts anew.
func (m *member) rememberPrefix(prefixHash uint64, now time.Time) {
	if m.prefixSentAt == nil || len(m.prefixSentAt) >= maxRememberedPrefixes {
		m.prefixSentAt = map[uint64]time.Time{}
	}
	m.prefixSentAt[prefixHash] = now
}
