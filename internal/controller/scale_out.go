package controller

import (
	"fmt"
	"net/http"

	"mapleslip/internal/configuration"
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// machineKind is what the cloud may refuse separately: a machine type in a zone, spot or not.
type machineKind struct {
	machineType, zone string
	spot              bool
}

// rentRequest is a request for machines, repeated under the same name until the cloud responds.
type rentRequest struct {
	name  string
	kind  machineKind
	count int
	tries int
}

const (
	// rentTimeout is the timeout of a request for machines.
	rentTimeout = 5 * protocol.Second
	// maxMachinesPerRequest is how many machines one request to the cloud may contain.
	maxMachinesPerRequest = 50

	maxRentTries   = 10
	rentRetryDelay = protocol.Second

	// How long a kind of machine is not requested after a request was not fulfilled.
	partialRentalPause    = 10 * protocol.Second
	minNoCapacityPause    = 8 * protocol.Second
	maxNoCapacityPause    = 40 * protocol.Second
	malformedRentalPause  = 60 * protocol.Second
	unansweredRentalPause = 20 * protocol.Second
)

// scaleOut requests machines from the cloud. The name of a request is never used again.
func (as *autoscaler) scaleOut(k machineKind, count int) {
	count = min(count, as.rentalAllowance(k, 0))
	if count == 0 {
		return // the plan already used up the ceiling, which a type's spot and other offers share
	}
	as.rentRequestSeq++
	r := &rentRequest{name: fmt.Sprintf("r-%d-%d", as.epoch, as.rentRequestSeq), kind: k, count: min(count, maxMachinesPerRequest)}
	as.requested[k] += r.count
	as.sendRentRequest(r)
}

func (as *autoscaler) sendRentRequest(r *rentRequest) {
	r.tries++
	sentAt := as.now.Steady
	body := protocol.AppendRentRequest(nil, r.name, r.kind.machineType, r.kind.zone, r.kind.spot, r.count)
	call := Call{Target: ToCloud, Priority: priorityUrgent, Method: http.MethodPost, Path: "/machines", Body: body, Timeout: rentTimeout}
	as.send(call, func(result CallResult) {
		if as.ended() {
			return
		}
		switch result.Status {
		case http.StatusOK:
			names, err := protocol.ParseMachineNames(result.Body)
			if err != nil {
				as.logMalformed("cloud", err)
				as.retryRentRequest(r)
				return
			}
			as.onRented(r, names, sentAt)
		case http.StatusServiceUnavailable:
			as.onNoCapacity(r)
		case http.StatusBadRequest:
			as.log.Error("rental refused as malformed", "claim", r.name, "body", string(body))
			as.abandonRentRequest(r, malformedRentalPause)
		default:
			as.retryRentRequest(r)
		}
	})
}

// onRented adds the machines that the cloud has rented out to the cluster state.
func (as *autoscaler) onRented(r *rentRequest, names []string, sentAt micros) {
	k := r.kind
	as.requested[k] -= r.count
	as.backoff[k] = 0
	as.log.Info("machines rented", "claim", r.name, "type", k.machineType, "zone", k.zone, "spot", k.spot, "asked", r.count, "got", len(names))
	if len(names) < r.count {
		as.refusedUntil[k] = as.now.Steady + partialRentalPause
	}
	for _, name := range names {
		if _, released := as.releasedHosts[name]; released || as.cluster.Host(name) != nil {
			continue
		}
		h := state.NewHost(sentAt, name, k.machineType, k.zone, k.spot)
		h.Type, h.Rented = as.catalog.byName[k.machineType], true
		h.Agent.LastContact = as.now.Steady
		as.cluster.AddHost(h)
	}
	as.cycleNeeded = true
}

// onNoCapacity handles a response that the cloud has no capacity for a kind of machine.
func (as *autoscaler) onNoCapacity(r *rentRequest) {
	k := r.kind
	as.backoff[k] = min(max(2*as.backoff[k], minNoCapacityPause), maxNoCapacityPause)
	as.abandonRentRequest(r, as.backoff[k])
	as.nextPlan = as.now.Steady // another kind may be available
	as.cycleNeeded = true
	as.log.Debug("rental refused", "claim", r.name, "type", k.machineType, "zone", k.zone, "spot", k.spot)
}

// abandonRentRequest abandons a request, and suspends requests for its kind of machine.
func (as *autoscaler) abandonRentRequest(r *rentRequest, pause micros) {
	as.requested[r.kind] -= r.count
	as.refusedUntil[r.kind] = as.now.Steady + pause
}

// retryRentRequest repeats a request without a usable response. The cloud rents out nothing twice
// under the same name.
func (as *autoscaler) retryRentRequest(r *rentRequest) {
	if r.tries >= maxRentTries {
		as.abandonRentRequest(r, unansweredRentalPause)
		return
	}
	as.after(rentRetryDelay, func() {
		switch {
		case as.ended():
		case as.rentalAllowance(r.kind, r.count) < r.count: // its ceiling was lowered
			as.abandonRentRequest(r, unansweredRentalPause)
		default:
			as.sendRentRequest(r)
		}
	})
}

// rentalAllowance returns how many machines of a kind may be requested under the ceiling of their
// type and zone, which spot and other machines share. alreadyRequested is the number of machines
// in a request that is repeated, 0 for a new request.
func (as *autoscaler) rentalAllowance(k machineKind, alreadyRequested int) int {
	if as.config.state == nil {
		return maxMachinesPerRequest
	}
	settings := as.config.state.settings
	if settings.Zones[k.zone] != configuration.NotDrained {
		return 0
	}
	ceiling, ok := settings.Ceilings[configuration.MachineKind{Type: k.machineType, Zone: k.zone}]
	if !ok {
		return maxMachinesPerRequest
	}
	if alreadyRequested == 0 && !as.earlierRentalsListed() {
		return 0
	}
	count := as.countMachines(k.machineType, k.zone) - alreadyRequested
	return max(0, min(maxMachinesPerRequest, ceiling-count))
}

// earlierRentalsListed reports whether the cloud's machine list certainly contains all machines
// that earlier leaders requested.
func (as *autoscaler) earlierRentalsListed() bool {
	if as.tokens.First == 1 { // the first epoch
		return true
	}
	return as.cloud.listAvailable && as.now.Steady-as.startedAt >= rentTimeout+2*as.platform.MachineListLag
}

// countMachines counts the machines of a type in a zone, including those that were requested.
func (as *autoscaler) countMachines(machineType, zone string) int {
	count := as.requested[machineKind{machineType, zone, false}] + as.requested[machineKind{machineType, zone, true}]
	for _, h := range as.cluster.Hosts() {
		if h.TypeName == machineType && h.Zone == zone && h.State != state.HostGone {
			count++
		}
	}
	return count
}
