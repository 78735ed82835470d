package controller

import (
	"fmt"

	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// machineKind is what the cloud may refuse by itself: a type, in a zone, spot or not.
type machineKind struct {
	machineType, zone string
	spot              bool
}

// claimLeadership is one rental request, repeated under its name until it is answered.
type rentRequest struct {
	name  string
	kind  machineKind
	count int
	tries int
}

// rentTimeout is how long the cloud has to answer a request for machines.
const rentTimeout = 5 * protocol.Second

// maxMachinesPerRequest is how many machines one request to the cloud may ask for.
const maxMachinesPerRequest = 50

// scaleOut asks the cloud for machines. The name of a request is never used again.
func (as *autoscaler) scaleOut(k machineKind, count int) {
	if count = min(count, as.rentalAllowance(k, 0)); count == 0 {
		return // the offers of a type, spot and not, share a ceiling
	}
	as.rentRequestSeq++
	cl := &rentRequest{name: fmt.Sprintf("r-%d-%d", as.epoch, as.rentRequestSeq), kind: k, count: min(count, maxMachinesPerRequest)}
	as.requested[k] += cl.count
	as.sendRentRequest(cl)
}

func (as *autoscaler) sendRentRequest(cl *rentRequest) {
	cl.tries++
	k := cl.kind
	body := protocol.AppendRentRequest(nil, cl.name, k.machineType, k.zone, k.spot, cl.count)
	asked := as.now.Steady
	as.call(ToCloud, priorityUrgent, "POST", "/machines", body, rentTimeout, 0, func(res CallResult) {
		if as.ended() {
			return
		}
		at := as.now.Steady
		switch res.Status {
		case 200:
			names, err := protocol.ParseMachineNames(res.Body)
			if err != nil {
				as.logMalformed("cloud", err)
				break
			}
			as.requested[k] -= cl.count
			as.backoff[k] = 0
			as.log.Info("rented", "claim", cl.name, "type", k.machineType, "zone", k.zone, "spot", k.spot, "asked", cl.count, "got", len(names))
			if len(names) < cl.count {
				as.refusedUntil[k] = at + 10*protocol.Second
			}
			for _, name := range names {
				if _, gone := as.releasedHosts[name]; as.cluster.Host(name) == nil && !gone {
					h := state.NewHost(asked, name, k.machineType, k.zone, k.spot)
					h.Type, h.Rented = as.catalog.byName[k.machineType], true
					h.Agent.LastContact = at
					as.cluster.AddHost(h)
				}
			}
			as.cycleNeeded = true
			return
		case 503:
			as.requested[k] -= cl.count
			as.backoff[k] = min(max(2*as.backoff[k], 8*protocol.Second), 40*protocol.Second)
			as.refusedUntil[k] = at + as.backoff[k]
			as.nextPlan = at // another kind may have some
			as.cycleNeeded = true
			as.log.Debug("rental refused", "claim", cl.name, "type", k.machineType, "zone", k.zone, "spot", k.spot)
			return
		case 400:
			as.requested[k] -= cl.count
			as.refusedUntil[k] = at + 60*protocol.Second
			as.log.Error("rental refused as malformed", "claim", cl.name, "body", string(body))
			return
		}
		// Not answered: repeated under the same name, it rents nothing twice.
		if cl.tries >= 10 {
			as.requested[k] -= cl.count
			as.refusedUntil[k] = at + 20*protocol.Second
			return
		}
		as.after(protocol.Second, func() {
			switch {
			case as.ended():
			case as.rentalAllowance(k, cl.count) < cl.count: // its ceiling was lowered
				as.requested[k] -= cl.count
				as.refusedUntil[k] = as.now.Steady + 20*protocol.Second
			default:
				as.sendRentRequest(cl)
			}
		})
	})
}

// rentalAllowance bounds how many machines of a kind may be asked for, by the ceiling of their
// type and zone, spot or not. mine are those that a request which is repeated has asked
// for already.
func (as *autoscaler) rentalAllowance(k machineKind, mine int) int {
	if as.config.state == nil {
		return maxMachinesPerRequest
	}
	if as.config.state.settings.Zones[k.zone] != configuration.NotDrained {
		return 0
	}
	ceiling, ok := as.config.state.settings.Ceilings[configuration.Kind{Type: k.machineType, Zone: k.zone}]
	if !ok {
		return maxMachinesPerRequest
	}
	if mine == 0 && as.epoch > 1 && (!as.cloud.listAnswering || as.now.Steady-as.startedAt < rentTimeout+2*as.platform.MachineListLag) {
		return 0 // what an earlier leader asked for may not be listed yet
	}
	there := as.requested[machineKind{k.machineType, k.zone, false}] + as.requested[machineKind{k.machineType, k.zone, true}] - mine
	for _, h := range as.cluster.Hosts() {
		if h.TypeName == k.machineType && h.Zone == k.zone && h.State != state.HostGone {
			there++
		}
	}
	return max(0, min(maxMachinesPerRequest, ceiling-there))
}
