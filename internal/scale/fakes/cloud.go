package fakes

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"mapleslip/internal/duplicate"
	"mapleslip/internal/protocol"
	"mapleslip/internal/scale/httpconn"
	"mapleslip/internal/scale/wire"
	"mapleslip/internal/strictjson"
	"mapleslip/internal/transport"
)

const (
	maxRentCount    = 50  // machines in a request to rent
	maxReleaseCount = 100 // machines in a request to release
	maxPageSize     = 500 // machines on a page of the list
	// failureListDelay is how long a failed machine is still listed as running, microseconds.
	failureListDelay = int64(30 * protocol.Second)
	never            = int64(protocol.Forever)
	rackSize         = 40 // machines per rack; a zone fills its racks in the order of renting
)

// rental is a rented machine, or a released one that the list may still show.
type rental struct {
	wire.Machine
	rentedAt, upAt int64         // times when it was rented and when it is up
	failedAt       int64         // time when it failed, never if it hasn't
	releasedAt     int64         // time when it was released, never if it hasn't been
	listed         bool          // whether a list has shown it
	releasing      chan struct{} // closed once it is released; nil if no release was requested
}

// cloud is a fake of the cloud, which rents and releases machines.
type cloud struct {
	endpoint
	platform    *protocol.Platform
	types       map[string]*protocol.MachineType
	typesAnswer []byte              // answer to a request for the machine types
	send        func(*wire.Message) // sends to the supervisor
	now         func() int64
	rng         *rand.Rand

	hosts         []*rental          // rented and recently released machines, sorted by name
	byName        map[string]*rental // rented machines
	freeAddresses []wire.Machine     // addresses for new machines, the longest unused first
	// available is the number of machines that can still be rented, by "type/zone" or, for spot
	// machines, "type/zone/spot".
	available    map[string]int
	regions      map[string]string          // by zone
	claims       map[string][]string        // names of the machines that each claim has rented
	lastNumber   int                        // highest number in a machine name so far
	rentedByZone map[string]int             // machines rented so far, by zone
	lastID       uint64                     // ID of the latest release message
	releases     map[uint64]*pendingRelease // releases that aren't confirmed, by message ID
	tokens       float64                    // token bucket of the rate limit, as of tokensAt
	tokensAt     int64                      // time of the latest request
	rentedTotal  int                        // machines rented so far
	duplicates   duplicate.Sequence
}

// pendingRelease is a release that the processes of the machines haven't confirmed.
type pendingRelease struct {
	hosts []*rental
	done  chan struct{} // closed once it is confirmed
}

