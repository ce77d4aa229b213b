package place

import (
	"math/bits"

	"greengageline/pkg/model"
)

const maxEach = model.MaxEach

// view names a count of accelerators on each worker that searches go by.
type view int

const (
	// viewOpen counts accelerators that nothing occupies.
	viewOpen view = iota
	// viewSpare counts open ones that also belong to no unused share.
	viewSpare
	// viewRoom counts those that neither firm work nor an unused share has;
	// borrowers may sit there.
	viewRoom
	// viewFirm counts those without firm work, whatever share they belong to.
	viewFirm
	// viewSize counts all of a worker that takes or may again take work.
	viewSize
	views
)

// bucket is the set of racks of one zone with the same number of slots.
type bucket struct {
	racks []uint64 // bit i stands for the zone's i-th rack
	size  int
}

// zoneIndex finds racks of a zone by their slots for tasks of each size.
//
// total[k] is the number of slots for tasks of k accelerators, and a rack with
// s > 0 such slots is in by[k][s] and in no other bucket of by[k].
type zoneIndex struct {
	total [maxEach + 1]int
	by    [maxEach + 1][]bucket
}

// rackSlots counts, for each task size, how many tasks a rack can take.
type rackSlots [maxEach + 1]int

func (z *zoneIndex) move(pos, k, from, to int) {
	z.total[k] += to - from
	if from > 0 {
		b := &z.by[k][from]
		b.racks[pos/64] &^= 1 << (pos % 64)
		b.size--
	}
	if to == 0 {
		return
	}
	for len(z.by[k]) <= to {
		z.by[k] = append(z.by[k], bucket{})
	}
	b := &z.by[k][to]
	for len(b.racks) <= pos/64 {
		b.racks = append(b.racks, 0)
	}
	b.racks[pos/64] |= 1 << (pos % 64)
	b.size++
}

// change moves a rack after one worker's count went from old to now.
func (z *zoneIndex) change(pos int, slots *rackSlots, old, now int) {
	for k := 1; k <= max(old, now); k++ {
		d := now/k - old/k
		if d == 0 {
			continue
		}
		z.move(pos, k, slots[k], slots[k]+d)
		slots[k] += d
	}
}

// each calls f with the position of every rack in the bucket until f is false.
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

// most returns the largest number of slots that one rack has.
func (z *zoneIndex) most(k int) int {
	for s := len(z.by[k]) - 1; s > 0; s-- {
		if z.by[k][s].size > 0 {
			return s
		}
	}
	return 0
}
