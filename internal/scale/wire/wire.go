// Package wire has what the processes of a scale run say to each other: one JSON object a
// line, a part's orders on its standard input, what it has seen on its standard output.
// Nothing of it is on the network of the deployment that is tried.
//
// Times are whole microseconds of CLOCK_MONOTONIC, which all processes of a machine share.
package wire

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"

	"golang.org/x/sys/unix"

	"mapleslip/internal/protocol"
)

// Roles of parts, as in `mapleslip scale part ROLE`.
const (
	RoleStandins = "standins" // state service and cloud
	RoleHollow   = "hollow"   // many workers
	RoleWorker   = "worker"   // one worker: what control costs a real machine
	RoleRelay    = "relay"    // links between regions
	RoleUsers    = "users"    // the load
)

// Kinds of messages. In brackets who says it to whom: S is the supervisor.
const (
	Setup    = "setup" // [S to all] Setup; the first line. Answered by Ready
	Ready    = "ready" // [all to S] listening, Text: why not
	Boot     = "boot"  // [standins to S, S to hollow or worker and relay] Machine is up from At on
	Gone     = "gone"  // [standins to S, S to hollow] Names are released; answered by GoneDone with the same ID. To relays Names are public addresses
	GoneDone = "gone_done"
	Jobs     = "jobs" // [hollow to S] Task was launched at At on Name: what is it? Ref: its description is wanted too
	// [S to hollow] the answer: Task, Status 200 or 404, Specs if wanted, Run of a task (below 0: it fails after that), For: what is left of it, Phase `done`: its result is kept
	Submit   = "submit"   // [users to S] Specs are about to be submitted, with Run (microseconds of a task's run)
	Answer   = "answer"   // [users to S] what a user was told: Op, Ref, Status, Phase, Due, At (when it came)
	Cancel   = "cancel"   // [users to S] Ref is about to be cancelled: its user asks from now on
	Enter    = "enter"    // [hollow to S] a task has its image: Task, Name (machine), At, Run: how long that took since its launch, 0: it was there
	Leave    = "leave"    // [hollow to S] a task exits or is killed: Task, Name, At, Text: the reason, Phase `saved`: with its progress
	Waiting  = "waiting"  // [hollow to S] a task of a gang waits for the others: Task, Name, At; Text `saving`: it was told to save
	Go       = "go"       // [S to hollow] a gang is whole: Task (any index), At its end; Text `saved`: all were told to save, at At
	Peers    = "peers"    // [S to hollow] a gang lost a task: its others exit with `peers` at At. [hollow to S] the machine of Task hangs
	Progress = "progress" // [hollow to S] saved progress of Task: Run, microseconds that are left
	Ended    = "ended"    // [hollow to S] Task completed: its result is kept
	Fault    = "fault"    // [S to any] Text: which (see Faults), Names, Region, For, Factor
	Gauge    = "gauge"    // [all to S] once a second: Values by name (lag_ms_max, messages and bytes by kind)
	Broken   = "broken"   // [users to S] a rule is broken: Name which, Text how, At
	Note     = "note"     // [all to S] Text for the report
	Stop     = "stop"     // [S to all] the run ends; the part exits with 0. So it does when its input ends
)

// Faults that parts play.
const (
	FaultEnd     = "end"     // hollow, worker, standins: machines end for good, with all on them (Names)
	FaultHang    = "hang"    // hollow, worker: they stand still for For
	FaultRestart = "restart" // hollow, worker: the worker starts anew: session, tasks and images are gone
	FaultCut     = "cut"     // relay: links between Region and all others hold for For
	FaultLoss    = "loss"    // relay: Factor of the connections between Region and others are reset, for For
	FaultDelay   = "delay"   // relay: delays of Region's links times Factor, for For
	FaultRefuse  = "refuse"  // standins: the state service answers 503 for For, to Names (addresses) or all
	FaultSlow    = "slow"    // standins: the state service's latency times Factor, for For
)

// Machine is one that the cloud rents out, or that is there from the beginning.
type Machine struct {
	Name, Type, Zone, Region string
	Rack                     string
	Spot                     bool
	// Public is its address for controllers (in the relay), Listen where its worker
	// listens, Source the address that its own calls come from.
	Public, Listen, Source string
	Real                   bool // a process of its own
}

