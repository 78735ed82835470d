package coordination

import "mapleslip/internal/upgrade"

// allows reports whether a feature may be used: the active level, as far as this controller
// knows it, has the feature. Levels never fall, so what was allowed once stays allowed; a
// controller that does not know the level yet allows nothing new.
func (c *Controller) allows(f upgrade.Feature) bool {
	return c.levels != nil && c.levels.active >= f.From
}

// levelState is what a controller knows of the feature levels.
type levelState struct {
	active upgrade.Level // at least this one is active
}
