package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// prober requests heartbeats from hosts, which report the tasks on them. The number of concurrent
// probes is limited: after a failover or a partition hundreds of hosts have to be probed, and hosts
// that don't answer must not delay the others.
type prober struct {
	*termContext
	commands   *commandSender
	membership *membership
	peers      *peerMonitor

	queue          []*state.Host
	inFlight       int
	inFlightByZone map[string]int
	nextPeer       int // index of the peer that is asked next to probe a host
}

const (
	maxProbesInFlight = 48
	maxProbesPerZone  = 20 // concurrent probes of hosts in one zone
	// maxProbeTries is how many probes are sent to a host in a row: the answer to the first one
	// may contain a different agent epoch, which the second one has to name.
	maxProbeTries = 2
)

// MaxWorkerCalls is the maximum number of concurrent calls to workers. These are the leader's
// commands and probes, or, while this controller does not lead, probes on behalf of the leader.
const MaxWorkerCalls = maxCommandsInFlight + maxProbesInFlight

// queueProbe queues a probe of a host, so that the leader does not have to wait until the worker
// finds it.
func (p *prober) queueProbe(h *state.Host) {
	if h.Addr != "" && !h.Probe.InFlight {
		h.Probe.InFlight = true
		p.queue = append(p.queue, h)
	}
}

// runProbes sends the queued probes, within the limits of concurrent probes.
func (p *prober) runProbes() {
	waiting := p.queue[:0]
	for i, h := range p.queue {
		if p.inFlight >= maxProbesInFlight {
			waiting = append(waiting, p.queue[i:]...)
			break
		}
		switch {
		case p.inFlightByZone[h.Zone] >= maxProbesPerZone:
			waiting = append(waiting, h)
		case p.isNeeded(h):
			p.sendProbe(h, max(1, h.Agent.Epoch), maxProbeTries)
		default:
			h.Probe.InFlight = false
		}
	}
	p.queue = waiting
}

// isNeeded reports whether a queued probe is still needed: the host is still in the cluster, and
// has not sent a heartbeat meanwhile or ignores commands.
func (p *prober) isNeeded(h *state.Host) bool {
	if p.cluster.Host(h.Name) != h {
		return false
	}
	reported := h.Reconciled && p.now.Steady-h.Agent.LastContact < p.platform.HeartbeatInterval
	return !reported || ignoresCommands(h)
}

// probe is a probe of one host, sent directly and possibly also by another controller.
type probe struct {
	host           *state.Host
	agentEpoch     uint64
	triesLeft      int
	sentAt         micros
	pendingResults int
	directFailed   bool // the direct call got no answer
}

// sendProbe probes a host with an empty list of commands. If the message contains the host's
// current agent epoch, the worker adopts the new fencing token from it: from then on commands with
// earlier tokens have no effect, and the heartbeat in the answer proves what runs on the host.
// Otherwise the answer contains the current agent epoch.
func (p *prober) sendProbe(h *state.Host, agentEpoch uint64, tries int) {
	p.inFlight++
	p.inFlightByZone[h.Zone]++
	body := protocol.AppendCommands(nil, p.commands.token(h), agentEpoch, nil)
	pr := &probe{host: h, agentEpoch: agentEpoch, triesLeft: tries - 1, sentAt: p.now.Steady, pendingResults: 1}
	p.sendToWorker(h.Addr, body, commandTimeout, func(r CallResult) {
		if !p.ended() {
			p.inFlight--
			p.inFlightByZone[h.Zone]--
		}
		// A call that was not attempted gives no information about the host.
		pr.directFailed = r.Status == 0 && !r.notAttempted()
		p.onProbeResult(pr, r)
	})
	if h.Reconciled && p.probeViaPeer(pr, body) {
		pr.pendingResults++
	}
}

// onProbeResult handles the result of one of a probe's calls.
func (p *prober) onProbeResult(pr *probe, r CallResult) {
	if p.ended() {
		return
	}
	h := pr.host
	pr.pendingResults--
	lastResult := pr.pendingResults == 0
	if lastResult {
		h.Probe.InFlight = false
	}
	if p.cluster.Host(h.Name) != h {
		return
	}
	if lastResult && pr.directFailed && h.Agent.LastContact < pr.sentAt && !p.isLagging(p.now.Steady-pr.sentAt+protocol.Second) {
		h.Probe.Failed = true
	}
	report := p.commands.parseCommandResponse(h, r)
	if report == nil || !p.commands.applyCommandResponse(h, report) {
		return
	}
	if pr.triesLeft > 0 && !h.Reconciled && report.AgentEpoch != pr.agentEpoch {
		h.Probe.InFlight = true
		p.sendProbe(h, report.AgentEpoch, pr.triesLeft)
	}
}

// probeViaPeer requests another controller to probe a silent host: only the link from this
// controller may be broken, and releasing the host would end all its tasks. It returns false if no
// controller is available.
func (p *prober) probeViaPeer(pr *probe, body []byte) bool {
	for i := range p.platform.Peers {
		peer := p.platform.Peers[(p.nextPeer+i)%len(p.platform.Peers)]
		if !p.peers.statuses[peer.Name].isFresh(p.now.Steady) {
			continue // the controller itself is probably unreachable
		}
		p.nextPeer += i + 1
		m := &protocol.PeerMessage{Kind: protocol.PeerWorkerProbe, Addr: pr.host.Addr, Body: body}
		p.sendPeer(peer.Address, m, commandTimeout, func(r CallResult) {
			var result CallResult
			if m := p.membership.parsePeerMessage(r, protocol.PeerResponse); m != nil {
				result = CallResult{Status: int(m.Status), Body: m.Body}
			}
			p.onProbeResult(pr, result)
		})
		return true
	}
	return false
}
