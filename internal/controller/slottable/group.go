package slottable

// groupKey holds the properties that all rows of a group have in common.
type groupKey struct {
	machineType, zone       string
	spot, onlyOpportunistic bool
}

// group is a set of rows that a request allows or excludes as a whole.
type group struct {
	groupKey
	capacity           resources // component-wise maximum of its rows
	fetchTime          func(size int64) micros
	buckets            [maxLevel + 1]bucket       // rows that have room now, by whole GPUs free
	rowsByFreeTime     [maxLevel + 1][]indexedRow // by level, in the order in which it becomes free
	preemptibleBuckets [maxLevel + 1]bucket       // as buckets, if all preemptible tasks were evicted
}

// groupOf returns the group that a row belongs to, and creates the group if there is none.
func (t *Table) groupOf(m *Machine) *group {
	key := groupKey{m.Type, m.Zone, m.Spot, m.OnlyOpportunistic}
	if g := m.entry.group; g != nil && g.groupKey == key {
		return g
	}
	g := t.groups[key]
	if g == nil {
		if t.groups == nil {
			t.groups = make(map[groupKey]*group)
		}
		g = &group{groupKey: key, fetchTime: m.FetchTime}
		t.groups[key] = g
		t.addZone(m.Zone)
		t.groupsByZone[m.Zone] = append(t.groupsByZone[m.Zone], g)
		t.groupList = append(t.groupList, g)
	}
	g.fetchTime = m.FetchTime // rows are created again when their machine type changes
	g.capacity = maxResources(g.capacity, m.Capacity)
	return g
}

// addZone adds a zone to the list of zones. A gang that has to be in a single zone tries them in
// the order in which they were added.
func (t *Table) addZone(name string) {
	if _, known := t.groupsByZone[name]; known {
		return
	}
	if t.groupsByZone == nil {
		t.groupsByZone = make(map[string][]*group)
	}
	t.groupsByZone[name] = nil
	t.zones = append(t.zones, name)
}

// extraCost returns the cost that every place on a row of the group has in addition to its time,
// whatever is free on the row; see Table.fragmentationCost.
func (g *group) extraCost(r *Request) micros {
	if r.AllowSpot && !g.spot && r.Resources.GPU > 0 {
		return onDemandCost
	}
	return 0
}

// suits reports whether a request allows the rows of a group, regardless of how much is free on
// them.
func (g *group) suits(r *Request) bool {
	if g.spot && !r.AllowSpot || g.onlyOpportunistic && r.SpareCapacityOnly {
		return false
	}
	return (r.Zone == "" || r.Zone == g.zone) && allowsType(r.Types, g.machineType)
}
