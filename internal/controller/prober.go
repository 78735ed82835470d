package controller

import (
	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// prober asks hosts what is on them, a bounded number at a time: after a failover or behind a
// partition there are hundreds, and those that don't answer must not keep the others waiting.
type prober struct {
	*termContext
	commands   *commandSender
	membership *membership
	peers      *peerMonitor

	queue          []*state.Host
	inFlight       int
	inFlightByZone map[string]int
	nextPeer       int // which of the other controllers is asked next to probe a host
}

const (
	maxProbesInFlight = 48
	maxProbesPerZone  = 20 // on their way to one zone
	// maxProbeTries is how often a host is probed at once: the answer to the first probe may
	// say that its agent epoch is another one.
	maxProbeTries = 2
)

// MaxWorkerCalls is how many calls to workers are on their way at a time: commands, probes, and
// those made for another controller, which leads while this one does not.
const MaxWorkerCalls = maxCommandsInFlight + maxProbesInFlight

// queueProbe has a host probed, rather than waiting until its worker finds this leader.
func (p *prober) queueProbe(h *state.Host) {
	if h.Addr != "" && !h.Probe.InFlight {
		h.Probe.InFlight = true
		p.queue = append(p.queue, h)
	}
}

// runProbes sends the probes that have their turn.
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

// isNeeded reports whether a host that waits for its probe has not reported meanwhile.
func (p *prober) isNeeded(h *state.Host) bool {
	if p.cluster.Host(h.Name) != h {
		return false
	}
	reported := h.Reconciled && p.now.Steady-h.Agent.LastContact < p.platform.HeartbeatInterval
	return !reported || ignoresCommands(h)
}

// probe is a probe of one host, directly and by way of another controller.
type probe struct {
	host       *state.Host
	agentEpoch uint64
	triesLeft  int
	sentAt     micros
	answersDue int
	failed     bool // the direct one got no answer
}

// sendProbe probes a host with an empty command. If that names the host's agent epoch it also
// shows the new fencing token: from there on commands under earlier ones have no effect, and
// the heartbeat in the answer is proof. Otherwise the answer says which agent epoch it is.
func (p *prober) sendProbe(h *state.Host, agentEpoch uint64, tries int) {
	p.inFlight++
	p.inFlightByZone[h.Zone]++
	body := protocol.AppendCommands(nil, p.epoch, agentEpoch, nil)
	pr := &probe{host: h, agentEpoch: agentEpoch, triesLeft: tries - 1, sentAt: p.now.Steady, answersDue: 1}
	p.sendToWorker(h.Addr, body, commandTimeout, func(r CallResult) {
		if !p.ended() {
			p.inFlight--
			p.inFlightByZone[h.Zone]--
		}
		// Only a call that was made and got no answer says something.
		pr.failed = r.Status == 0 && !r.notAttempted()
		p.onProbeResult(pr, r)
	})
	if h.Reconciled && p.probeViaPeer(pr, body) {
		pr.answersDue++
	}
}

// onProbeResult takes one of the results of a probe.
func (p *prober) onProbeResult(pr *probe, r CallResult) {
	if p.ended() {
		return
	}
	h := pr.host
	pr.answersDue--
	last := pr.answersDue == 0
	if last {
		h.Probe.InFlight = false
	}
	if p.cluster.Host(h.Name) != h {
		return
	}
	if last && pr.failed && h.Agent.LastContact < pr.sentAt && !p.isLagging(p.now.Steady-pr.sentAt+protocol.Second) {
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

// probeViaPeer probes a silent host by way of another controller: the link from here may be
// what is lost, and to release the host would end all that runs on it. It reports whether
// there is a controller to ask.
func (p *prober) probeViaPeer(pr *probe, body []byte) bool {
	for i := range p.platform.Peers {
		peer := p.platform.Peers[(p.nextPeer+i)%len(p.platform.Peers)]
		if !p.peers.statuses[peer.Name].isFresh(p.now.Steady) {
			continue // it can hardly be reached itself
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
