package controller

import (
	"reflect"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
)

// machineCatalog owns the machine types that the cloud rents.
type machineCatalog struct {
	*environment
	features *featureManager
	store    *stateStore

	types  []*protocol.MachineType
	byName map[string]*protocol.MachineType
}

// applyCloudMachineTypes takes machine types as the cloud tells them.
func (mc *machineCatalog) applyCloudMachineTypes(value []byte) {
	types, err := protocol.ParseMachineTypes(value)
	if err != nil {
		mc.logMalformed("machine types", err)
		return
	}
	mc.setMachineTypes(types)
}

// applyMachineTypesRecord takes machine types from their record. That of the later form is not for
// controllerNames that know of no levels: without machine types they accept nothing.
func (mc *machineCatalog) applyMachineTypesRecord(value []byte) {
	types, later, err := records.DecodeMachineTypes(value)
	if err == nil && later && mc.features.state == nil {
		err = errLaterFormat
	}
	if err != nil {
		mc.logMalformed("machine types", err)
		return
	}
	mc.setMachineTypes(types)
}

// setMachineTypes goes by machine types from now on.
func (mc *machineCatalog) setMachineTypes(types []*protocol.MachineType) {
	for i, t := range types {
		// Mostly prices have moved and nothing else. Then the type stays the one
		// that hosts and rows know, and no row has to be made anew.
		if old := mc.byName[t.Name]; old != nil {
			same := *old
			same.Price, same.SpotPrice = t.Price, t.SpotPrice
			if reflect.DeepEqual(&same, t) {
				*old = same
				types[i] = old
			}
		}
		mc.byName[types[i].Name] = types[i]
	}
	mc.types = types
	if mc.term != nil {
		for _, h := range mc.term.cluster.Hosts() {
			// Types stay what they are; only their prices move.
			if typ := mc.byName[h.TypeName]; typ != h.Type {
				h.Type, h.Stale = typ, true
				mc.term.scheduler.removeMachine(h)
			}
		}
	}
}

// encodeMachineTypes is the record of the machine types at a level, and whether they fit into a
// value. Those that don't are left out, since part of them would have jobs refused that fit
// the others: then only the leader accepts.
func (mc *machineCatalog) encodeMachineTypes(l featuregate.Level) (value []byte, fits bool) {
	if value = records.EncodeMachineTypes(mc.types, l); len(value) <= mc.store.limits.target.maxValueBytes {
		return value, true
	}
	mc.log.Warn("machine types don't fit into a record: only the leader accepts jobs", "bytes", len(value))
	return records.EncodeMachineTypes(nil, l), false
}
