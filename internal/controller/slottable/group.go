package slottable

// groupKey is what rows of a group have in common.
type groupKey struct {
	machineType, zone       string
	spot, onlyOpportunistic bool
}

// group is rows that a request allows or excludes alike.
type group struct {
	groupKey
	capacity           resources // the most that one of its rows has
	fetchTime          func(size int64) micros
	shelves            [maxLevel + 1]shelf        // rows with room now, by what is free
	laterByLevel       [maxLevel + 1][]indexedRow // rows by the time from which a level is free
	preemptibleShelves [maxLevel + 1]shelf        // rows by what is free if all gives way that may
}

// groupOf is the group that a row belongs to.
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
		t.byZone[m.Zone] = append(t.byZone[m.Zone], g)
		t.groupList = append(t.groupList, g)
	}
	g.fetchTime = m.FetchTime // rows are made anew when what is known of their type changes
	g.capacity = maxResources(g.capacity, m.Capacity)
	return g
}

// addZone notes a zone: gangs that have to be in one try them in the order in which
// they were first seen.
func (t *Table) addZone(name string) {
	if _, known := t.byZone[name]; known {
		return
	}
	if t.byZone == nil {
		t.byZone = make(map[string][]*group)
	}
	t.byZone[name] = nil
	t.zones = append(t.zones, name)
}

// extraCost is what a place on a row of the group costs beside its time, whatever is
// free there; see Table.fragmentationCost.
func (g *group) extraCost(r *Request) micros {
	if r.AllowSpot && !g.spot && r.Resources.GPU > 0 {
		return onDemandCost
	}
	return 0
}

// suits reports whether a request allows the rows of a group, but for how much
// they have.
func (g *group) suits(r *Request) bool {
	if g.spot && !r.AllowSpot || g.onlyOpportunistic && r.SpareCapacityOnly {
		return false
	}
	return (r.Zone == "" || r.Zone == g.zone) && allowsType(r.Types, g.machineType)
}
