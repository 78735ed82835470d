package fakes

import (
	"fmt"
	"math/rand/v2"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/httpconn"
	"mapleslip/internal/scale/wire"
	"mapleslip/internal/transport"
)

const (
	maxRental  = 50
	maxRelease = 100
	maxList    = 500
	// deadListed is how long a machine that has died is still listed as running.
	deadListed = int64(30 * protocol.Second)
	never      = int64(protocol.Forever)
	rackSize   = 40 // machines of a zone that are rented one after another share a rack
)

// rental is a machine that somebody pays for, or one that is gone but still listed.
type rental struct {
	wire.Machine
	rented, up int64
	dead       int64         // when it failed, never: it hasn't
	gone       int64         // when it was released, never: it is there
	listed     bool          // somebody has seen it in the list
	going      chan struct{} // closed once it is gone; nil: nobody has asked for that
}

// cloud rents machines.
type cloud struct {
	endpoint
	platform *protocol.Platform
	types    map[string]*protocol.MachineType
	list     []byte // of the types, as the cloud answers
	say      func(*wire.Message)
	now      func() int64
	rng      *rand.Rand

	hosts   []*rental // by name
	byName  map[string]*rental
	free    []wire.Machine // addresses, the longest unused first
	spare   map[string]int // machines that are left, by "type/zone", of spot ones "type/zone/spot"
	regions map[string]string
	claims  map[string][]string
	number  int
	zoned   map[string]int // rented so far, by zone
	nextID  uint64
	waits   map[uint64]*release
	room    float64
	roomAt  int64
	rentals int // machines rented
}

// release is one that the machines' processes have to confirm.
type release struct {
	hosts []*rental
	done  chan struct{}
}

func newCloud(c *wire.Config, p *protocol.Platform, now func() int64, say func(*wire.Message)) *cloud {
	s := &cloud{
		platform: p, types: make(map[string]*protocol.MachineType), list: protocol.AppendMachineTypes(nil, c.Types), say: say, now: now,
		rng: rand.New(rand.NewPCG(c.Seed, 7)), byName: make(map[string]*rental), spare: make(map[string]int), regions: make(map[string]string),
		claims: make(map[string][]string), zoned: make(map[string]int), waits: make(map[uint64]*release),
	}
	s.requests = make(map[string]int)
	for _, t := range c.Types {
		s.types[t.Name] = t
	}
	for k, n := range c.Spare {
		s.spare[k] = n
	}
	for _, n := range c.Controllers {
		s.regions[n.Zone] = n.Region
	}
	began := now()
	s.room, s.roomAt = 2*p.CloudRate, began
	for _, m := range c.Machines {
		if m.Type == "" {
			s.free = append(s.free, m)
			continue
		}
		if m.Zone != "" && m.Region != "" {
			s.regions[m.Zone] = m.Region
		}
		h := &rental{Machine: m, rented: began - int64(protocol.Second), up: began - int64(protocol.Second), dead: never, gone: never, listed: true}
		s.hosts = append(s.hosts, h)
		s.byName[m.Name] = h
		if n, err := strconv.Atoi(strings.TrimPrefix(m.Name, "n-")); err == nil {
			s.number = max(s.number, n)
		}
	}
	slices.SortFunc(s.hosts, func(a, b *rental) int { return strings.Compare(a.Name, b.Name) })
	return s
}

func (s *cloud) listen(addrs string) error {
	if err := s.endpoint.listen(addrs, s.handle); err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	return nil
}

func (s *cloud) handle(c *httpconn.Conn, r *transport.Request) (int, []byte) {
	c.Traffic = &s.traffic
	status, body, wait := s.serve(s.now(), r)
	if wait != nil {
		<-wait
	}
	s.counted(status)
	return status, body
}

