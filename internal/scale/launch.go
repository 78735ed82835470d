package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/checker"
	"mapleslip/internal/scale/users"
	"mapleslip/internal/scale/wire"
)

// Start of a run: settings files, the processes in their order, and the wait for a leader.

// run starts all processes in their order, waits for a leader and runs the load.
func (s *supervisor) run(ctx context.Context) error {
	platform, err := s.prepareControllers()
	if err != nil {
		return err
	}
	machines := s.placeMachines()
	partConfig := func(role, part string) *wire.Config {
		return &wire.Config{Role: role, Part: part, Seed: s.file.Seed, Platform: platform, Types: s.file.machineTypes(), Network: s.network.Prefix, ReportsPerCopy: s.file.Workers.ReportsPerCopy, EndsUS: s.deadline + 10*int64(protocol.Second)}
	}
	s.printProgress("starting %d machines in %d zones of %d regions, %d controllers, %d processes", len(machines), s.file.zoneCount(), len(s.file.Regions), len(s.controllers), s.processes())
	if err := s.startStandins(machines, partConfig); err != nil {
		return err
	}
	if err := s.startRelays(machines, partConfig); err != nil {
		return err
	}
	if err := s.awaitReady(ctx); err != nil {
		return err
	}
	for _, c := range s.controllers {
		if err := s.startController(c); err != nil {
			return err
		}
	}
	if err := s.startWorkers(machines, partConfig); err != nil {
		return err
	}
	if err := s.awaitReady(ctx); err != nil {
		return err
	}
	s.printProgress("machines report")
	if err := s.awaitLeader(ctx); err != nil {
		return err
	}
	begin := wire.Now() + 3*int64(protocol.Second)
	if err := s.startUsers(begin, partConfig); err != nil {
		return err
	}
	if err := s.awaitReady(ctx); err != nil {
		return err
	}
	s.meter.begin(begin, s.file)
	return s.eventLoop(ctx, begin)
}

// partConfigFunc returns the configuration that the parts of all roles have in common.
type partConfigFunc = func(role, part string) *wire.Config

// prepareControllers writes the settings of the controllers and prepares the checker. It returns the platform's
// settings.
func (s *supervisor) prepareControllers() (platform string, err error) {
	for i, z := range s.file.Controllers.Zones {
		s.controllers = append(s.controllers, &controllerState{name: s.file.controllerNames()[i], zone: z, region: s.file.regionOf(z), ip: s.ip(fmt.Sprintf("1.%d", 10+i))})
	}
	if platform, err = s.writeSettings(); err != nil {
		return "", err
	}
	p, err := protocol.ParsePlatform([]byte(platform))
	if err != nil {
		return "", err
	}
	s.hub = checker.New(p, s.file.machineTypes(), func(part string, m *wire.Message) {
		if p := s.parts[part]; p != nil {
			p.send(m)
		}
	})
	s.hub.Starts(func(st checker.Start) {
		if s.firstStart == 0 {
			s.firstStart = st.At
		}
		s.meter.addStart(st)
	})
	return platform, nil
}

// startStandins starts the part that serves the state service and the cloud.
func (s *supervisor) startStandins(machines []wire.Machine, partConfig partConfigFunc) (err error) {
	if s.standins, err = s.startPart("standins", wire.RoleStandins, s.file.State.Region); err != nil {
		return err
	}
	c := partConfig(wire.RoleStandins, "standins")
	c.Machines, c.State, c.Cloud, c.LatencyUS, c.Spare = machines, s.stateAddr(true), s.cloudAddr(true), int64(s.file.State.LatencyMS*1000), s.spareMachines()
	s.standins.send(&wire.Message{Kind: wire.Setup, Setup: c})
	return nil
}

