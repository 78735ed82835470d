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

// Start of a run: settings, processes in their order, and the wait until a controller leads.

// play starts everything in its order, and runs the load.
func (s *supervisor) play(ctx context.Context) error {
	for i, z := range s.f.Controllers.Zones {
		s.controllers = append(s.controllers, &controllerAt{name: s.f.controllerNames()[i], zone: z, region: s.f.regionOf(z), ip: s.ip(fmt.Sprintf("1.%d", 10+i))})
	}
	platform, err := s.settings()
	if err != nil {
		return err
	}
	machines := s.drawMachines()
	config := func(role, part string) *wire.Config {
		return &wire.Config{Role: role, Part: part, Seed: s.f.Seed, Platform: platform, Types: s.f.machineTypes(), Network: s.network.Prefix, EndsUS: s.until + 10*int64(protocol.Second)}
	}
	p, err := protocol.ParsePlatform([]byte(platform))
	if err != nil {
		return err
	}
	s.hub = checker.New(p, s.f.machineTypes(), func(part string, m *wire.Message) {
		if p := s.parts[part]; p != nil {
			p.send(m)
		}
	})
	s.hub.Starts(func(st checker.Start) {
		if s.firstStart == 0 {
			s.firstStart = st.At
		}
		s.meter.start(st)
	})

	s.say("starting %d machines in %d zones of %d regions, %d controllers, %d processes", len(machines), len(p.Zones), len(s.f.Regions), len(s.controllers), s.processes())
	if s.standins, err = s.startPart("standins", wire.RoleStandins, s.f.State.Region); err != nil {
		return err
	}
	c := config(wire.RoleStandins, "standins")
	c.Machines, c.State, c.Cloud, c.LatencyUS, c.Spare = machines, s.stateAddr(true), s.cloudAddr(true), int64(s.f.State.LatencyMS*1000), s.spare()
	s.standins.send(&wire.Message{Kind: wire.Setup, Setup: c})
	of := s.regionsOf(machines)
	for _, r := range s.f.Regions {
		name := "relay-" + r.Name
		relay, err := s.startPart(name, wire.RoleRelay, r.Name)
		if err != nil {
			return err
		}
		c := config(wire.RoleRelay, name)
		c.Types = nil
		c.Links = &wire.Links{Region: r.Name, Listen: s.listen(r.Name, machines), Of: of, Delay: s.delays(r.Name), Loss: s.f.Network.Loss, Jitter: s.f.Network.Jitter}
		relay.send(&wire.Message{Kind: wire.Setup, Setup: c})
		s.relays = append(s.relays, relay)
	}
	if err := s.allReady(ctx); err != nil {
		return err
	}
	for _, c := range s.controllers {
		if err := s.startController(c); err != nil {
			return err
		}
	}
	if err := s.startWorkers(machines, config); err != nil {
		return err
	}
	if err := s.allReady(ctx); err != nil {
		return err
	}
	s.say("machines report")
	if err := s.awaitLeader(ctx); err != nil {
		return err
	}

	if s.users, err = s.startPart("users", wire.RoleUsers, ""); err != nil {
		return err
	}
	c = config(wire.RoleUsers, "users")
	c.Types = nil
	c.Controllers = s.known()
	begin := wire.Now() + 3*int64(protocol.Second)
	if c.Load, err = json.Marshal(s.plan(begin)); err != nil {
		return err
	}
	s.users.send(&wire.Message{Kind: wire.Setup, Setup: c})
	if err := s.allReady(ctx); err != nil {
		return err
	}
	s.meter.begin(begin, s.f)
	return s.loop(ctx, begin)
}

// historyPages is how much history controllers keep, as in deploy/configuration.toml.
const historyPages = 256

// settings writes the controllers' files, and returns the text of the first one.
func (s *supervisor) settings() (string, error) {
	first := ""
	write := func(name, text string) (string, error) {
		path := filepath.Join(s.o.Out, name)
		return path, os.WriteFile(path, []byte(text), 0o644)
	}
	for i, c := range s.controllers {
		p := s.f.platform()
		home := c.region == s.f.State.Region
		p.ControllerName, p.Zone, p.ClientListen, p.ClusterListen = c.name, c.zone, c.client(true), c.cluster(true)
		p.StateAddr, p.CloudAddr = s.stateAddr(home), s.cloudAddr(home)
		for _, o := range s.controllers {
			if o != c {
				p.Peers = append(p.Peers, protocol.Peer{Name: o.name, Zone: o.zone, Address: o.cluster(o.region == c.region)})
			}
		}
		text, err := protocol.SettingsFile(&p)
		if err != nil {
			return "", err
		}
		if i == 0 {
			first = string(text)
		}
		for _, file := range []struct{ flag, name, text string }{
			{"--config", c.name + ".toml", string(text)},
			{"--operator", c.name + "-operator.toml", fmt.Sprintf("source_address = %q\nidle_return_s = %g\ncut_keep_s = %g\n", c.ip, s.f.Controllers.IdleReturnS, s.f.Controllers.CutKeepS)},
			{"--telemetry", c.name + "-telemetry.toml", fmt.Sprintf("listen = %q\nsnapshot_s = 1.0\n", c.telemetry())},
		} {
			path, err := write(file.name, file.text)
			if err != nil {
				return "", err
			}
			c.args = append(c.args, file.flag, path)
		}
	}
	if s.f.Changes != nil {
		path, err := write("configuration.toml", fmt.Sprintf("history_pages = %d\n", historyPages))
		if err != nil {
			return "", err
		}
		for _, c := range s.controllers {
			c.args = append(c.args, "--configuration", path)
		}
	}
	text, err := s.f.Text()
	if err != nil {
		return "", err
	}
	_, err = write("settings.toml", string(text))
	return first, err
}

