// Package wire defines the messages between the processes of a scale run, one JSON object per
// line. A part reads messages of the supervisor from its standard input and writes its reports to
// its standard output, so no message is on the network of the deployment under test.
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

// Roles of parts, as given to `mapleslip scale part ROLE`.
const (
	RoleStandins = "standins" // fakes of the state service and the cloud
	RoleHollow   = "hollow"   // many simulated workers
	RoleWorker   = "worker"   // one simulated worker, to measure what control costs a real machine
	RoleRelay    = "relay"    // the links between regions
	RoleUsers    = "users"    // the users, who generate the load
)

// Kinds of messages. The brackets show the sender and the receiver; S is the supervisor.
// Capitalized words are fields of Message.
const (
	// Setup [S to all] is the first line and has the configuration in Setup. The part answers
	// with Ready.
	Setup = "setup"
	// Ready [all to S]: the part is listening. If it can't listen, Text has the reason.
	Ready = "ready"
	// Boot [standins to S, S to hollow or worker and relay]: Machine is up from At on.
	Boot = "boot"
	// Gone [standins to S, S to hollow and relay]: the machines Names are released. To relays, Names
	// are public addresses.
	Gone = "gone"
	// GoneDone [hollow to S, S to standins] answers Gone, with the same ID.
	GoneDone = "gone_done"
	// Jobs [hollow to S] requests what a worker needs for Task, which was launched at At on the
	// machine Name. If Ref is set, the job's description is wanted too.
	//
	// Jobs [S to hollow] is the answer for Task. Status is 200 or 404, Specs has the description
	// if it was wanted, Run is the run time of a task (if negative, the task fails after that
	// time), For is the remaining run time if progress was saved, and Phase is `done` if the
	// task's result is already stored.
	Jobs = "jobs"
	// Submit [users to S]: Specs are about to be submitted. Run is the run time of a task,
	// microseconds.
	Submit = "submit"
	// Answer [users to S]: the answer to a user's request Op about Ref, with Status and Phase. Due
	// is when the request was due, At when the answer came.
	Answer = "answer"
	// Cancel [users to S]: a user is about to request the cancellation of Ref, which counts as
	// requested from now on.
	Cancel = "cancel"
	// Enter [hollow to S]: the image of Task is ready on machine Name at At. Run is the time that
	// this took since the launch, 0 if the machine had the image already.
	Enter = "enter"
	// Leave [hollow to S]: Task on machine Name has exited or was killed at At. Text is the reason;
	// Phase is `saved` if its progress was saved.
	Leave = "leave"
	// Waiting [hollow to S]: Task of a gang on machine Name waits since At for the others. If Text
	// is `saving`, it has got the order to save.
	Waiting = "waiting"
	// Go [S to hollow]: all tasks of a gang are ready. Task is any one of them; they end at At. If
	// Text is `saved`, all tasks have got the order to save, the last one at At.
	Go = "go"
	// Peers [S to hollow]: the gang of Task has lost a task. Its other tasks exit at At, the
	// running ones with `peers`.
	//
	// Peers [hollow to S]: the machine of Task hangs.
	Peers = "peers"
	// Progress [hollow to S]: Task has saved its progress. Run is its remaining run time,
	// microseconds.
	Progress = "progress"
	// Ended [hollow to S]: Task is complete and its result is stored.
	Ended = "ended"
	// Fault [S to any] injects the fault Text, one of the constants Fault..., with Names, Region,
	// For and Factor.
	Fault = "fault"
	// Gauge [all to S] is sent once a second: Values by name (lag_ms_max, messages and bytes by
	// kind).
	Gauge = "gauge"
	// Broken [users, hollow, standins to S]: the rule Name was violated at At. Text has the details.
	Broken = "broken"
	// Note [all to S]: Text is for the report.
	Note = "note"
	// Stop [S to all]: the run ends and the part exits with 0. It does the same when its input
	// ends.
	Stop = "stop"
)

// RuleMalformed is the rule that a controller breaks with a message that does not follow the protocol.
const RuleMalformed = "malformed"

// Faults that parts inject, with the roles that handle them.
const (
	// FaultEnd (hollow, worker, standins): the machines Names fail for good, with all their tasks.
	FaultEnd = "end"
	// FaultHang (hollow, worker): the machines Names hang for the time For.
	FaultHang = "hang"
	// FaultRestart (hollow, worker): the workers of Names restart and lose their session, tasks
	// and images.
	FaultRestart = "restart"
	// FaultCut (relay): the links between Region and all others deliver nothing for the time For;
	// what is sent is held until then.
	FaultCut = "cut"
	// FaultLoss (relay): the share Factor of the connections between Region and others is reset,
	// for the time For.
	FaultLoss = "loss"
	// FaultDelay (relay): the delays of the links of Region are multiplied by Factor, for the time
	// For.
	FaultDelay = "delay"
	// FaultRefuse (standins): the state service answers 503 to the addresses Names, or to all if
	// there are none, for the time For.
	FaultRefuse = "refuse"
	// FaultSlow (standins): the latency of the state service is multiplied by Factor, for the time
	// For.
	FaultSlow = "slow"
)