func newCloud(c *wire.Config, p *protocol.Platform, now func() int64, send func(*wire.Message)) *cloud {
	s := &cloud{
		platform: p, types: make(map[string]*protocol.MachineType), typesAnswer: protocol.AppendMachineTypes(nil, c.Types), send: send, now: now,
		rng: rand.New(rand.NewPCG(c.Seed, 7)), byName: make(map[string]*rental), available: make(map[string]int), regions: make(map[string]string),
		claims: make(map[string][]string), rentedByZone: make(map[string]int), releases: make(map[uint64]*pendingRelease),
	}
	s.requests = make(map[string]int)
	for _, t := range c.Types {
		s.types[t.Name] = t
	}
	for k, n := range c.Spare {
		s.available[k] = n
	}
	for _, n := range c.Controllers {
		s.regions[n.Zone] = n.Region
	}
	start := now()
	s.tokens, s.tokensAt = 2*p.CloudRate, start
	for _, m := range c.Machines {
		if m.Type == "" {
			s.freeAddresses = append(s.freeAddresses, m)
			continue
		}
		if m.Zone != "" && m.Region != "" {
			s.regions[m.Zone] = m.Region
		}
		h := &rental{Machine: m, rentedAt: start - int64(protocol.Second), upAt: start - int64(protocol.Second), failedAt: never, releasedAt: never, listed: true}
		s.hosts = append(s.hosts, h)
		s.byName[m.Name] = h
		if n, err := strconv.Atoi(strings.TrimPrefix(m.Name, "n-")); err == nil {
			s.lastNumber = max(s.lastNumber, n)
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
	if r.Method == http.MethodPost {
		if err := checkRequest(r); err != nil {
			s.send(&wire.Message{Kind: wire.Broken, Name: wire.RuleMalformed, At: s.now(), Text: fmt.Sprintf("request to the cloud: %v", err)})
			s.countAnswer(http.StatusBadRequest)
			return http.StatusBadRequest, []byte(`{"error":"malformed"}`)
		}
		s.receiveCopyLater(r.Path, bytes.Clone(r.Body))
	}
	status, body, wait := s.serve(s.now(), r)
	if wait != nil {
		<-wait
	}
	s.countAnswer(status)
	return status, body
}

// checkRequest returns why the body of a request that rents or releases machines is malformed, or nil.
func checkRequest(r *transport.Request) error {
	if r.Path == "/machines/release" {
		return strictjson.CheckRelease(r.Body)
	}
	return strictjson.CheckRental(r.Body)
}

// receiveCopyLater carries out a copy of a request later. It does not count against the rate.
func (s *cloud) receiveCopyLater(path string, body []byte) {
	time.AfterFunc(time.Duration(s.duplicates.Next())*time.Microsecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch path {
		case "/machines":
			s.rent(s.now(), body)
		case "/machines/release":
			s.release(s.now(), body)
		}
	})
}

// serve computes the answer to a request. If wait isn't nil, the answer may be sent only after
// wait is closed.
func (s *cloud) serve(now int64, r *transport.Request) (status int, body []byte, wait <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := s.platform.CloudRate
	s.tokens = min(2*rate, s.tokens+rate*float64(now-s.tokensAt)/1e6)
	s.tokensAt = now
	if s.tokens < 1 {
		return 429, []byte(`{"error":"too many requests"}`), nil
	}
	s.tokens--
	switch {
	case r.Method == "GET" && r.Path == "/machine_types":
		return 200, s.typesAnswer, nil
	case r.Method == "GET" && r.Path == "/machines":
		q, err := url.ParseQuery(r.Query)
		if err != nil {
			break
		}
		limit, err := strconv.Atoi(q.Get("page"))
		if err != nil || limit < 1 || limit > maxPageSize {
			limit = maxPageSize
		}
		return 200, s.listPage(now, q.Get("since"), limit), nil
	case r.Method == "POST" && r.Path == "/machines":
		status, body = s.rent(now, r.Body)
		return status, body, nil
	case r.Method == "POST" && r.Path == "/machines/release":
		return s.release(now, r.Body)
	}
	return 400, []byte(`{"error":"malformed"}`), nil
}

// listPage returns up to limit machines whose names come after since. The list is as it was
// before the platform's list lag, in one answer of ten up to twice that lag.
func (s *cloud) listPage(now int64, since string, limit int) []byte {
	lag := int64(s.platform.MachineListLag)
	if s.rng.IntN(10) == 0 {
		lag += int64(s.rng.Float64() * float64(lag))
	}
	asOf := now - lag
	i, found := slices.BinarySearchFunc(s.hosts, since, func(h *rental, name string) int { return strings.Compare(h.Name, name) })
	if found {
		i++
	}
	b := []byte(`{"hosts":[`)
	n, more := 0, false
	for ; i < len(s.hosts); i++ {
		h := s.hosts[i]
		if h.releasedAt <= asOf || h.rentedAt > asOf && !h.listed {
			continue
		}
		if n == limit {
			more = true
			break
		}
		h.listed = true
		if n++; n > 1 {
			b = append(b, ',')
		}
		phase := "running"
		if h.upAt > asOf {
			phase = "booting"
		} else if h.failedAt != never && h.failedAt+failureListDelay <= asOf {
			phase = "failed"
		}
		b = protocol.AppendQuoted(append(b, `{"ref":`...), h.Name)
		b = protocol.AppendQuoted(append(b, `,"addr":`...), h.Public)
		b = protocol.AppendQuoted(append(b, `,"flavor":`...), h.Type)
		b = protocol.AppendQuoted(append(b, `,"region":`...), h.Zone)
		b = strconv.AppendBool(append(b, `,"reclaimable":`...), h.Spot)
		b = protocol.AppendQuoted(append(b, `,"phase":`...), phase)
		b = strconv.AppendFloat(append(b, `,"heldS":`...), float64(max(0, asOf-h.rentedAt))/1e6, 'f', 3, 64)
		b = append(b, '}')
	}
	return fmt.Appendf(b, `],"truncated":%t}`, more)
}

// rent handles a request to rent machines. A repeated claim gets the machines of the first one.
func (s *cloud) rent(now int64, body []byte) (int, []byte) {
	parser := protocol.Parsers.Get()
	defer protocol.Parsers.Put(parser)
	v, err := parser.ParseBytes(body)
	if err != nil {
		return 400, []byte(`{"error":"malformed"}`)
	}
	claim, zone, count := string(v.GetStringBytes("claim")), string(v.GetStringBytes("region")), v.GetInt("count")
	typ := s.types[string(v.GetStringBytes("flavor"))]
	if claim == "" || typ == nil || !slices.Contains(typ.Zones, zone) || count < 1 || count > maxRentCount {
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
	for ; count > 0 && s.available[kind] > 0; count-- {
		m, ok := s.takeAddress(zone)
		if !ok {
			break
		}
		s.available[kind]--
		s.lastNumber++
		m.Name, m.Type, m.Zone, m.Spot = fmt.Sprintf("n-%06d", s.lastNumber), typ.Name, zone, spot
		if m.Rack == "" {
			m.Rack = zone + "-rk" + strconv.Itoa(s.rentedByZone[zone]/rackSize)
		}
		s.rentedByZone[zone]++
		h := &rental{Machine: m, rentedAt: now, upAt: now + s.bootTime(int64(typ.BootTime)), failedAt: never, releasedAt: never}
		s.hosts = append(s.hosts, h)
		s.byName[m.Name] = h
		s.rentedTotal++
		names = append(names, m.Name)
		if h.upAt < never {
			s.send(&wire.Message{Kind: wire.Boot, Name: m.Name, At: h.upAt, Machine: &m})
		}
	}
	if len(names) == 0 {
		return 503, []byte(`{"error":"no capacity"}`)
	}
	s.claims[claim] = names
	return 200, protocol.AppendMachineNames(nil, names)
}

// takeAddress removes a free address in the region of a zone from the pool and returns it.
func (s *cloud) takeAddress(zone string) (wire.Machine, bool) {
	region := s.region(zone)
	for i, m := range s.freeAddresses {
		if m.Region == "" || m.Region == region {
			s.freeAddresses = slices.Delete(s.freeAddresses, i, i+1)
			m.Region = region
			return m, true
		}
	}
	return wire.Machine{}, false
}

// region returns the region of a zone: the one that the configuration of machines and
// controllers has for it, or else the part of the zone's name before the dash.
func (s *cloud) region(zone string) string {
	if r := s.regions[zone]; r != "" {
		return r
	}
	r, _, _ := strings.Cut(zone, "-")
	return r
}

// bootTime returns a random time until a new machine is up: usually 0.6 to 1.5 times the
// nominal time of its type. One machine in 50 takes three times as long, one in 50 takes at
// most two seconds, and one in 500 never comes up.
func (s *cloud) bootTime(nominal int64) int64 {
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

// release handles a request to release machines. It is answered after the processes that
// simulate the machines have confirmed that they are gone.
func (s *cloud) release(now int64, body []byte) (int, []byte, <-chan struct{}) {
	names, err := protocol.ParseMachineNames(body)
	if err != nil || len(names) > maxReleaseCount {
		return 400, []byte(`{"error":"malformed"}`), nil
	}
	allReleased := make(chan struct{})
	r := &pendingRelease{done: make(chan struct{})}
	var waits []<-chan struct{}
	var requested []string
	for _, n := range names {
		h := s.byName[n]
		if h == nil {
			continue
		}
		if h.releasing == nil {
			h.releasing = r.done
			r.hosts = append(r.hosts, h)
			requested = append(requested, n)
		} else {
			waits = append(waits, h.releasing) // an earlier request releases it
		}
	}
	if len(r.hosts) > 0 {
		s.lastID++
		s.releases[s.lastID] = r
		waits = append(waits, r.done)
		s.send(&wire.Message{Kind: wire.Gone, ID: s.lastID, Names: requested, At: now})
	}
	go func() {
		for _, w := range waits {
			<-w
		}
		close(allReleased)
	}()
	return 200, []byte(`{}`), allReleased
}

// confirmRelease removes the machines of a release and makes their addresses free again.
func (s *cloud) confirmRelease(now int64, id uint64) {
	r := s.releases[id]
	if r == nil {
		return
	}
	delete(s.releases, id)
	for _, h := range r.hosts {
		h.releasedAt = now
		delete(s.byName, h.Name)
		s.freeAddresses = append(s.freeAddresses, wire.Machine{Rack: "", Region: h.Region, Public: h.Public, Listen: h.Listen, Source: h.Source, Real: h.Real})
		kind := h.Type + "/" + h.Zone
		if h.Spot {
			kind += "/spot"
		}
		s.available[kind]++
	}
	close(r.done)
}

// handleMessage handles a message of the supervisor.
func (s *cloud) handleMessage(m *wire.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case m.Kind == wire.GoneDone:
		s.confirmRelease(s.now(), m.ID)
	case m.Kind == wire.Fault && m.Text == wire.FaultEnd:
		for _, n := range m.Names {
			if h := s.byName[n]; h != nil && h.failedAt == never {
				h.failedAt = s.now()
			}
		}
	}
}

// tick removes released machines that are too old to be in any list, which lags by at most
// twice the platform's list lag.
func (s *cloud) tick(now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := now - 2*int64(s.platform.MachineListLag) - int64(protocol.Second)
	s.hosts = slices.DeleteFunc(s.hosts, func(h *rental) bool { return h.releasedAt < oldest })
}

func (s *cloud) gauge() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := map[string]float64{"cloud_machines": float64(len(s.byName)), "cloud_rentals": float64(s.rentedTotal), "cloud_free_slots": float64(len(s.freeAddresses))}
	s.addGauges(v, "cloud")
	return v
}
