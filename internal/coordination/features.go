package coordination

import "mapleslip/internal/upgrade"

// allows reports whether a feature may be used. Levels are not joined yet: all may.
func (c *Controller) allows(upgrade.Feature) bool { return true }
