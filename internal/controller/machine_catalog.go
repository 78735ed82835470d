package controller

import (
	"reflect"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/statestore"
)

// machineCatalog owns the machine types that the cloud rents.
type machineCatalog struct {
	*environment
	features *featureManager
	store    *statestore.Client

	types  []*protocol.MachineType
	byName map[string]*protocol.MachineType
}

// applyCloudMachineTypes takes machine types as the cloud lists them.
func (mc *machineCatalog) applyCloudMachineTypes(body []byte) {
	types, err := protocol.ParseMachineTypes(body)
	if err != nil {
		mc.logMalformed("machine types", err)
		return
	}
	mc.setMachineTypes(types)
}

// applyMachineTypesRecord takes machine types from their record. One that was written at a
// feature level is not for controllers that know of none: without machine types they accept
// nothing.
func (mc *machineCatalog) applyMachineTypesRecord(value []byte) {
	types, versioned, err := records.DecodeMachineTypes(value)
	if err == nil && versioned && mc.features.state == nil {
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
		if known := mc.byName[t.Name]; known != nil && updatePrices(known, t) {
			types[i] = known
		}
		mc.byName[t.Name] = types[i]
	}
	mc.types = types
	if mc.term == nil {
		return
	}
	for _, h := range mc.term.cluster.Hosts() {
		if t := mc.byName[h.TypeName]; t != h.Type {
			h.Type, h.Stale = t, true
			mc.term.scheduler.removeMachine(h)
		}
	}
}

// updatePrices takes the prices of a machine type that is the same otherwise. It stays the one
// that hosts and the slot table know, so that nothing has to be made anew for that.
func updatePrices(known, listed *protocol.MachineType) bool {
	same := *known
	same.Price, same.SpotPrice = listed.Price, listed.SpotPrice
	if !reflect.DeepEqual(&same, listed) {
		return false
	}
	*known = same
	return true
}

// encodeMachineTypes is the record of the machine types at a feature level, and whether they
// fit into a value. Those that don't are left out, since part of them would have jobs rejected
// that fit the others: then only the leader accepts.
func (mc *machineCatalog) encodeMachineTypes(l featuregate.Level) (value []byte, fits bool) {
	value = records.EncodeMachineTypes(mc.types, l)
	if len(value) <= mc.store.Target().MaxValueBytes {
		return value, true
	}
	mc.log.Warn("machine types don't fit into a record: only the leader accepts jobs", "bytes", len(value))
	return records.EncodeMachineTypes(nil, l), false
}
