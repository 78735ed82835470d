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
	upgradeLimit    = 4 * time.Minute  // time limit of the whole upgrade
	upgradeDowntime = 2 * time.Second  // between killing a controller and restarting it
	versionTimeout  = 10 * time.Second // for a program to print its version
)

// earlierProgram checks that a path is that of a mapleslip program, and returns it as an absolute
// path.
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
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	output, err := exec.CommandContext(ctx, path, "--version").Output()
	if err != nil {
		return "", fmt.Errorf("%q is not a program of mapleslip: %w", path, err)
	}
	if !strings.HasPrefix(string(output), "mapleslip version ") {
		return "", fmt.Errorf("%q is not a program of mapleslip", path)
	}
	return path, nil
}

// upgradeDemo upgrades controllers that were started with an earlier program to this program.
type upgradeDemo struct {
	*demo
	program  string // path of this program
	jobCount int    // number of jobs submitted so far
}

// runUpgrade upgrades the controllers of a deployment one after the other, under load, and then
// uses the features of the new version. The error names the step or the first check that failed.
func runUpgrade(ctx context.Context, d *devDeployment, out io.Writer) error {
	m, err := newDemo(d, out)
	if err != nil {
		return err
	}
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	u := &upgradeDemo{demo: m, program: executable}
	steps := []demoStep{{"a leader of the earlier version is elected", u.waitForLeader}}
	for n, name := range d.names {
		steps = append(steps, demoStep{name + " is upgraded", func(ctx context.Context) error { return u.upgrade(ctx, n) }})
	}
	steps = append(steps,
		demoStep{"the feature level becomes active", u.waitForFeatureLevel},
		demoStep{"a chain of three stages is done", u.completeChain},
		demoStep{"a chain is cancelled", u.cancelChain})
	if err := u.runSteps(ctx, upgradeLimit, steps); err != nil {
		return err
	}
	u.printf("upgraded: %d controllers, feature level %d active on all, a chain done, a chain cancelled, %d jobs in all", len(d.names), featuregate.Build.High, u.jobCount)
	return nil
}

// upgrade kills a controller and one other. It restarts the first with this program and the other
// with the program that it ran before, while jobs run.
func (u *upgradeDemo) upgrade(ctx context.Context, n int) error {
	other := (n + 1) % len(u.dev.names)
	before, err := u.submitArray(ctx, 6)
	if err != nil {
		return err
	}
	if err := u.waitForJob(ctx, before, "the array of before", "running", 1); err != nil {
		return err
	}
	active, err := u.activeCount()
	if err != nil {
		return err
	}
	if active > 0 {
		return fmt.Errorf("the feature level is active on %d controllers before all are upgraded", active)
	}
	led := u.dev.live.Leader()
	for _, k := range []int{n, other} {
		if err := u.dev.kill(u.dev.names[k]); err != nil {
			return err
		}
	}
	u.printf("killed %s and %s, %s led", u.dev.names[n], u.dev.names[other], led)
	meanwhile, err := u.submitArray(ctx, 2)
	if err != nil {
		return err
	}
	u.dev.programs[n] = u.program
	for _, k := range []int{n, other} {
		if err := u.restart(ctx, k); err != nil {
			return err
		}
	}
	if err := u.waitForJob(ctx, before, "the array of before", "done", 0); err != nil {
		return err
	}
	if err := u.waitForJob(ctx, meanwhile, "the array of meanwhile", "done", 0); err != nil {
		return err
	}
	u.recordResult(u.dev.names[n]+" is upgraded", true, "%s led, %s leads, %s came back as it was, both arrays are done", led, u.dev.live.Leader(), u.dev.names[other])
	return nil
}