// plan is what the users are told.
func (s *supervisor) plan(begin int64) *users.Plan {
	us := func(v float64) int64 { return int64(protocol.FromSeconds(v)) }
	p := &users.Plan{
		BeginUS: begin, DurationUS: us(s.f.DurationS), SettleUS: us(s.f.SettleS), FillUS: us(s.f.FillS), PollUS: us(s.f.Users.PollS),
		MaxConnections: s.f.Users.MaxConnections, Teams: s.f.teamNames(), Classes: s.f.Jobs, Changes: s.f.Load, Sources: make(map[string]string), Strangers: 0.5,
	}
	for _, r := range s.f.Regions {
		p.Regions = append(p.Regions, r.Name)
		p.Sources[r.Name] = s.userIP(r.Name)
	}
	if s.f.Changes == nil {
		return p
	}
	p.Operators = s.f.Changes
	platform := s.f.platform()
	for _, name := range s.f.teamNames() {
		p.Bounds.Teams = append(p.Bounds.Teams, platform.Teams[name])
	}
	p.Bounds.Machines = slices.Sorted(maps.Keys(s.machines))
	p.Bounds.Ceilings = make(map[string]int)
	for _, m := range s.machines {
		p.Bounds.Ceilings[m.Type+"/"+m.Zone]++
	}
	return p
}

// startWorkers starts the hollow processes and the real workers.
func (s *supervisor) startWorkers(machines []wire.Machine, config func(role, part string) *wire.Config) error {
	shares := make(map[string][]wire.Machine)
	per := s.hollowPerRegion()
	for _, r := range s.f.Regions {
		for i := range per {
			name := fmt.Sprintf("hollow-%s-%d", r.Name, i)
			p, err := s.startPart(name, wire.RoleHollow, r.Name)
			if err != nil {
				return err
			}
			s.hollow[r.Name] = append(s.hollow[r.Name], p)
		}
	}
	n := make(map[string]int)
	for _, m := range machines {
		var p *process
		if m.Real {
			var err error
			if p, err = s.startPart("worker-"+m.Name, wire.RoleWorker, m.Region); err != nil {
				return err
			}
		} else {
			p = s.hollow[m.Region][n[m.Region]%per]
			n[m.Region]++
		}
		shares[p.name] = append(shares[p.name], m)
		s.machines[m.Name] = &machineAt{m, p}
		s.hub.Machine(m, p.name)
	}
	for name, p := range s.parts {
		if p.role == wire.RoleHollow || p.role == wire.RoleWorker {
			c := config(p.role, name)
			c.Machines, c.Controllers = shares[name], s.known()
			p.send(&wire.Message{Kind: wire.Setup, Setup: c})
		}
	}
	return nil
}

func (s *supervisor) startController(c *controllerAt) error {
	p, err := s.start(startController(s.o.Controller, s.o.Out, c.name, c.region, c.args...))
	if err != nil {
		return err
	}
	c.proc, c.restartAt, c.frozen = p, 0, false
	return nil
}

// allReady waits until every part has said that it listens.
func (s *supervisor) allReady(ctx context.Context) error {
	late := time.After(60 * time.Second)
	for {
		missing := ""
		for _, name := range slices.Sorted(maps.Keys(s.parts)) {
			if !s.ready[name] {
				missing = name
				break
			}
		}
		if missing == "" || s.problem != nil {
			return s.problem
		}
		select {
		case m := <-s.in:
			s.message(m)
		case <-ctx.Done():
			return s.ended(ctx)
		case <-late:
			return fmt.Errorf("%s is not ready after 60 s", missing)
		}
	}
}

// ended is why a context is over.
func (s *supervisor) ended(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &limitError{fmt.Sprintf("not over after limits.max_s = %g s", s.f.Limits.MaxS)}
	}
	return errors.New("interrupted")
}

// awaitLeader waits until a controller leads.
func (s *supervisor) awaitLeader(ctx context.Context) error {
	look := sampler{}
	late := time.After(60 * time.Second)
	tick := time.NewTicker(300 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case m := <-s.in:
			s.message(m)
			if s.problem != nil {
				return s.problem
			}
		case <-tick.C:
			if err := s.watch(); err != nil {
				return err
			}
			if l := leaderOf(look.take(nil, s.telemetry()).scraped); l != "" {
				s.say("%s leads", l)
				return nil
			}
		case <-ctx.Done():
			return s.ended(ctx)
		case <-late:
			return errors.New("no controller leads after 60 s")
		}
	}
}
