// Package bitset implements sets of small integers in the format in which agents
// exchange the indexes of the chunks that they hold.
package bitset

import (
	"iter"
	"math/bits"
)

// Set stores integer i as bit i%8 of byte i/8. Its length limits the integers that
// it can hold.
type Set []byte

// New returns an empty set with room for the integers below size.
func New(size int) Set {
	return make(Set, (size+7)/8)
}

// Has reports whether i is in the set. It returns false for an integer out of
// range.
func (s Set) Has(i int) bool {
	return i >= 0 && i/8 < len(s) && s[i/8]&(1<<(i%8)) != 0
}

// Add adds i to the set. It panics if i is out of range.
func (s Set) Add(i int) {
	s[i/8] |= 1 << (i % 8)
}

// Remove removes i from the set. It ignores integers out of range.
func (s Set) Remove(i int) {
	if i >= 0 && i/8 < len(s) {
		s[i/8] &^= 1 << (i % 8)
	}
}

// Count returns the number of integers in the set.
func (s Set) Count() int {
	count := 0
	for _, b := range s {
		count += bits.OnesCount8(b)
	}
	return count
}

// SymmetricDifference iterates over the integers that are in exactly one of the
// two sets.
func (s Set) SymmetricDifference(other Set) iter.Seq[int] {
	return func(yield func(int) bool) {
		for i := range max(len(s), len(other)) {
			for remaining := s.byteAt(i) ^ other.byteAt(i); remaining != 0; remaining &= remaining - 1 {
				if !yield(8*i + bits.TrailingZeros8(remaining)) {
					return
				}
			}
		}
	}
}

func (s Set) byteAt(i int) byte {
	if i < len(s) {
		return s[i]
	}
	return 0
}

// AnyNotIn reports whether the set contains an integer that other does not
// contain.
func (s Set) AnyNotIn(other Set) bool {
	for i, b := range s {
		if b&^other.byteAt(i) != 0 {
			return true
		}
	}
	return false
}

// AnyNotInEither reports whether the set contains an integer that neither of the
// other two sets contains.
func (s Set) AnyNotInEither(first, second Set) bool {
	for i, b := range s {
		if b&^(first.byteAt(i)|second.byteAt(i)) != 0 {
			return true
		}
	}
	return false
}

// Resized returns a copy with room for the integers below size, without the
// others.
func (s Set) Resized(size int) Set {
	resized := New(size)
	copy(resized, s)
	if remainder := size % 8; remainder != 0 && len(resized) > 0 {
		resized[len(resized)-1] &= 1<<remainder - 1
	}
	return resized
}

// Clone returns a copy of the set.
func (s Set) Clone() Set {
	return append(Set(nil), s...)
}