// serve answers a request, once wait is closed if it isn't nil.
func (s *cloud) serve(now int64, r *transport.Request) (status int, body []byte, wait <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := s.platform.CloudRate
	s.room = min(2*rate, s.room+rate*float64(now-s.roomAt)/1e6)
	s.roomAt = now
	if s.room < 1 {
		return 429, []byte(`{"error":"too many requests"}`), nil
	}
	s.room--
	switch {
	case r.Method == "GET" && r.Path == "/machine_types":
		return 200, s.list, nil
	case r.Method == "GET" && r.Path == "/machines":
		q, err := url.ParseQuery(r.Query)
		if err != nil {
			break
		}
		page, err := strconv.Atoi(q.Get("page"))
		if err != nil || page < 1 || page > maxList {
			page = maxList
		}
		return 200, s.page(now, q.Get("since"), page), nil
	case r.Method == "POST" && r.Path == "/machines":
		status, body = s.rent(now, r.Body)
		return status, body, nil
	case r.Method == "POST" && r.Path == "/machines/release":
		return s.release(now, r.Body)
	}
	return 400, []byte(`{"error":"malformed"}`), nil
}

// page is a page of the machine list as it was some time ago.
func (s *cloud) page(now int64, since string, page int) []byte {
	lag := int64(s.platform.MachineListLag)
	if s.rng.IntN(10) == 0 {
		lag += int64(s.rng.Float64() * float64(lag))
	}
	then := now - lag
	i, found := slices.BinarySearchFunc(s.hosts, since, func(h *rental, name string) int { return strings.Compare(h.Name, name) })
	if found {
		i++
	}
	b := []byte(`{"hosts":[`)
	n, more := 0, false
	for ; i < len(s.hosts); i++ {
		h := s.hosts[i]
		if h.gone <= then || h.rented > then && !h.listed {
			continue
		}
		if n == page {
			more = true
			break
		}
		h.listed = true
		if n++; n > 1 {
			b = append(b, ',')
		}
		phase := "running"
		if h.up > then {
			phase = "booting"
		} else if h.dead != never && h.dead+deadListed <= then {
			phase = "failed"
		}
		b = protocol.AppendQuoted(append(b, `{"ref":`...), h.Name)
		b = protocol.AppendQuoted(append(b, `,"addr":`...), h.Public)
		b = protocol.AppendQuoted(append(b, `,"flavor":`...), h.Type)
		b = protocol.AppendQuoted(append(b, `,"region":`...), h.Zone)
		b = strconv.AppendBool(append(b, `,"reclaimable":`...), h.Spot)
		b = protocol.AppendQuoted(append(b, `,"phase":`...), phase)
		b = strconv.AppendFloat(append(b, `,"heldS":`...), float64(max(0, then-h.rented))/1e6, 'f', 3, 64)
		b = append(b, '}')
	}
	return fmt.Appendf(b, `],"truncated":%t}`, more)
}

// rent rents machines.
func (s *cloud) rent(now int64, body []byte) (int, []byte) {
	parser := protocol.Parsers.Get()
	defer protocol.Parsers.Put(parser)
	v, err := parser.ParseBytes(body)
	if err != nil {
		return 400, []byte(`{"error":"malformed"}`)
	}
	claim, zone, count := string(v.GetStringBytes("claim")), string(v.GetStringBytes("region")), v.GetInt("count")
	typ := s.types[string(v.GetStringBytes("flavor"))]
	if claim == "" || typ == nil || !slices.Contains(typ.Zones, zone) || count < 1 || count > maxRental {
		return 400, []byte(`{"error":"malformed"}`)
	}
	if names, known := s.claims[claim]; known {
		return 200, protocol.AppendMachineNames(nil, names)
	}
	spot := v.GetBool("reclaimable")
	kind := typ.Name + "/" + zone
	if spot {
		kind += "/spot"
	}
	var names []string
	for ; count > 0 && s.spare[kind] > 0; count-- {
		m, ok := s.slot(zone)
		if !ok {
			break
		}
		s.spare[kind]--
		s.number++
		m.Name, m.Type, m.Zone, m.Spot = fmt.Sprintf("n-%06d", s.number), typ.Name, zone, spot
		if m.Rack == "" {
			m.Rack = zone + "-rk" + strconv.Itoa(s.zoned[zone]/rackSize)
		}
		s.zoned[zone]++
		h := &rental{Machine: m, rented: now, up: now + s.boot(int64(typ.BootTime)), dead: never, gone: never}
		s.hosts = append(s.hosts, h)
		s.byName[m.Name] = h
		s.rentals++
		names = append(names, m.Name)
		if h.up < never {
			s.say(&wire.Message{Kind: wire.Boot, Name: m.Name, At: h.up, Machine: &m})
		}
	}
	if len(names) == 0 {
		return 503, []byte(`{"error":"no capacity"}`)
	}
	s.claims[claim] = names
	return 200, protocol.AppendMachineNames(nil, names)
}

