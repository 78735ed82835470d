package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"mapleslip/internal/client"
	"mapleslip/internal/featuregate"
	"mapleslip/internal/transport"
)

const (
	upgradeLimit    = 4 * time.Minute  // an upgrade that takes longer has failed
	upgradeDowntime = 2 * time.Second  // of a controller that is killed
	programPatience = 10 * time.Second // for a program to say its version
)

// earlierProgram checks that a path is a program of mapleslip, and makes it absolute.
func earlierProgram(ctx context.Context, path string) (string, error) {
	info, err := os.Stat(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return "", fmt.Errorf("no program at %q", path)
	case err != nil:
		return "", err
	case !info.Mode().IsRegular() || info.Mode().Perm()&0o111 == 0:
		return "", fmt.Errorf("%q is not a program", path)
	}
	if path, err = filepath.Abs(path); err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, programPatience)
	defer cancel()
	said, err := exec.CommandContext(ctx, path, "--version").Output()
	if err != nil {
		return "", fmt.Errorf("%q is not a program of mapleslip: %w", path, err)
	}
	if !strings.HasPrefix(string(said), "mapleslip version ") {
		return "", fmt.Errorf("%q is not a program of mapleslip", path)
	}
	return path, nil
}

// upgradeDemo brings this program to controllers that began with an earlier one.
type upgradeDemo struct {
	*demo
	program string // this one
	jobs    int    // submitted so far
}

// runUpgrade upgrades the controllers of a deployment one after the other, under load, and
// then uses what is new; the error says what did not hold.
func runUpgrade(ctx context.Context, d *dev, out io.Writer) error {
	m, err := newDemo(d, out)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	u := &upgradeDemo{demo: m, program: self}
	steps := []step{{"a leader of the earlier version is elected", u.election}}
	for n, name := range d.names {
		steps = append(steps, step{name + " is upgraded", func(ctx context.Context) error { return u.upgrade(ctx, n) }})
	}
	steps = append(steps,
		step{"the feature level becomes active", u.level},
		step{"a chain of three stages is done", u.chainDone},
		step{"a chain is cancelled", u.chainCancelled})
	if err := u.play(ctx, upgradeLimit, steps); err != nil {
		return err
	}
	u.say("upgraded: %d controllers, feature level %d active on all, a chain done, a chain cancelled, %d jobs in all", len(d.names), featuregate.Build.High, u.jobs)
	return nil
}

// upgrade kills a controller and another one besides. The first comes back with this
// program, the other with the one that it ran; jobs run meanwhile.
func (u *upgradeDemo) upgrade(ctx context.Context, n int) error {
	other := (n + 1) % len(u.d.names)
	before, err := u.array(ctx, 6)
	if err != nil {
		return err
	}
	if err := u.job(ctx, before, "the array of before", "running", 1); err != nil {
		return err
	}
	active, err := u.active()
	if err != nil {
		return err
	}
	if active > 0 {
		return fmt.Errorf("the feature level is active on %d controllers before all are upgraded", active)
	}
	led := u.d.live.Leader()
	for _, k := range []int{n, other} {
		if err := u.d.kill(u.d.names[k]); err != nil {
			return err
		}
	}
	u.say("killed %s and %s, %s led", u.d.names[n], u.d.names[other], led)
	meanwhile, err := u.array(ctx, 2)
	if err != nil {
		return err
	}
	u.d.programs[n] = u.program
	for _, k := range []int{n, other} {
		if err := u.back(ctx, k); err != nil {
			return err
		}
	}
	if err := u.job(ctx, before, "the array of before", "done", 0); err != nil {
		return err
	}
	if err := u.job(ctx, meanwhile, "the array of meanwhile", "done", 0); err != nil {
		return err
	}
	u.check(u.d.names[n]+" is upgraded", true, "%s led, %s leads, %s came back as it was, both arrays are done", led, u.d.live.Leader(), u.d.names[other])
	return nil
}

