package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"mapleslip/internal/loopback"
	"mapleslip/internal/protocol"
	"mapleslip/internal/simulation"
	"mapleslip/internal/transport"
)

// devSettings contains the flags of mapleslip dev.
type devSettings struct {
	port     int
	demo     bool
	limit    time.Duration
	rollFrom string // path of an earlier version's program, "" if nothing is upgraded
}

func devCommand() *cobra.Command {
	s := devSettings{}
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "A whole deployment on this machine, with stand-ins, to try things on",
		Long: "dev starts three controllers as processes, and stand-ins of the state service, the\n" +
			"cloud and workers, all on loopback. Machines are rented as jobs need them, tasks\n" +
			"run for their estimate, services answer their checks, or not where the name of their\n" +
			"image ends with -fails, -hangs, -flaps or -crashes, and perhaps with the seconds after\n" +
			"which they do so, as in picker-2-crashes-30. Ctrl-C ends all of it.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if s.port < 1024 || s.port > 65000 {
				return fmt.Errorf("--port: must be from 1024 to 65000")
			}
			if cmd.Flags().Changed("roll-from") {
				program, err := earlierProgram(cmd.Context(), s.rollFrom)
				if err != nil {
					return fmt.Errorf("--roll-from: %w", err)
				}
				s.rollFrom = program
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			d, err := startDev(ctx, s)
			if err != nil {
				return err
			}
			defer d.stop()
			out := cmd.OutOrStdout()
			keepLogs := func(err error) error {
				if err != nil && ctx.Err() == nil {
					d.keepDir = true
					fmt.Fprintf(out, "logs of the controllers are kept: %s\n", d.dir)
				}
				return err
			}
			if s.demo {
				return keepLogs(runDemo(ctx, d, s.limit, out))
			}
			if s.rollFrom != "" {
				return keepLogs(runUpgrade(ctx, d, out))
			}
			fmt.Fprintf(out, "controllers: %s\n  export %s=%s\n", strings.Join(d.clients, ", "), serverVariable, strings.Join(d.clients, ","))
			fmt.Fprintf(out, "teams: red (8 GPUs guaranteed, 64 at most), blue (the same)\nmachine types: small (8 cores), big (32 cores, 8 GPUs), zones a, b, c\n")
			fmt.Fprintf(out, "address of a service's instance, for its check: %s\nlogs: %s\nCtrl-C ends it\n", simulation.InstanceAt, d.dir)
			return keepLogs(d.wait(ctx))
		},
	}
	cmd.Flags().IntVar(&s.port, "port", 7400, "first of the `PORTS` on 127.0.0.1 that are used, 8 in a row")
	cmd.Flags().BoolVar(&s.demo, "demo", false, "play a demonstration, and end")
	cmd.Flags().DurationVar(&s.limit, "demo-limit", 85*time.Second, "a demonstration that takes longer has failed")
	cmd.Flags().StringVar(&s.rollFrom, "roll-from", "", "start with the program of an earlier version at `PATH`, upgrade under load, and end")
	cmd.MarkFlagsMutuallyExclusive("demo", "roll-from")
	return cmd
}

// devDeployment is a deployment on one machine. Each controller is a process; the state service,
// the cloud and the workers are simulated in this process.
type devDeployment struct {
	live              *simulation.Live // simulated state service, cloud and workers
	cancel            context.CancelFunc
	network           *loopback.Network // addresses of the simulated machines
	dir               string
	names             []string // of the controllers
	clients           []string // addresses of the controllers for users and workers
	programs          []string // path of the program that each controller runs at its next start
	settingsFiles     []string // path of each controller's platform settings file
	rolloutFile       string
	configurationFile string

	mu        sync.Mutex
	processes map[string]*exec.Cmd
	exited    chan string // names of controllers that exited without being killed by this process
	stopped   bool
	keepDir   bool // keep dir, which has the controllers' logs, to analyze a failure
}

// devPlatform returns the platform settings of a deployment on one machine, except for those
// that differ between the controllers.
func devPlatform() protocol.Platform {
	p := protocol.Platform{
		Zones: []string{"a", "b", "c"}, Teams: map[string]protocol.Team{},
		HeartbeatInterval: protocol.Second, WorkerLease: 10 * protocol.Second, GangWaitTimeout: 20 * protocol.Second, GangPeerTimeout: 5 * protocol.Second, CancelTimeout: 20 * protocol.Second,
		StateRequestRate: 500, StateWriteRate: 200, MaxValueBytes: 8192, MaxTxnChanges: 12, CloudRate: 20, MachineListLag: protocol.Second,
		CPUShare: 1, MemoryBytes: 512e6, MaxConnections: 1000,
	}
	for _, name := range []string{"red", "blue"} {
		p.Teams[name] = protocol.Team{Name: name, Guarantee: protocol.Resources{GPU: 8000}, Limit: protocol.Resources{GPU: 64000}}
	}
	return p
}

func devTypes() []*protocol.MachineType {
	zones := []string{"a", "b", "c"}
	return []*protocol.MachineType{
		{Name: "small", Capacity: protocol.Resources{CPU: 8000, Memory: 32000}, CacheSize: 50000, FetchRate: 0.002, Price: 0.4, SpotPrice: 0.15, BootTime: 2 * protocol.Second, Zones: zones},
		{Name: "big", Capacity: protocol.Resources{CPU: 32000, GPU: 8000, Memory: 256000}, CacheSize: 100000, FetchRate: 0.002, Price: 8, SpotPrice: 3, BootTime: 3 * protocol.Second, Zones: zones},
	}
}