// startRelays starts the relay of each region.
func (s *supervisor) startRelays(machines []wire.Machine, partConfig partConfigFunc) error {
	regionByIP := s.regionsOf(machines)
	for _, r := range s.file.Regions {
		name := "relay-" + r.Name
		relay, err := s.startPart(name, wire.RoleRelay, r.Name)
		if err != nil {
			return err
		}
		c := partConfig(wire.RoleRelay, name)
		c.Types = nil
		c.Links = &wire.Links{Region: r.Name, Listen: s.relayTargets(r.Name, machines), Of: regionByIP, Delay: s.delays(r.Name), Loss: s.file.Network.Loss, Jitter: s.file.Network.Jitter}
		relay.send(&wire.Message{Kind: wire.Setup, Setup: c})
		s.relays = append(s.relays, relay)
	}
	return nil
}

// startUsers starts the part that sends the load, from the time begin on.
func (s *supervisor) startUsers(begin int64, partConfig partConfigFunc) (err error) {
	if s.users, err = s.startPart("users", wire.RoleUsers, ""); err != nil {
		return err
	}
	c := partConfig(wire.RoleUsers, "users")
	c.Types = nil
	c.Controllers = s.controllerAddrs()
	if c.Load, err = json.Marshal(s.usersPlan(begin)); err != nil {
		return err
	}
	s.users.send(&wire.Message{Kind: wire.Setup, Setup: c})
	return nil
}

// historyPages is the number of pages of configuration history that controllers keep, as in
// deploy/configuration.toml.
const historyPages = 256

// writeSettings writes the settings files of the controllers and of the run, and returns the
// platform settings of the first controller.
func (s *supervisor) writeSettings() (string, error) {
	firstText := ""
	writeFile := func(name, text string) (string, error) {
		path := filepath.Join(s.options.Out, name)
		return path, os.WriteFile(path, []byte(text), 0o644)
	}
	for i, c := range s.controllers {
		p := s.file.platform()
		inStateRegion := c.region == s.file.State.Region
		p.ControllerName, p.Zone, p.ClientListen, p.ClusterListen = c.name, c.zone, c.clientAddr(true), c.clusterAddr(true)
		p.StateAddr, p.CloudAddr = s.stateAddr(inStateRegion), s.cloudAddr(inStateRegion)
		for _, other := range s.controllers {
			if other != c {
				p.Peers = append(p.Peers, protocol.Peer{Name: other.name, Zone: other.zone, Address: other.clusterAddr(other.region == c.region)})
			}
		}
		text, err := protocol.SettingsFile(&p)
		if err != nil {
			return "", err
		}
		if i == 0 {
			firstText = string(text)
		}
		for _, file := range []struct{ flag, name, text string }{
			{"--config", c.name + ".toml", string(text)},
			{"--operator", c.name + "-operator.toml", fmt.Sprintf("source_address = %q\nidle_return_s = %g\ncut_keep_s = %g\n", c.ip, s.file.Controllers.IdleReturnS, s.file.Controllers.CutKeepS)},
			{"--telemetry", c.name + "-telemetry.toml", fmt.Sprintf("listen = %q\nsnapshot_s = 1.0\n", c.telemetryAddr())},
		} {
			path, err := writeFile(file.name, file.text)
			if err != nil {
				return "", err
			}
			c.args = append(c.args, file.flag, path)
		}
	}
	if s.file.Changes != nil {
		path, err := writeFile("configuration.toml", fmt.Sprintf("history_pages = %d\n", historyPages))
		if err != nil {
			return "", err
		}
		for _, c := range s.controllers {
			c.args = append(c.args, "--configuration", path)
		}
	}
	text, err := s.file.Text()
	if err != nil {
		return "", err
	}
	_, err = writeFile("settings.toml", string(text))
	return firstText, err
}

// usersPlan returns the plan of the load that is sent to the users process.
func (s *supervisor) usersPlan(begin int64) *users.Plan {
	us := func(v float64) int64 { return int64(protocol.FromSeconds(v)) }
	p := &users.Plan{
		BeginUS: begin, DurationUS: us(s.file.DurationS), SettleUS: us(s.file.SettleS), FillUS: us(s.file.FillS), PollUS: us(s.file.Users.PollS),
		MaxConnections: s.file.Users.MaxConnections, Teams: s.file.teamNames(), Classes: s.file.Jobs, Changes: s.file.Load, Sources: make(map[string]string), Strangers: 0.5,
	}
	for _, r := range s.file.Regions {
		p.Regions = append(p.Regions, r.Name)
		p.Sources[r.Name] = s.userIP(r.Name)
	}
	if s.file.Changes == nil {
		return p
	}
	p.Operators = s.file.Changes
	platform := s.file.platform()
	for _, name := range s.file.teamNames() {
		p.Bounds.Teams = append(p.Bounds.Teams, platform.Teams[name])
	}
	p.Bounds.Machines = slices.Sorted(maps.Keys(s.machines))
	p.Bounds.Ceilings = make(map[string]int)
	for _, m := range s.machines {
		p.Bounds.Ceilings[m.Type+"/"+m.Zone]++
	}
	return p
}