// slot takes a free address of a zone's region.
func (s *cloud) slot(zone string) (wire.Machine, bool) {
	region := s.region(zone)
	for i, m := range s.free {
		if m.Region == "" || m.Region == region {
			s.free = slices.Delete(s.free, i, i+1)
			m.Region = region
			return m, true
		}
	}
	return wire.Machine{}, false
}

// region is where a zone is: as the machines and controllers say, else what stands before
// the dash in its name.
func (s *cloud) region(zone string) string {
	if r := s.regions[zone]; r != "" {
		return r
	}
	r, _, _ := strings.Cut(zone, "-")
	return r
}

// boot is how long a machine takes until it is up: usually 0.6 to 1.5 times its type's
// time; one in fifty some times as long, one in fifty hardly any time, one in five
// hundred never comes up.
func (s *cloud) boot(nominal int64) int64 {
	d := int64(float64(nominal) * (0.6 + 0.9*s.rng.Float64()))
	switch n := s.rng.IntN(500); {
	case n == 0:
		return never
	case n < 11:
		return 3 * d
	case n < 21:
		return min(d, int64(protocol.Second)+s.rng.Int64N(int64(protocol.Second)))
	}
	return d
}

// release takes machines away; it is answered when the processes that play them have
// confirmed that they are gone.
func (s *cloud) release(now int64, body []byte) (int, []byte, <-chan struct{}) {
	names, err := protocol.ParseMachineNames(body)
	if err != nil || len(names) > maxRelease {
		return 400, []byte(`{"error":"malformed"}`), nil
	}
	all := make(chan struct{})
	r := &release{done: make(chan struct{})}
	var waits []<-chan struct{}
	var asked []string
	for _, n := range names {
		h := s.byName[n]
		if h == nil {
			continue
		}
		if h.going == nil {
			h.going = r.done
			r.hosts = append(r.hosts, h)
			asked = append(asked, n)
		} else {
			waits = append(waits, h.going) // somebody else's release of it
		}
	}
	if len(r.hosts) > 0 {
		s.nextID++
		s.waits[s.nextID] = r
		waits = append(waits, r.done)
		s.say(&wire.Message{Kind: wire.Gone, ID: s.nextID, Names: asked, At: now})
	}
	go func() {
		for _, w := range waits {
			<-w
		}
		close(all)
	}()
	return 200, []byte(`{}`), all
}

// confirmed takes word that the machines of a release are gone.
func (s *cloud) confirmed(now int64, id uint64) {
	r := s.waits[id]
	if r == nil {
		return
	}
	delete(s.waits, id)
	for _, h := range r.hosts {
		h.gone = now
		delete(s.byName, h.Name)
		s.free = append(s.free, wire.Machine{Rack: "", Region: h.Region, Public: h.Public, Listen: h.Listen, Source: h.Source, Real: h.Real})
		kind := h.Type + "/" + h.Zone
		if h.Spot {
			kind += "/spot"
		}
		s.spare[kind]++
	}
	close(r.done)
}

func (s *cloud) order(m *wire.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case m.Kind == wire.GoneDone:
		s.confirmed(s.now(), m.ID)
	case m.Kind == wire.Fault && m.Text == wire.FaultEnd:
		for _, n := range m.Names {
			if h := s.byName[n]; h != nil && h.dead == never {
				h.dead = s.now()
			}
		}
	}
}

// tick forgets machines that no list shows any more.
func (s *cloud) tick(now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := now - 2*int64(s.platform.MachineListLag) - int64(protocol.Second)
	s.hosts = slices.DeleteFunc(s.hosts, func(h *rental) bool { return h.gone < oldest })
}

func (s *cloud) gauge() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := map[string]float64{"cloud_machines": float64(len(s.byName)), "cloud_rentals": float64(s.rentals), "cloud_free_slots": float64(len(s.free))}
	s.fill(v, "cloud")
	return v
}