// Addresses are those of the machine with a number in the run's network: Public, Listen
// and Source. Machines that are there from the beginning have the first numbers, those
// that the stand-in of the cloud rents out the ones after. A relay calls on from the IP
// that it was called from, so whoever is called sees the caller's own.
func Addresses(network string, number int) (public, listen, source string) {
	ip := fmt.Sprintf("%s%d.%d", network, firstMachineByte+number/250, 1+number%250)
	return ip + ":9000", ip + ":9001", ip
}

// MostMachines is how many numbers Addresses has.
const (
	MostMachines     = (256 - firstMachineByte) * 250
	firstMachineByte = 16
)

// Controller is one as others reach it.
type Controller struct {
	Name, Zone, Region string
	Public             map[string]string // its address for workers and users, by their region
}

// Links are a relay's.
type Links struct {
	Region string            // whose endpoints it has
	Listen map[string]string // public address to listening address; those of machines come by Boot
	Of     map[string]string // source address (IP) to region, of what is there from the beginning
	Delay  map[string]int64  // one-way delay from a region to Region, microseconds
	Loss   float64           // share of connections that are reset, per connection
	Jitter float64           // share of the delay by which it varies
}

// Config is what a part is told first. Platform is the text of the settings file that the
// first controller got.
type Config struct {
	Role, Part  string // Part: its name, unique in the run
	Seed        uint64
	Platform    string
	Types       []*protocol.MachineType `json:",omitempty"`
	Controllers []Controller            `json:",omitempty"`
	Machines    []Machine               `json:",omitempty"` // up from the beginning: standins have all, hollow ones theirs
	Links       *Links                  `json:",omitempty"`
	State       string                  `json:",omitempty"` // listening addresses of standins
	Cloud       string                  `json:",omitempty"`
	LatencyUS   int64                   `json:",omitempty"` // of the state service
	Spare       map[string]int          `json:",omitempty"` // machines that the cloud still has: "type/zone"
	Network     string                  `json:",omitempty"` // "127.77.": see Addresses
	Load        json.RawMessage         `json:",omitempty"` // of users: the settings' own form
	EndsUS      int64                   `json:",omitempty"` // latest end of the run; a part stops by itself then
}

// Message is one line.
type Message struct {
	Kind    string             `json:"kind"`
	ID      uint64             `json:"id,omitempty"`
	At      int64              `json:"at,omitempty"`
	Due     int64              `json:"due,omitempty"`
	Name    string             `json:"name,omitempty"`
	Names   []string           `json:"names,omitempty"`
	Region  string             `json:"region,omitempty"`
	Task    string             `json:"task,omitempty"` // REF/INDEX#TRY
	Ref     string             `json:"ref,omitempty"`
	Op      string             `json:"op,omitempty"` // submit, query, cancel, config
	Status  int                `json:"status,omitempty"`
	Phase   string             `json:"phase,omitempty"`
	Text    string             `json:"text,omitempty"`
	Run     int64              `json:"run,omitempty"`
	For     int64              `json:"for,omitempty"`
	Factor  float64            `json:"factor,omitempty"`
	Specs   []json.RawMessage  `json:"specs,omitempty"`
	Values  map[string]float64 `json:"values,omitempty"`
	Machine *Machine           `json:"machine,omitempty"`
	Setup   *Config            `json:"setup,omitempty"`
}

// Now is the time that all parts share, microseconds.
func Now() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	return t.Sec*1_000_000 + t.Nsec/1000
}

// MaxLine is the length of the longest line, bytes.
const MaxLine = 8 << 20

// ErrLine is that of a line that is no message.
var ErrLine = errors.New("not a message")

// Writer sends messages; it may be used by many goroutines.
type Writer struct {
	mu sync.Mutex
	w  *bufio.Writer
}

// NewWriter makes a writer to a pipe.
func NewWriter(w io.Writer) *Writer { return &Writer{w: bufio.NewWriterSize(w, 64<<10)} }

// Send writes a message whole.
func (w *Writer) Send(m *Message) error {
	b, err := json.Marshal(m)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.w.Write(b) // an error comes with Flush as well
	_ = w.w.WriteByte('\n')
	return w.w.Flush()
}

// Read hands each line to take until the input ends or take reports an end.
func Read(r io.Reader, take func(*Message) (more bool)) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), MaxLine)
	for s.Scan() {
		m := new(Message)
		if err := json.Unmarshal(s.Bytes(), m); err != nil || m.Kind == "" {
			return ErrLine
		}
		if !take(m) {
			return nil
		}
	}
	return s.Err()
}