func startDev(ctx context.Context, s devSettings) (_ *devDeployment, err error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	if s.rollFrom != "" {
		program = s.rollFrom
	}
	addr := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", s.port+n) }
	d := &devDeployment{processes: make(map[string]*exec.Cmd), exited: make(chan string, 16)}
	var cluster []string
	for n := range 3 {
		d.names = append(d.names, fmt.Sprintf("node-%d", n))
		d.programs = append(d.programs, program)
		d.clients, cluster = append(d.clients, addr(2+n)), append(cluster, addr(5+n))
	}
	for _, a := range append(append([]string{addr(0), addr(1)}, d.clients...), cluster...) {
		if err := transport.CanListen(a, 0); err != nil {
			return nil, fmt.Errorf("%w: choose other ports with --port", err)
		}
	}
	if d.dir, err = os.MkdirTemp("", "mapleslip-dev-"); err != nil {
		return nil, err
	}
	ctx, d.cancel = context.WithCancel(ctx)
	defer func() {
		if err != nil {
			d.stop()
		}
	}()
	if d.network, err = loopback.Reserve(); err != nil {
		return nil, err
	}
	p := devPlatform()
	if d.live, err = simulation.StartLive(ctx, simulation.LiveSettings{State: addr(0), Cloud: addr(1), Names: d.names, Clients: d.clients, Network: d.network.Prefix, Platform: p, Types: devTypes()}); err != nil {
		return nil, err
	}
	if err := d.writeSettings(p, addr(0), addr(1), cluster); err != nil {
		return nil, err
	}
	for n := range d.names {
		if err := d.start(n); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// writeSettings writes the settings files of the controllers.
func (d *devDeployment) writeSettings(p protocol.Platform, stateAddr, cloudAddr string, cluster []string) error {
	d.rolloutFile = filepath.Join(d.dir, "rollout.toml")
	operator := filepath.Join(d.dir, "operator.toml")
	d.configurationFile = filepath.Join(d.dir, "configuration.toml")
	files := map[string]string{d.configurationFile: "history_pages = 16\n", d.rolloutFile: "checks_per_s = 200.0\n", operator: "idle_return_s = 120.0\n"}
	for n, name := range d.names {
		settings := p
		settings.ControllerName, settings.Zone, settings.ClientListen, settings.ClusterListen, settings.StateAddr, settings.CloudAddr = name, p.Zones[n], d.clients[n], cluster[n], stateAddr, cloudAddr
		for k := range d.names {
			if k != n {
				settings.Peers = append(settings.Peers, protocol.Peer{Name: d.names[k], Zone: p.Zones[k], Address: cluster[k]})
			}
		}
		text, err := protocol.SettingsFile(&settings)
		if err != nil {
			return err
		}
		file := filepath.Join(d.dir, name+".toml")
		files[file] = string(text)
		d.settingsFiles = append(d.settingsFiles, file)
	}
	for name, text := range files {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process of controller n.
func (d *devDeployment) start(n int) error {
	name := d.names[n]
	log, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(d.programs[n], "--config", d.settingsFiles[n], "--operator", filepath.Join(d.dir, "operator.toml"), "--rollout", d.rolloutFile, "--configuration", d.configurationFile)
	cmd.Stderr = log
	// The kernel kills the controller when this process exits for any reason. Its own process group
	// keeps Ctrl-C in the terminal from reaching it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return errors.New("the deployment has ended")
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	d.processes[name] = cmd
	go func() {
		_ = cmd.Wait()
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.processes[name] == cmd && !d.stopped {
			delete(d.processes, name)
			d.exited <- name
		}
	}()
	return nil
}

// kill kills the process of a controller with SIGKILL.
func (d *devDeployment) kill(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	cmd := d.processes[name]
	if cmd == nil {
		return fmt.Errorf("%s does not run", name)
	}
	delete(d.processes, name)
	return cmd.Process.Kill()
}

// wait blocks until the deployment has to be stopped: the context is cancelled, a controller has
// exited, or the simulation reports an error or a broken rule of the protocol.
func (d *devDeployment) wait(ctx context.Context) error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case name := <-d.exited:
			return fmt.Errorf("%s ended by itself: %s", name, d.lastLine(name))
		case <-ticker.C:
			if err := d.live.Err(); err != nil {
				return err
			}
		}
	}
}

// logContains reports whether the log of a controller has a line that contains all of the words.
func (d *devDeployment) logContains(name string, words ...string) (bool, error) {
	text, err := os.ReadFile(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return false, err
	}
	for line := range strings.Lines(string(text)) {
		missing := func(word string) bool { return !strings.Contains(line, word) }
		if !slices.ContainsFunc(words, missing) {
			return true, nil
		}
	}
	return false, nil
}

// lastLine returns the last line of a controller's log, or the error of reading the log.
func (d *devDeployment) lastLine(name string) string {
	text, err := os.ReadFile(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// stop kills the controllers, stops the simulation and removes the directory unless it is kept.
func (d *devDeployment) stop() {
	d.mu.Lock()
	d.stopped = true
	procs := d.processes
	d.processes = nil
	d.mu.Unlock()
	for _, cmd := range procs {
		_ = cmd.Process.Kill()
	}
	if d.cancel != nil {
		d.cancel()
	}
	if d.network != nil {
		_ = d.network.Close()
	}
	if !d.keepDir {
		_ = os.RemoveAll(d.dir)
	}
}