// startWorkers starts the hollow processes, which simulate many workers each, and a process for
// each real worker.
func (s *supervisor) startWorkers(machines []wire.Machine, partConfig func(role, part string) *wire.Config) error {
	machinesByPart := make(map[string][]wire.Machine)
	perRegion := s.hollowPerRegion()
	for _, r := range s.file.Regions {
		for i := range perRegion {
			name := fmt.Sprintf("hollow-%s-%d", r.Name, i)
			p, err := s.startPart(name, wire.RoleHollow, r.Name)
			if err != nil {
				return err
			}
			s.hollow[r.Name] = append(s.hollow[r.Name], p)
		}
	}
	assigned := make(map[string]int)
	for _, m := range machines {
		var p *process
		if m.Real {
			var err error
			if p, err = s.startPart("worker-"+m.Name, wire.RoleWorker, m.Region); err != nil {
				return err
			}
		} else {
			p = s.hollow[m.Region][assigned[m.Region]%perRegion]
			assigned[m.Region]++
		}
		machinesByPart[p.name] = append(machinesByPart[p.name], m)
		s.machines[m.Name] = &machineState{m, p}
		s.hub.Machine(m, p.name)
	}
	for name, p := range s.parts {
		if p.role == wire.RoleHollow || p.role == wire.RoleWorker {
			c := partConfig(p.role, name)
			c.Machines, c.Controllers = machinesByPart[name], s.controllerAddrs()
			p.send(&wire.Message{Kind: wire.Setup, Setup: c})
		}
	}
	return nil
}

func (s *supervisor) startController(c *controllerState) error {
	p, err := s.track(startController(s.options.Controller, s.options.Out, c.name, c.region, c.args...))
	if err != nil {
		return err
	}
	c.proc, c.restartAt, c.frozen = p, 0, false
	return nil
}

// awaitReady waits until every part has reported that it listens, for at most 60 s.
func (s *supervisor) awaitReady(ctx context.Context) error {
	timeout := time.After(60 * time.Second)
	for {
		missing := ""
		for _, name := range slices.Sorted(maps.Keys(s.parts)) {
			if !s.ready[name] {
				missing = name
				break
			}
		}
		if missing == "" || s.partErr != nil {
			return s.partErr
		}
		select {
		case m := <-s.in:
			s.handleMessage(m)
		case <-ctx.Done():
			return s.contextError(ctx)
		case <-timeout:
			return fmt.Errorf("%s is not ready after 60 s", missing)
		}
	}
}

// contextError returns the reason why a context has ended: the time limit or an interruption.
func (s *supervisor) contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &limitError{fmt.Sprintf("not over after limits.max_s = %g s", s.file.Limits.MaxS)}
	}
	return errors.New("interrupted")
}

// awaitLeader waits until the metrics of a controller show it as leader, for at most 60 s.
func (s *supervisor) awaitLeader(ctx context.Context) error {
	reader := sampler{}
	timeout := time.After(60 * time.Second)
	tick := time.NewTicker(300 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case m := <-s.in:
			s.handleMessage(m)
			if s.partErr != nil {
				return s.partErr
			}
		case <-tick.C:
			if err := s.checkProcesses(); err != nil {
				return err
			}
			if l := leaderOf(reader.collect(nil, s.telemetryAddrs()).scraped); l != "" {
				s.printProgress("%s leads", l)
				return nil
			}
		case <-ctx.Done():
			return s.contextError(ctx)
		case <-timeout:
			return errors.New("no controller leads after 60 s")
		}
	}
}
