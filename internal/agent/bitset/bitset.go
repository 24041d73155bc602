// Package bitset holds sets of small integers in the form in which agents
// tell each other which chunks they hold.
package bitset

import (
	"iter"
	"math/bits"
)

// Set has bit i%8 of byte i/8 set when i is in the set. Its length bounds
// the integers that it can hold.
type Set []byte

// New returns an empty set for the integers below size.
func New(size int) Set {
	return make(Set, (size+7)/8)
}

// Has reports whether i is in the set; integers out of bounds are not.
func (s Set) Has(i int) bool {
	return i >= 0 && i/8 < len(s) && s[i/8]&(1<<(i%8)) != 0
}

// Add puts i into the set. It panics when i is out of bounds.
func (s Set) Add(i int) {
	s[i/8] |= 1 << (i % 8)
}

// Remove takes i out of the set; integers out of bounds are ignored.
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

// Differences returns the integers that are in exactly one of the sets.
func (s Set) Differences(other Set) iter.Seq[int] {
	return func(yield func(int) bool) {
		for i := range max(len(s), len(other)) {
			for rest := s.at(i) ^ other.at(i); rest != 0; rest &= rest - 1 {
				if !yield(8*i + bits.TrailingZeros8(rest)) {
					return
				}
			}
		}
	}
}

func (s Set) at(i int) byte {
	if i < len(s) {
		return s[i]
	}
	return 0
}

// Exceeds reports whether the set holds an integer that other does not.
func (s Set) Exceeds(other Set) bool {
	for i, b := range s {
		if b&^other.at(i) != 0 {
			return true
		}
	}
	return false
}

// ExceedsBoth reports whether the set holds an integer that neither of the others does.
func (s Set) ExceedsBoth(first, second Set) bool {
	for i, b := range s {
		if b&^(first.at(i)|second.at(i)) != 0 {
			return true
		}
	}
	return false
}

// Fit returns a copy for the integers below size; others are dropped.
func (s Set) Fit(size int) Set {
	fitted := New(size)
	copy(fitted, s)
	if rest := size % 8; rest != 0 && len(fitted) > 0 {
		fitted[len(fitted)-1] &= 1<<rest - 1
	}
	return fitted
}

// Clone returns a copy.
func (s Set) Clone() Set {
	return append(Set(nil), s...)
}
