package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["4"] = lateMistake }

const (
	waitLimit = 90 * time.Second // no job is left waiting for that long while a machine has room
	failsFor  = 12 * time.Second // run time after which a task of the job with a mistake fails
)

// lateMistake: a job of one team has a mistake, and its tasks fail on every machine after 12 s of run
// time, until its user cancels it. From then on a sound job of another team must not be left waiting
// for 90 s while a machine that fits has room.
func lateMistake(repo, dir string, trouble bool) int {
	w, f := himal()
	w.failAfter = failsFor
	d := newDeployment(w, f, repo, dir)
	d.startAll()
	if w.waitLeader(10*time.Second) < 0 {
		logf("no controller leads")
		return 2
	}
	var background sync.WaitGroup
	defer background.Wait()
	w.submitBackground(&background, 24)

	zone := "delhi-cloud"
	inZone := func(s *spec) *spec {
		s.Flavors, s.Region, s.Reclaimable = []string{"everest-box"}, &zone, false
		return s
	}
	// A replica of a service on each of the zone's three machines of this type keeps them rented.
	service := inZone(array("req-000100", "card-check", "club-desk", 3, 52, 1, 38, 0, 0))
	service.Shape, service.Rank, service.Bundle = "daemon", "critical", "card-check-1"
	if !w.submit(service, w.anyNode) {
		return 2
	}
	if !w.await(20*time.Second, func() bool { return len(w.machinesOf("req-000100")) == 3 }) {
		logf("the service does not run on three machines")
		return 2
	}
	if trouble && !w.playMistake(inZone) {
		return 2
	}
	logf("no trouble from here on")
	sound := inZone(array("req-000300", "renewal-score", "records", 2, 6, 1, 43, 10, 10))
	if !w.submit(sound, w.anyNode) {
		return 2
	}
	return w.judgeWait(sound)
}

// submitBackground submits sound jobs that run elsewhere, so that the job with a mistake is one of 26.
func (w *world) submitBackground(done *sync.WaitGroup, count int) {
	zone := "kathmandu-dc"
	for i := range count {
		done.Go(func() {
			time.Sleep(time.Duration(i) * 400 * time.Millisecond)
			s := array(fmt.Sprintf("req-%06d", 400+i), "renewal-score", "records", 2, 6, 1, 43, 3, 3)
			s.Flavors, s.Region, s.Bundle = []string{"sherpa-box"}, &zone, "renewal-1"
			w.submit(s, w.anyNode)
		})
	}
}

// playMistake submits the job with a mistake, and cancels it 3 s after its tasks have failed.
func (w *world) playMistake(inZone func(*spec) *spec) bool {
	s := inZone(array("req-000200", "renewal-score", "payments", 21, 6, 1, 43, 35, 1000))
	s.Bundle = "renewal-2"
	s.fails = func(int) bool { return true }
	if !w.submit(s, w.anyNode) {
		return false
	}
	if !w.await(30*time.Second, func() bool { return w.jobs[s.Ref].failures >= s.Shards }) {
		logf("the job with a mistake did not fail in time")
		return false
	}
	time.Sleep(3 * time.Second)
	return w.cancel(s.Ref, w.anyNode)
}

// judgeWait watches a job that was just submitted until one of its tasks starts, or until it has waited
// for longer than allowed. A machine that fits must have room all the time for the rule to be broken.
func (w *world) judgeWait(s *spec) int {
	submitted, c := time.Now(), w.newClient()
	for since := time.Duration(0); since < waitLimit+time.Second; since = time.Since(submitted) {
		time.Sleep(200 * time.Millisecond)
		w.mu.Lock()
		started, room := w.jobs[s.Ref].starts > 0, w.roomFor(s)
		w.mu.Unlock()
		if started {
			logf("%s started %.1f s after its submission", s.Ref, time.Since(submitted).Seconds())
			w.summary()
			return 0
		}
		if room == "" {
			logf("no machine that fits has room: the wait counts from here on")
			submitted = time.Now()
		}
		if time.Since(began) > 114*time.Second {
			logf("no time left to judge the wait")
			return 2
		}
		if since > 0 && int(since/time.Second)%5 == 0 && int((since-200*time.Millisecond)/time.Second)%5 != 0 {
			logf("room: %s", room)
			w.query(c, s.Ref, w.anyNode())
		}
	}
	w.mu.Lock()
	w.broke("left_waiting", "%s waits for %.1f s, and a machine that fits had room all the time", s.Ref, time.Since(submitted).Seconds())
	w.mu.Unlock()
	w.summary()
	return 1
}

// roomFor returns a machine that a job allows and that has room for a task of it. w.mu is held.
func (w *world) roomFor(s *spec) string {
	for _, name := range sortedKeys(w.workers) {
		k := w.workers[name]
		allowed := (s.Flavors == nil || contains(s.Flavors, k.typ.name)) && (s.Region == nil || k.zone == *s.Region) && (!k.spot || s.Reclaimable)
		if k.up && !k.gone && allowed && k.fits(s) {
			return name
		}
	}
	return ""
}
