package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// machineType is a type of machine that the cloud rents out.
type machineType struct {
	label                             string
	cores, gpus, memory, cache, fetch float64
	hourly, spot, ready               float64
	zones                             []string
	capacity                          int // machines of the type that the cloud has
}

// cloud rents machines. Each machine is a worker that is up one second after the request.
type cloud struct {
	mu       sync.Mutex
	w        *world
	types    []*machineType
	machines map[string]*machine
	claims   map[string][]string
	next     int
	reqs     bucket
	history  []snapshot
}

type machine struct {
	name   string
	typ    *machineType
	zone   string
	spot   bool
	since  time.Time
	worker *worker
}

type snapshot struct {
	at    time.Time
	hosts []obj
}

func newCloud(w *world, types []*machineType) *cloud {
	c := &cloud{w: w, types: types, machines: map[string]*machine{}, claims: map[string][]string{}, next: 100,
		reqs: bucket{rate: w.set.cloudRPS, burst: 2 * w.set.cloudRPS, at: time.Now()}}
	go func() {
		for range time.Tick(250 * time.Millisecond) {
			c.mu.Lock()
			c.history = append(c.history, snapshot{time.Now(), c.describe()})
			c.mu.Unlock()
		}
	}()
	return c
}

func (c *cloud) describe() []obj {
	hosts := []obj{}
	for _, m := range c.machines {
		phase := "booting"
		if m.worker != nil {
			phase = "running"
		}
		h := obj{"ref": m.name, "flavor": m.typ.label, "region": m.zone, "reclaimable": m.spot, "phase": phase, "heldS": time.Since(m.since).Seconds(), "addr": nil}
		if m.worker != nil {
			h["addr"] = m.worker.addr
		}
		hosts = append(hosts, h)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i]["ref"].(string) < hosts[j]["ref"].(string) })
	return hosts
}

func (c *cloud) serve() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(l, http.HandlerFunc(c.handle)) }()
	return l.Addr().String()
}

func (c *cloud) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	c.mu.Lock()
	status, v := c.execute(r, body)
	c.mu.Unlock()
	answer(w, status, v)
}

func (c *cloud) execute(r *http.Request, body []byte) (int, any) {
	if !c.reqs.take(1) {
		return 429, obj{"error": "too many requests"}
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		flavors := []obj{}
		for _, t := range c.types {
			flavors = append(flavors, obj{"label": t.label, "cores": t.cores, "gpus": t.gpus, "memoryGb": t.memory, "cacheGb": t.cache,
				"fetchGbPerS": t.fetch, "hourly": t.hourly, "spotPrice": t.spot, "readyS": t.ready, "regions": t.zones})
		}
		return 200, obj{"flavors": flavors}
	case "GET /machines":
		hosts := []obj{}
		for _, s := range c.history {
			if time.Since(s.at).Seconds() >= c.w.set.listLag {
				hosts = s.hosts
			}
		}
		since, limit, out := r.URL.Query().Get("since"), 500, []obj{}
		if n, err := strconv.Atoi(r.URL.Query().Get("page")); err == nil && n < limit {
			limit = n
		}
		for _, h := range hosts {
			if h["ref"].(string) > since {
				out = append(out, h)
			}
		}
		truncated := len(out) > limit
		if truncated {
			out = out[:limit]
		}
		return 200, obj{"hosts": out, "truncated": truncated}
	case "POST /machines":
		var in struct {
			Claim, Flavor, Region string
			Reclaimable           bool
			Count                 int
		}
		if json.Unmarshal(body, &in) != nil || in.Claim == "" || in.Count < 1 || in.Count > 50 {
			return 400, obj{"error": "malformed"}
		}
		if names, ok := c.claims[in.Claim]; ok {
			return 200, obj{"hosts": names}
		}
		names := c.rent(in.Flavor, in.Region, in.Reclaimable, in.Count)
		if len(names) == 0 {
			return 503, obj{"error": "no capacity"}
		}
		c.claims[in.Claim] = names
		return 200, obj{"hosts": names}
	case "POST /machines/release":
		var in struct{ Hosts []string }
		if json.Unmarshal(body, &in) != nil || len(in.Hosts) > 100 {
			return 400, obj{"error": "malformed"}
		}
		for _, name := range in.Hosts {
			if m := c.machines[name]; m != nil {
				if m.worker != nil {
					m.worker.stop("the cloud took the machine back")
				}
				delete(c.machines, name)
				c.w.logf("cloud: %s released", name)
			}
		}
		return 200, obj{}
	}
	return 400, obj{"error": "malformed"}
}

func (c *cloud) rent(label, zone string, spot bool, count int) (names []string) {
	for _, t := range c.types {
		if t.label != label {
			continue
		}
		used := 0
		for _, m := range c.machines {
			if m.typ == t {
				used++
			}
		}
		for ; count > 0 && used < t.capacity; count, used = count-1, used+1 {
			c.next++
			m := &machine{name: fmt.Sprintf("n-%06d", c.next), typ: t, zone: zone, spot: spot, since: time.Now()}
			c.machines[m.name] = m
			names = append(names, m.name)
			c.w.logf("cloud: %s rented (%s in %s)", m.name, t.label, zone)
			time.AfterFunc(time.Second, func() {
				c.mu.Lock()
				defer c.mu.Unlock()
				if c.machines[m.name] == m {
					m.worker = newWorker(c.w, m)
				}
			})
		}
	}
	return names
}

// byName returns the worker of a machine, or nil.
func (c *cloud) byName(name string) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.machines[name]; m != nil {
		return m.worker
	}
	return nil
}

// each calls f for each worker.
func (c *cloud) each(f func(*worker)) {
	c.mu.Lock()
	var list []*worker
	for _, m := range c.machines {
		if m.worker != nil {
			list = append(list, m.worker)
		}
	}
	c.mu.Unlock()
	for _, w := range list {
		f(w)
	}
}
