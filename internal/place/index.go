package place

import (
	"math/bits"

	"greengageline/pkg/model"
)

// maxEach bounds the accelerators of one task.
const maxEach = model.MaxEach

// view is a way to count the accelerators of each worker. Every search names one.
type view int

const (
	// viewOpen counts accelerators that no job occupies and no hold reserves.
	viewOpen view = iota
	// viewSpare counts those of viewOpen that no claim reserves either.
	viewSpare
	// viewAfterEviction counts accelerators that would be available if all borrowers were evicted:
	// those that no non-borrowed job uses and no claim reserves, held or not.
	viewAfterEviction
	// viewFreeOrBorrowed counts accelerators that no non-borrowed job uses, whether or not a claim
	// reserves them.
	viewFreeOrBorrowed
	// viewSize counts all accelerators of a worker that is neither lost nor leaving.
	viewSize
	viewCount
)

// bucket is the set of racks of one zone with the same number of slots.
type bucket struct {
	racks []uint64 // bit set of positions in zone.racks
	size  int
}

// zoneIndex finds racks of a zone by their number of slots, for each task size.
//
// total[k] is the number of slots for tasks of k accelerators. A rack with s > 0 such slots is in
// bySlots[k][s] and in no other bucket of bySlots[k].
type zoneIndex struct {
	total   [maxEach + 1]int
	bySlots [maxEach + 1][]bucket
}

// rackSlots is the number of slots of a rack for each task size.
type rackSlots [maxEach + 1]int

// moveRack moves a rack between the buckets of task size k.
func (z *zoneIndex) moveRack(pos, k, from, to int) {
	z.total[k] += to - from
	if from > 0 {
		b := &z.bySlots[k][from]
		b.racks[pos/64] &^= 1 << (pos % 64)
		b.size--
	}
	if to == 0 {
		return
	}
	for len(z.bySlots[k]) <= to {
		z.bySlots[k] = append(z.bySlots[k], bucket{})
	}
	b := &z.bySlots[k][to]
	for len(b.racks) <= pos/64 {
		b.racks = append(b.racks, 0)
	}
	b.racks[pos/64] |= 1 << (pos % 64)
	b.size++
}

// updateRack updates a rack's slots after the count of one worker changed from old to now.
func (z *zoneIndex) updateRack(pos int, slots *rackSlots, old, now int) {
	for k := 1; k <= max(old, now); k++ {
		d := now/k - old/k
		if d == 0 {
			continue
		}
		z.moveRack(pos, k, slots[k], slots[k]+d)
		slots[k] += d
	}
}

// each calls f with the position of every rack in the bucket until f returns false.
func (b *bucket) each(f func(pos int) bool) {
	for i, word := range b.racks {
		for word != 0 {
			if !f(i*64 + bits.TrailingZeros64(word)) {
				return
			}
			word &= word - 1
		}
	}
}

// maxSlots returns the largest number of slots that one rack has for tasks of k accelerators.
func (z *zoneIndex) maxSlots(k int) int {
	for s := len(z.bySlots[k]) - 1; s > 0; s-- {
		if z.bySlots[k][s].size > 0 {
			return s
		}
	}
	return 0
}