// back starts a controller that was killed, and waits until it answers.
func (u *upgradeDemo) back(ctx context.Context, n int) error {
	name, address := u.d.names[n], u.d.clients[n]
	select {
	case <-ctx.Done():
	case <-time.After(upgradeDowntime):
	}
	if err := u.until(ctx, address+" is not free", func() (string, bool, error) {
		return "", transport.CanListen(address, 0) == nil, nil
	}); err != nil {
		return err
	}
	if err := u.d.start(n); err != nil {
		return err
	}
	c, err := client.New(address)
	if err != nil {
		return err
	}
	if _, _, err := c.Do(ctx, "GET", "/api/jobs/"+u.ref(), nil); err != nil {
		return fmt.Errorf("%s does not answer: %w", name, err)
	}
	u.say("%s is back, with %s", name, u.d.programs[n])
	return nil
}

// active counts the controllers whose log says that the highest feature level is active.
func (u *upgradeDemo) active() (n int, err error) {
	for _, name := range u.d.names {
		said, err := u.d.logged(name, `"feature level is active"`, fmt.Sprintf("level=%d ", featuregate.Build.High))
		if err != nil {
			return 0, err
		}
		if said {
			n++
		}
	}
	return n, nil
}

// level waits until the highest feature level is active on all controllers.
func (u *upgradeDemo) level(ctx context.Context) error {
	err := u.until(ctx, "the feature level is not active everywhere", func() (string, bool, error) {
		n, err := u.active()
		return fmt.Sprintf("feature level %d is active on %d controllers", featuregate.Build.High, n), n == len(u.d.names), err
	})
	if err == nil {
		u.check("the feature level becomes active", true, "level %d, on %d controllers", featuregate.Build.High, len(u.d.names))
	}
	return err
}

// ref names the job that was submitted last.
func (u *upgradeDemo) ref() string { return fmt.Sprintf("req-%06d", u.jobs) }

// array submits an array whose tasks run for so many seconds, once others are done.
func (u *upgradeDemo) array(ctx context.Context, run float64, awaits ...string) (ref string, err error) {
	u.jobs++
	ref = u.ref()
	return ref, u.submit(ctx, ref, "array", 4, run, awaits...)
}

// chain submits three arrays, each of which awaits the one before.
func (u *upgradeDemo) chain(ctx context.Context, run float64) (refs []string, err error) {
	var awaits []string
	for range 3 {
		ref, err := u.array(ctx, run, awaits...)
		if err != nil {
			return nil, err
		}
		refs, awaits = append(refs, ref), []string{ref}
	}
	return refs, nil
}

// chainDone has a chain run to its end.
func (u *upgradeDemo) chainDone(ctx context.Context) error {
	refs, err := u.chain(ctx, 2)
	if err != nil {
		return err
	}
	_, answer, err := u.c.Do(ctx, "GET", "/api/jobs/"+refs[2], nil)
	if err != nil {
		return err
	}
	waited := fastjson.GetString(answer, "awaiting", "0")
	if waited != refs[1] {
		return fmt.Errorf("the last stage awaits %q, not %s", waited, refs[1])
	}
	for k, ref := range refs {
		if err := u.job(ctx, ref, fmt.Sprintf("stage %d", k+1), "done", 0); err != nil {
			return err
		}
	}
	u.check("a chain of three stages is done", true, "%s", strings.Join(refs, ", "))
	return nil
}

// chainCancelled cancels the first stage of a chain, and the others go with it.
func (u *upgradeDemo) chainCancelled(ctx context.Context) error {
	refs, err := u.chain(ctx, 60)
	if err != nil {
		return err
	}
	if err := u.job(ctx, refs[0], "stage 1", "running", 1); err != nil {
		return err
	}
	if _, _, err := u.c.Do(ctx, "POST", "/api/jobs/"+refs[0]+"/cancel", nil); err != nil {
		return err
	}
	for k, ref := range refs {
		if err := u.job(ctx, ref, fmt.Sprintf("stage %d", k+1), "cancelled", 0); err != nil {
			return err
		}
	}
	u.check("a chain is cancelled", true, "%s", strings.Join(refs, ", "))
	return nil
}
