package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// The types below are the TOML files in which users describe a job or a roll-out. Their keys name
// the units. A file is converted to the JSON of the user API before it is sent.

// runsFile holds the keys that describe a task, which files of jobs and of roll-outs share.
type runsFile struct {
	Class    *string   `toml:"class" json:"jobclass"`
	Team     *string   `toml:"team" json:"owner"`
	Rank     *string   `toml:"rank" json:"rank"`
	CPUs     *float64  `toml:"cpus" json:"cores"`
	GPUs     *float64  `toml:"gpus" json:"gpus"`
	MemoryGB *float64  `toml:"memory_gb" json:"memoryGb"`
	Image    *string   `toml:"image" json:"bundle"`
	ImageGB  *float64  `toml:"image_gb" json:"sizeGb"`
	Types    *[]string `toml:"types" json:"flavors"`
	Zone     *string   `toml:"zone" json:"region"`
	OneZone  bool      `toml:"one_zone" json:"samePlace"`
	Apart    bool      `toml:"apart" json:"apart"`
	Spot     bool      `toml:"spot" json:"reclaimable"`
}

type jobFile struct {
	runsFile
	Ref              *string  `toml:"ref" json:"ref"`
	Kind             *string  `toml:"kind" json:"shape"`
	Tasks            *int     `toml:"tasks" json:"shards"`
	EstimateS        *float64 `toml:"estimate_s" json:"expectS"`
	CheckpointEveryS *float64 `toml:"checkpoint_every_s" json:"snapshotEveryS"`
	CheckpointS      *float64 `toml:"checkpoint_s" json:"snapshotS"`
	DeadlineS        *float64 `toml:"deadline_s" json:"dueS"`
	Awaits           []string `toml:"awaits" json:"awaits,omitempty"`
}

type rolloutFile struct {
	ID      *string   `toml:"id" json:"id"`
	Service *string   `toml:"service" json:"service"`
	Job     *runsFile `toml:"job" json:"job"`
	Count   *int      `toml:"count" json:"count"`
	Floor   *int      `toml:"floor" json:"floor"`
	Surge   *int      `toml:"surge" json:"surge"`
	Faulty  *int      `toml:"faulty" json:"faulty"`
	Stages  []any     `toml:"stages" json:"stages"`
	SoakS   *float64  `toml:"soak_s" json:"soakS"`
	StartS  *float64  `toml:"start_s" json:"startS"`
	Healthy *float64  `toml:"healthy_s" json:"healthyS"`
	Adopt   []string  `toml:"adopt" json:"adopt"`
	Check   *struct {
		Kind     *string  `toml:"kind" json:"how"`
		At       *string  `toml:"at" json:"at"`
		Path     *string  `toml:"path" json:"path"`
		EveryS   *float64 `toml:"every_s" json:"everyS"`
		TimeoutS *float64 `toml:"timeout_s" json:"timeoutS"`
		Passes   *int     `toml:"passes" json:"passes"`
		Fails    *int     `toml:"fails" json:"fails"`
	} `toml:"check" json:"check"`
}

// fileKeys maps the JSON fields of the user API to the keys in files, where the two differ.
var fileKeys = map[string]string{
	"jobclass": "class", "owner": "team", "shape": "kind", "shards": "tasks", "cores": "cpus", "memoryGb": "memory_gb",
	"bundle": "image", "sizeGb": "image_gb", "flavors": "types", "region": "zone", "samePlace": "one_zone", "reclaimable": "spot", "expectS": "estimate_s",
	"snapshotEveryS": "checkpoint_every_s", "snapshotS": "checkpoint_s", "dueS": "deadline_s", "soakS": "soak_s", "startS": "start_s",
	"healthyS": "healthy_s", "how": "kind", "everyS": "every_s", "timeoutS": "timeout_s",
}

// wireShapes maps the kinds of jobs in files to the shapes of the user API.
var wireShapes = map[string]string{"array": "array", "gang": "ensemble", "service": "daemon"}

