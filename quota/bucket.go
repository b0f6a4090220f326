// Package quota limits the rate of each tenant's requests over all nodes together.
//
// Each node has an equal share of each tenant's limit and lends it to one coordinator at a time. A coordinator keeps
// a token bucket with the shares that are lent to it and grants credits from it. docs/design/quota.md explains why
// the sum over all nodes stays within the limit in every failure.
package quota

import (
	"math"

	spar "sardinespar.example/spar"
)

const (
	// creditTTL is how long a credit may be used, counted from when the node asked for it.
	creditTTL spar.Millis = 500
	// recentSlots slots of recentSlot hold the credits that may still be unused. One slot more than creditTTL needs
	// makes up for the part of the current slot that has not passed.
	recentSlot  spar.Millis = 100
	recentSlots int         = 6
	// unusedTime is the longest time for which a credit counts as unused.
	unusedTime = recentSlot * spar.Millis(recentSlots)
	// extraBurst is added to each burst, so that a tenant with a burst of 1 is still served while the share of a node
	// is missing, and unusedFree is the number of possibly unused credits that leaves the capacity unchanged. Both
	// together use half of the 20 requests by which a tenant may exceed its limit.
	extraBurst float64 = 2
	unusedFree float64 = 8
	// epsilon makes up for the rounding of a sum of shares.
	epsilon float64 = 1e-6
)

// Limits returns the limit of a tenant in requests/s and its burst. limited is false if the tenant has no limit or is
// not known.
type Limits func(tenant string) (rate, burst float64, limited bool)

// Limit is the limit of a tenant over all nodes.
type Limit struct {
	// Rate is the number of requests/s, and Burst the number of requests at once in addition to that.
	Rate  float64
	Burst float64
}

// Bucket is a token bucket with a share of a tenant's limit. Credits that may still be unused count toward its
// capacity, so that the number of requests in a window does not depend on how long credits are valid.
type Bucket struct {
	level float64
	last  spar.Millis
	// recent has the credits granted in the last slots; slot is the number of the newest one.
	recent [recentSlots]float64
	slot   int64
	// handed is the part of the burst whose tokens another coordinator handed over, until the shares that belong to
	// them are lent to this one.
	handed      float64
	handedUntil spar.Millis
}

// NewBucket returns an empty bucket.
func NewBucket(now spar.Millis) *Bucket {
	return &Bucket{last: now, slot: slotOf(now)}
}

func slotOf(now spar.Millis) int64 {
	return int64(math.Floor(float64(now / recentSlot)))
}

// Advance adds the tokens since the last call for a share of the limit, up to the capacity. A lower limit or share
// cuts the level immediately.
func (b *Bucket) Advance(now spar.Millis, limit Limit, share float64) {
	const second = 1000

	elapsed := max(0, now-b.last)
	b.last = max(b.last, now)
	b.roll(now)
	b.level += limit.Rate * share * float64(elapsed) / second
	b.level = min(b.level, b.capacity(now, limit, share))
}

// roll clears the slots of credits that have expired.
func (b *Bucket) roll(now spar.Millis) {
	slot := slotOf(now)
	for n := min(slot-b.slot, int64(recentSlots)); n > 0; n-- {
		b.recent[(slot-n+1)%int64(recentSlots)] = 0
	}

	b.slot = max(b.slot, slot)
}

// Unused returns the number of granted credits that may still be unused.
func (b *Bucket) Unused() float64 {
	sum := 0.0
	for _, n := range b.recent {
		sum += n
	}

	return sum
}

// capacity returns the highest level for a share. It leaves room for a few tokens even if more credits than the burst
// may be unused, since the rate of a tenant with a small burst could not be used otherwise.
func (b *Bucket) capacity(now spar.Millis, limit Limit, share float64) float64 {
	burst := limit.Burst + extraBurst
	if now < b.handedUntil {
		share = max(share, b.handed)
	}

	unused := max(0, b.Unused()-unusedFree*share)

	return max(burst*share-unused, min(burst, unusedFree)*share)
}

// Take takes up to n tokens as credits and returns how many it took.
func (b *Bucket) Take(n int) int {
	// The level may be beyond the range of integers.
	n = max(0, int(min(float64(n), b.level+epsilon)))
	b.level = max(0, b.level-float64(n))
	b.recent[b.slot%int64(recentSlots)] += float64(n)

	return n
}

// Return puts back up to n tokens of credits that were granted at the given time and will not be used. They no longer
// count as unused. Credits that are not counted anymore are lost, since their tokens would be added to the others.
// Tokens are also lost if more credits than the burst may still be unused: returning and granting the same tokens again
// would otherwise let any number of credits be unused at a time.
func (b *Bucket) Return(now spar.Millis, limit Limit, share float64, at spar.Millis, n int) {
	b.roll(now)

	slot := slotOf(at)
	if slot < 0 || slot > b.slot || slot <= b.slot-int64(recentSlots) {
		return
	}

	counted := &b.recent[slot%int64(recentSlots)]
	tokens := max(0, min(float64(n), *counted))
	*counted -= tokens

	burst := limit.Burst + extraBurst
	room := burst*share - b.Unused()
	b.level = max(b.level, min(b.level+tokens, room))
}

// Level returns the number of tokens.
func (b *Bucket) Level() float64 {
	return b.level
}

// Drain empties the bucket and returns what it held, for another coordinator.
func (b *Bucket) Drain() (level, unused float64) {
	level, unused = b.level, b.Unused()
	b.level, b.handed, b.handedUntil = 0, 0, 0
	clear(b.recent[:])

	return level, unused
}

// Receive adds what another coordinator held. Its tokens are kept until the given time even if the shares that belong
// to them are not lent to this bucket by then; the level never exceeds the burst.
func (b *Bucket) Receive(now spar.Millis, limit Limit, share, level, unused float64, until spar.Millis) {
	b.roll(now)

	burst := limit.Burst + extraBurst
	b.level = min(b.level+max(0, level), burst)
	b.recent[b.slot%int64(recentSlots)] += max(0, unused)
	b.handed, b.handedUntil = max(share, min(1, (b.level+b.Unused())/burst)), until
	b.level = min(b.level, b.capacity(now, limit, share))
}
