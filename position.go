package mulberryspool

import "cmp"

type (
	// Era counts how often a store was restored from a copy. A restored store has lost its
	// last changes and gives their revisions to others, so revisions are ordered within an
	// era only. The zero Era is that of a store that does not name its eras.
	Era uint64

	// Position is a point in a store's history.
	Position struct {
		Era      Era
		Revision Revision
	}
)

// Compare returns a negative number if p is before other, and a positive one if it is after
// it. A position in a later era is after all positions in earlier ones, although the
// store may have lost changes before it.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// After reports whether p is after other.
func (p Position) After(other Position) bool { return p.Compare(other) > 0 }

// Max returns the later of p and other.
func (p Position) Max(other Position) Position {
	if other.After(p) {
		return other
	}
	return p
}