// setDefault sets a field that the file leaves out.
func setDefault[T any](field **T, value T) {
	if *field == nil {
		*field = &value
	}
}

func (r *runsFile) defaults() {
	setDefault(&r.Rank, "standard")
	setDefault(&r.GPUs, 0)
	setDefault(&r.ImageGB, 0)
}

// ParseJobFile converts a job's file to the body of a submission. The job gets the given ref if the
// file has none. It depends on the jobs in the file's awaits and on those passed as awaits.
func ParseJobFile(text []byte, ref string, awaits ...string) (body []byte, spec *JobSpec, err error) {
	var f jobFile
	if err := decodeTOML(text, &f); err != nil {
		return nil, nil, err
	}
	f.defaults()
	setDefault(&f.Ref, ref)
	f.Awaits = append(f.Awaits, awaits...)
	setDefault(&f.Kind, "array")
	setDefault(&f.Tasks, 1)
	setDefault(&f.CheckpointEveryS, 0)
	setDefault(&f.CheckpointS, 0)
	kind, ok := wireShapes[*f.Kind]
	if !ok {
		return nil, nil, locateError(text, errors.New("kind: must be array, gang or service"))
	}
	if kind == "daemon" {
		setDefault(&f.EstimateS, 0)
	}
	f.Kind = &kind
	if body, err = marshal(text, &f); err != nil {
		return nil, nil, err
	}
	spec, err = ParseJob(body)
	return body, spec, locateError(text, err)
}

// ParseRolloutFile converts a roll-out's file to the body of a roll-out request. The roll-out gets
// the given id if the file has none.
func ParseRolloutFile(text []byte, id string) (body []byte, spec *RolloutSpec, err error) {
	var f rolloutFile
	if err := decodeTOML(text, &f); err != nil {
		return nil, nil, err
	}
	setDefault(&f.ID, id)
	setDefault(&f.Surge, 1)
	setDefault(&f.Faulty, 0)
	setDefault(&f.SoakS, 30)
	setDefault(&f.StartS, 300)
	setDefault(&f.Healthy, 60)
	if f.Stages == nil {
		f.Stages = []any{"100%"}
	}
	if f.Job != nil {
		f.Job.defaults()
	}
	if c := f.Check; c != nil {
		setDefault(&c.Kind, "http")
		setDefault(&c.Path, "/healthz")
		setDefault(&c.EveryS, 5)
		setDefault(&c.TimeoutS, 1)
		setDefault(&c.Passes, 2)
		setDefault(&c.Fails, 2)
	}
	if body, err = marshal(text, &f); err != nil {
		return nil, nil, err
	}
	spec, err = ParseRollout(body)
	return body, spec, locateError(text, err)
}

// marshal encodes a file as the JSON of the user API. JSON can't represent the TOML numbers nan and
// inf: if the file has one, the error names its line and key.
func marshal(text []byte, f any) ([]byte, error) {
	body, err := json.Marshal(f)
	if err != nil {
		for n, line := range strings.Split(string(text), "\n") {
			name, value, _ := strings.Cut(line, "=")
			switch v, _, _ := strings.Cut(strings.TrimSpace(value), " "); strings.TrimLeft(v, "+-") {
			case "nan", "inf":
				return nil, fmt.Errorf("line %d: %s: must be a finite number", n+1, strings.TrimSpace(name))
			}
		}
	}
	return body, err
}

// decodeTOML decodes a file strictly. The error for an unknown key names the key and its line; that
// for a value of the wrong type is a toml.DecodeError with the position.
func decodeTOML(text []byte, target any) error {
	err := DecodeStrict(text, target)
	var key *KeyError
	if errors.As(err, &key) {
		return locateError(text, fmt.Errorf("%s: %s", key.Key, key.Problem))
	}
	return err
}