// Machine is a machine that the cloud rents out, or one that exists from the start of the run.
type Machine struct {
	Name, Type, Zone, Region string
	Rack                     string
	Spot                     bool
	// Public is the address, served by the relay, at which controllers reach the worker. Listen
	// is the address at which the worker listens, Source the local address of its own requests.
	Public, Listen, Source string
	Real                   bool // whether its worker is a process of its own
}

// Addresses returns the addresses of the machine with a number in the run's network: Public,
// Listen and Source. Machines that exist from the start have the first numbers; the ones after
// are for machines that the fake cloud rents out. A relay connects to the target from the source
// IP of the incoming connection, so the target sees the caller's own IP.
func Addresses(network string, number int) (public, listen, source string) {
	ip := fmt.Sprintf("%s%d.%d", network, firstMachineByte+number/250, 1+number%250)
	return ip + ":9000", ip + ":9001", ip
}

// MostMachines is the number of machines for which Addresses has addresses.
const (
	MostMachines     = (256 - firstMachineByte) * 250
	firstMachineByte = 16 // third byte of the first machine's IP
)

// Controller is a controller, with the addresses at which others reach it.
type Controller struct {
	Name, Zone, Region string
	Public             map[string]string // address for workers and users, by the region of these
}

// Links is the configuration of a relay.
type Links struct {
	Region string // region whose endpoints the relay serves
	// Listen has the listening addresses by public address. Boot adds those of rented machines.
	Listen map[string]string
	Of     map[string]string // region by source IP, of all that exist from the start
	Delay  map[string]int64  // one-way delay to Region, microseconds, by the region of the sender
	Loss   float64           // probability that a connection is reset
	Jitter float64           // variation of the delay, as a share of it
}

// Config is the configuration of a part, sent with Setup. Platform is the text of the settings
// file of the first controller.
type Config struct {
	Role, Part  string // Part is the name of the part, unique in the run
	Seed        uint64
	Platform    string
	Types       []*protocol.MachineType `json:",omitempty"`
	Controllers []Controller            `json:",omitempty"`
	// Machines are up from the start of the run: all of them for standins, its own for a hollow
	// part.
	Machines []Machine `json:",omitempty"`
	Links    *Links    `json:",omitempty"`
	// State and Cloud are the listening addresses of the fake state service and the fake cloud.
	State     string `json:",omitempty"`
	Cloud     string `json:",omitempty"`
	LatencyUS int64  `json:",omitempty"` // latency of the state service
	// ReportsPerCopy is how many reports a worker sends for each copy of one, 0 for no copies.
	ReportsPerCopy int `json:",omitempty"`
	// Spare is the number of machines that the cloud can still rent out, by "type/zone" or, for
	// spot machines, "type/zone/spot".
	Spare   map[string]int  `json:",omitempty"`
	Network string          `json:",omitempty"` // first bytes of IPs, such as "127.77."
	Load    json.RawMessage `json:",omitempty"` // plan of the load, decoded by package users
	EndsUS  int64           `json:",omitempty"` // time when the part ends even without Stop
}

// Message is one line. The comment on its kind describes the fields that are used.
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

// Now returns the time of the clock that all parts share, in microseconds.
func Now() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	return t.Sec*1_000_000 + t.Nsec/1000
}

// MaxLine is the longest allowed line, in bytes.
const MaxLine = 8 << 20

// ErrLine is returned by Read for a line that isn't a message.
var ErrLine = errors.New("not a message")

// Writer sends messages. It is safe for concurrent use.
type Writer struct {
	mu sync.Mutex
	w  *bufio.Writer
}

// NewWriter returns a Writer that writes to w.
func NewWriter(w io.Writer) *Writer { return &Writer{w: bufio.NewWriterSize(w, 64<<10)} }

// Send writes a message as one line and flushes it.
func (w *Writer) Send(m *Message) error {
	b, err := json.Marshal(m)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.w.Write(b) // Flush returns an error of this write too
	_ = w.w.WriteByte('\n')
	return w.w.Flush()
}

// Read calls take with the message of each line until the input ends or take returns false.
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
