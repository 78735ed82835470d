package protocol

import (
	"errors"
	"math"
	"strconv"

	"github.com/valyala/fastjson"
)

// MachineType is a type of machine that the cloud provider rents out.
type MachineType struct {
	Name             string
	Capacity         Resources
	CacheSize        int64   // size of the image cache, thousandths of a GB
	FetchRate        float64 // nominal, thousandths of a GB per microsecond
	Price, SpotPrice float64 // per hour
	BootTime         Micros
	Zones            []string
}

// FetchTime returns how long fetching an image of the given size, in thousandths of a GB, takes at
// the nominal rate.
func (t *MachineType) FetchTime(size int64) Micros {
	if t.FetchRate <= 0 {
		return 0
	}
	return Micros(float64(size) / t.FetchRate)
}

// ParseMachineTypes parses the list of machine types that the cloud provider offers.
func ParseMachineTypes(body []byte) ([]*MachineType, error) {
	p := Parsers.Get()
	defer Parsers.Put(p)
	v, err := ParseObject(p, body)
	if err != nil {
		return nil, err
	}
	list, err := Member(v, "flavors").Array()
	if err != nil {
		return nil, errors.New("flavors: invalid")
	}
	var types []*MachineType
	for _, item := range list {
		f := &fields{obj: item}
		t := &MachineType{
			Name: f.text("label"),
			Capacity: Resources{
				CPU: offerThousandths(f.number("cores")), GPU: offerThousandths(f.number("gpus")),
				Memory: offerThousandths(f.number("memoryGb")),
			},
			CacheSize: offerThousandths(f.number("cacheGb")), FetchRate: f.number("fetchGbPerS") * 1000 / float64(Second),
			Price: f.number("hourly"), SpotPrice: f.number("spotPrice"), BootTime: FromSeconds(f.number("readyS")),
		}
		for _, z := range item.GetArray("regions") {
			t.Zones = append(t.Zones, textOf(z))
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

// CloudMachine is one machine in the cloud provider's list of rented machines.
type CloudMachine struct {
	Name, Addr, Type, Zone string
	Spot                   bool
	State                  CloudState
	Age                    Micros // time since the machine was rented
}

// CloudState is the state of a machine as reported by the cloud provider.
type CloudState uint8

// States of a machine in the cloud provider's list.
const (
	CloudBooting CloudState = iota
	CloudRunning
	CloudFailed
)

// ParseMachines parses a page of the cloud provider's machine list. more reports whether further
// pages follow.
func ParseMachines(body []byte) (hosts []CloudMachine, more bool, err error) {
	p := Parsers.Get()
	defer Parsers.Put(p)
	v, err := ParseObject(p, body)
	if err != nil {
		return nil, false, err
	}
	list, err := Member(v, "hosts").Array()
	if err != nil {
		return nil, false, errors.New("hosts: invalid")
	}
	hosts = make([]CloudMachine, 0, len(list))
	for _, item := range list {
		f := &fields{obj: item}
		h := CloudMachine{
			Name: f.text("ref"), Type: f.text("flavor"), Zone: f.text("region"), Spot: f.flag("reclaimable"),
			Age: FromSeconds(f.number("heldS")),
		}
		if f.optional("addr") != nil {
			h.Addr = textOf(item.Get("addr"))
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

// AppendRentRequest appends the body of a request to rent machines.
func AppendRentRequest(b []byte, claim, machineType, zone string, spot bool, count int) []byte {
	b = AppendQuoted(append(b, `{"claim":`...), claim)
	b = AppendQuoted(append(b, `,"flavor":`...), machineType)
	b = AppendQuoted(append(b, `,"region":`...), zone)
	b = strconv.AppendBool(append(b, `,"reclaimable":`...), spot)
	b = strconv.AppendInt(append(b, `,"count":`...), int64(count), 10)
	return append(b, '}')
}

// AppendMachineNames appends a list of machine names: the body of a release request, or of the
// response to a rent request.
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

// ParseMachineNames parses a list of machine names, such as the response to a rent request.
func ParseMachineNames(body []byte) ([]string, error) {
	p := Parsers.Get()
	defer Parsers.Put(p)
	v, err := ParseObject(p, body)
	if err != nil {
		return nil, err
	}
	list, err := Member(v, "hosts").Array()
	if err != nil {
		return nil, errors.New("hosts: invalid")
	}
	var names []string
	for _, item := range list {
		if item.Type() != fastjson.TypeString {
			return nil, errors.New("hosts: invalid")
		}
		names = append(names, textOf(item))
	}
	return names, nil
}

// AppendMachineTypes appends machine types in the format of the cloud provider's API, in which they
// are also stored.
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
