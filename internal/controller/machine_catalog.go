package controller

import (
	"reflect"

	"mapleslip/internal/featuregate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/statestore"
)

// machineCatalog holds the machine types that the cloud rents out.
type machineCatalog struct {
	*environment
	features *featureManager
	store    *statestore.Client

	types  []*protocol.MachineType
	byName map[string]*protocol.MachineType
}

// applyCloudMachineTypes sets the machine types from a response of the cloud.
func (mc *machineCatalog) applyCloudMachineTypes(body []byte) {
	types, err := protocol.ParseMachineTypes(body)
	if err != nil {
		mc.logMalformed("machine types", err)
		return
	}
	mc.setMachineTypes(types)
}

// applyMachineTypesRecord sets the machine types from their record. A controller that does not
// support feature levels rejects a record that was written at one: without machine types it
// accepts no jobs.
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

// setMachineTypes replaces the machine types, and updates the hosts whose type has changed.
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

// updatePrices updates the prices of a known machine type, and reports whether the listed one
// differs in nothing else. Hosts and the slot table refer to the known object, so they need not be
// rebuilt for a change of prices.
func updatePrices(known, listed *protocol.MachineType) bool {
	same := *known
	same.Price, same.SpotPrice = listed.Price, listed.SpotPrice
	if !reflect.DeepEqual(&same, listed) {
		return false
	}
	*known = same
	return true
}

// encodeMachineTypes encodes the record of the machine types at a feature level, and reports
// whether they fit into a value. If they don't, the record contains none, and only the leader
// accepts jobs: with some of the types missing, other controllers would reject jobs that need them.
func (mc *machineCatalog) encodeMachineTypes(l featuregate.Level) (value []byte, fits bool) {
	value = records.EncodeMachineTypes(mc.types, l)
	if len(value) <= mc.store.Target().MaxValueBytes {
		return value, true
	}
	mc.log.Warn("machine types don't fit into a record: only the leader accepts jobs", "bytes", len(value))
	return records.EncodeMachineTypes(nil, l), false
}