// locateError rewrites an error that begins with the path of a JSON field, such as "job: shards:
// invalid", to name the line of the file and the file's own key instead.
func locateError(text []byte, err error) error {
	if err == nil {
		return nil
	}
	var path []string
	rest := err.Error()
	for {
		name, remainder, ok := strings.Cut(rest, ": ")
		if !ok || strings.ContainsAny(name, ` "`) {
			break
		}
		for _, part := range strings.Split(name, ".") {
			if k := fileKeys[part]; k != "" {
				part = k
			}
			path = append(path, part)
		}
		rest = remainder
	}
	if len(path) == 0 {
		return err
	}
	key := strings.Join(path, ".")
	if n := findLine(text, path); n > 0 {
		return fmt.Errorf("line %d: %s: %s", n, key, rest)
	}
	return fmt.Errorf("%s: %s", key, rest)
}

// findLine returns the line that sets a key, or else the line at which the key's table begins. It
// returns 0 if the file has neither.
func findLine(text []byte, path []string) int {
	table, found := "", 0
	for n, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			table = strings.Trim(line, "[] \t")
			if table == strings.Join(path[:len(path)-1], ".") {
				found = n + 1
			}
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		full := strings.Trim(strings.TrimSpace(name), `"'`)
		if table != "" {
			full = table + "." + full
		}
		if ok && full == strings.Join(path, ".") {
			return n + 1
		}
	}
	return found
}

// SettingsFile encodes platform settings as a file that ParsePlatform reads. It is used for
// deployments that mapleslip sets up itself.
func SettingsFile(p *Platform) ([]byte, error) {
	var f platformFile
	f.NodeName, f.Area, f.ClientListen, f.ClusterListen = p.ControllerName, p.Zone, p.ClientListen, p.ClusterListen
	for _, s := range p.Peers {
		f.Siblings = append(f.Siblings, peerFile{s.Name, s.Zone, s.Address})
	}
	f.Services.Cloud, f.Services.State = p.CloudAddr, p.StateAddr
	f.Facts.Nodes, f.Facts.Zones, f.Facts.ClockOffMS = len(p.Peers)+1, p.Zones, math.Round(p.MaxClockOffset.Seconds()*1000)
	for _, t := range p.Teams {
		f.Facts.Teams = append(f.Facts.Teams, teamFile{t.Name, float64(t.Guarantee.CPU) / 1000, float64(t.Limit.CPU) / 1000, float64(t.Guarantee.GPU) / 1000, float64(t.Limit.GPU) / 1000})
	}
	for _, o := range p.Objectives {
		f.Facts.Objectives = append(f.Facts.Objectives, objectiveFile{o.Kind, o.Class, o.Within.Seconds(), o.Share})
	}
	w := &f.Facts.Workers
	w.ReportS, w.LeaseS, w.GangWaitS, w.GangPeerS, w.CancelS = p.HeartbeatInterval.Seconds(), p.WorkerLease.Seconds(), p.GangWaitTimeout.Seconds(), p.GangPeerTimeout.Seconds(), p.CancelTimeout.Seconds()
	f.Facts.State.RPS, f.Facts.State.WriteRPS, f.Facts.State.ValueKB, f.Facts.State.TxnOps = p.StateRequestRate, p.StateWriteRate, float64(p.MaxValueBytes)/1024, p.MaxTxnChanges
	if n := p.AnnouncedStateLimits; n != nil {
		f.Facts.State.Next = &stateNextFile{n.WriteRate, float64(n.MaxValueBytes) / 1024, n.MaxTxnChanges}
	}
	f.Facts.Cloud.RPS, f.Facts.Cloud.ListLagS = p.CloudRate, p.MachineListLag.Seconds()
	f.Facts.Quota.CPU, f.Facts.Quota.MemoryMB, f.Facts.Quota.MaxConnections = p.CPUShare, float64(p.MemoryBytes)/1e6, p.MaxConnections
	return toml.Marshal(&f)
}
