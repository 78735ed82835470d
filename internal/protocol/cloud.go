package protocol

import (
	"errors"
	"math"
	"strconv"

	"github.com/valyala/fastjson"
)

// MachineType is what the cloud rents.
type MachineType struct {
	Name             string
	Capacity         Resources
	CacheSize        int64   // thousandths of a GB
	FetchRate        float64 // thousandths of a GB per microsecond
	Price, SpotPrice float64 // per hour
	BootTime         Micros
	Zones            []string
}

// FetchTime is how long an image takes at the nominal rate.
func (t *MachineType) FetchTime(size int64) Micros {
	if t.FetchRate <= 0 {
		return 0
	}
	return Micros(float64(size) / t.FetchRate)
}

// ParseMachineTypes reads the cloud's machine types.
func ParseMachineTypes(body []byte) ([]*MachineType, error) {
	p := Parsers.Get()
	defer Parsers.Put(p)
	v, err := parseObject(p, body)
	if err != nil {
		return nil, err
	}
	list, err := Member(v, "flavors").Array()
	if err != nil {
		return nil, errors.New("flavors: invalid")
	}
	var types []*MachineType
	for _, it := range list {
		f := &fields{obj: it}
		t := &MachineType{
			Name: f.text("label"),
			Capacity: Resources{
				CPU: offerThousandths(f.number("cores")), GPU: offerThousandths(f.number("gpus")),
				Memory: offerThousandths(f.number("memoryGb")),
			},
			CacheSize: offerThousandths(f.number("cacheGb")), FetchRate: f.number("fetchGbPerS") * 1000 / float64(Second),
			Price: f.number("hourly"), SpotPrice: f.number("spotPrice"), BootTime: FromSeconds(f.number("readyS")),
		}
		for _, z := range it.GetArray("regions") {
			t.Zones = append(t.Zones, string(z.GetStringBytes()))
		}
		if f.err != nil {
			return nil, f.err
		}
		types = append(types, t)
	}
	if len(types) == 0 {
		return nil, errors.New("flavors: empty")
	}
	return types, nil
}

// CloudMachine is one machine of the cloud's list.
type CloudMachine struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	State                  CloudState
	Age                    Micros
}

// CloudState is what the cloud says of a machine.
type CloudState uint8

// States of a machine in the cloud's list.
const (
	CloudBooting CloudState = iota
	CloudRunning
	CloudFailed
)

// ParseMachines reads a page of the machine list.
func ParseMachines(body []byte) (hosts []CloudMachine, more bool, err error) {
	p := Parsers.Get()
	defer Parsers.Put(p)
	v, err := parseObject(p, body)
	if err != nil {
		return nil, false, err
	}
	list, err := Member(v, "hosts").Array()
	if err != nil {
		return nil, false, errors.New("hosts: invalid")
	}
	hosts = make([]CloudMachine, 0, len(list))
	for _, it := range list {
		f := &fields{obj: it}
		h := CloudMachine{
			Name: f.text("ref"), Type: f.text("flavor"), Zone: f.text("region"), Spot: f.flag("reclaimable"),
			Age: FromSeconds(f.number("heldS")),
		}
		if f.optional("addr") != nil {
			h.Addr = string(it.GetStringBytes("addr"))
		}
		switch f.text("phase") {
		case "booting":
			h.State = CloudBooting
		case "running":
			h.State = CloudRunning
		case "failed":
			h.State = CloudFailed
		default:
			f.fail("phase", "invalid")
		}
		if f.err != nil {
			return nil, false, f.err
		}
		hosts = append(hosts, h)
	}
	return hosts, v.GetBool("truncated"), nil
}

// AppendRentRequest writes a rental request.
func AppendRentRequest(b []byte, claim, typ, zone string, spot bool, count int) []byte {
	b = AppendQuoted(append(b, `{"claim":`...), claim)
	b = AppendQuoted(append(b, `,"flavor":`...), typ)
	b = AppendQuoted(append(b, `,"region":`...), zone)
	b = strconv.AppendBool(append(b, `,"reclaimable":`...), spot)
	b = strconv.AppendInt(append(b, `,"count":`...), int64(count), 10)
	return append(b, '}')
}

// AppendMachineNames writes a release request.
func AppendMachineNames(b []byte, hosts []string) []byte {
	b = append(b, `{"hosts":[`...)
	for i, h := range hosts {
		if i > 0 {
			b = append(b, ',')
		}
		b = AppendQuoted(b, h)
	}
	return append(b, "]}"...)
}

// ParseMachineNames reads the machines that were rented.
func ParseMachineNames(body []byte) ([]string, error) {
	p := Parsers.Get()
	defer Parsers.Put(p)
	v, err := parseObject(p, body)
	if err != nil {
		return nil, err
	}
	list, err := Member(v, "hosts").Array()
	if err != nil {
		return nil, errors.New("hosts: invalid")
	}
	var names []string
	for _, it := range list {
		if it.Type() != fastjson.TypeString {
			return nil, errors.New("hosts: invalid")
		}
		names = append(names, string(it.GetStringBytes()))
	}
	return names, nil
}

// AppendMachineTypes writes machine types in the cloud's form, to be kept.
func AppendMachineTypes(b []byte, types []*MachineType) []byte {
	b = append(b, `{"flavors":[`...)
	for i, t := range types {
		if i > 0 {
			b = append(b, ',')
		}
		b = AppendQuoted(append(b, `{"label":`...), t.Name)
		b = appendThousandths(append(b, `,"cores":`...), t.Capacity.CPU)
		b = appendThousandths(append(b, `,"gpus":`...), t.Capacity.GPU)
		b = appendThousandths(append(b, `,"memoryGb":`...), t.Capacity.Memory)
		b = appendThousandths(append(b, `,"cacheGb":`...), t.CacheSize)
		b = strconv.AppendFloat(append(b, `,"fetchGbPerS":`...), math.Round(t.FetchRate*float64(Second)*1e3)/1e6, 'f', -1, 64)
		b = strconv.AppendFloat(append(b, `,"hourly":`...), t.Price, 'f', -1, 64)
		b = strconv.AppendFloat(append(b, `,"spotPrice":`...), t.SpotPrice, 'f', -1, 64)
		b = appendSeconds(append(b, `,"readyS":`...), t.BootTime)
		b = append(b, `,"regions":[`...)
		for j, z := range t.Zones {
			if j > 0 {
				b = append(b, ',')
			}
			b = AppendQuoted(b, z)
		}
		b = append(b, "]}"...)
	}
	return append(b, "]}"...)
}