// restart starts a controller that was killed, and waits until it responds to a request.
func (u *upgradeDemo) restart(ctx context.Context, n int) error {
	name, address := u.dev.names[n], u.dev.clients[n]
	select {
	case <-ctx.Done():
	case <-time.After(upgradeDowntime):
	}
	if err := u.poll(ctx, address+" is not free", func() (string, bool, error) {
		return "", transport.CanListen(address, 0) == nil, nil
	}); err != nil {
		return err
	}
	if err := u.dev.start(n); err != nil {
		return err
	}
	c, err := client.New(address)
	if err != nil {
		return err
	}
	if _, _, err := c.Do(ctx, "GET", "/api/jobs/"+u.lastRef(), nil); err != nil {
		return fmt.Errorf("%s does not answer: %w", name, err)
	}
	u.printf("%s is back, with %s", name, u.dev.programs[n])
	return nil
}

// activeCount returns the number of controllers that have logged that the highest feature level is
// active.
func (u *upgradeDemo) activeCount() (n int, err error) {
	for _, name := range u.dev.names {
		found, err := u.dev.logContains(name, `"feature level is active"`, fmt.Sprintf("level=%d ", featuregate.Build.High))
		if err != nil {
			return 0, err
		}
		if found {
			n++
		}
	}
	return n, nil
}

// waitForFeatureLevel waits until the highest feature level is active on all controllers.
func (u *upgradeDemo) waitForFeatureLevel(ctx context.Context) error {
	err := u.poll(ctx, "the feature level is not active everywhere", func() (string, bool, error) {
		n, err := u.activeCount()
		return fmt.Sprintf("feature level %d is active on %d controllers", featuregate.Build.High, n), n == len(u.dev.names), err
	})
	if err == nil {
		u.recordResult("the feature level becomes active", true, "level %d, on %d controllers", featuregate.Build.High, len(u.dev.names))
	}
	return err
}

// lastRef returns the reference of the job that was submitted last.
func (u *upgradeDemo) lastRef() string { return fmt.Sprintf("req-%06d", u.jobCount) }

// submitArray submits an array whose tasks run for runSeconds each. It starts once the jobs in
// awaits are done.
func (u *upgradeDemo) submitArray(ctx context.Context, runSeconds float64, awaits ...string) (ref string, err error) {
	u.jobCount++
	ref = u.lastRef()
	return ref, u.submit(ctx, ref, "array", 4, runSeconds, awaits...)
}

// submitChain submits three arrays. The second and the third start when the previous one is done.
func (u *upgradeDemo) submitChain(ctx context.Context, runSeconds float64) (refs []string, err error) {
	var awaits []string
	for range 3 {
		ref, err := u.submitArray(ctx, runSeconds, awaits...)
		if err != nil {
			return nil, err
		}
		refs, awaits = append(refs, ref), []string{ref}
	}
	return refs, nil
}

// completeChain submits a chain and waits until all of its stages are done.
func (u *upgradeDemo) completeChain(ctx context.Context) error {
	refs, err := u.submitChain(ctx, 2)
	if err != nil {
		return err
	}
	_, answer, err := u.client.Do(ctx, "GET", "/api/jobs/"+refs[2], nil)
	if err != nil {
		return err
	}
	waited := fastjson.GetString(answer, "awaiting", "0")
	if waited != refs[1] {
		return fmt.Errorf("the last stage awaits %q, not %s", waited, refs[1])
	}
	for k, ref := range refs {
		if err := u.waitForJob(ctx, ref, fmt.Sprintf("stage %d", k+1), "done", 0); err != nil {
			return err
		}
	}
	u.recordResult("a chain of three stages is done", true, "%s", strings.Join(refs, ", "))
	return nil
}

// cancelChain submits a chain, cancels the first stage, and waits until all stages are cancelled.
func (u *upgradeDemo) cancelChain(ctx context.Context) error {
	refs, err := u.submitChain(ctx, 60)
	if err != nil {
		return err
	}
	if err := u.waitForJob(ctx, refs[0], "stage 1", "running", 1); err != nil {
		return err
	}
	if _, _, err := u.client.Do(ctx, "POST", "/api/jobs/"+refs[0]+"/cancel", nil); err != nil {
		return err
	}
	for k, ref := range refs {
		if err := u.waitForJob(ctx, ref, fmt.Sprintf("stage %d", k+1), "cancelled", 0); err != nil {
			return err
		}
	}
	u.recordResult("a chain is cancelled", true, "%s", strings.Join(refs, ", "))
	return nil
}
