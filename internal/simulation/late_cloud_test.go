package simulation

import (
	"fmt"
	"strings"
	"testing"
)

// machineTroubles are histories in which machines appear, end or come back when the controllers don't
// expect it. The trouble is over 60 s after the time from. TROUBLE is what happens to the controllers.
var machineTroubles = []struct {
	name  string
	from  float64 // seconds
	trace string
}{
	{"rentals are carried out late", 0, `
at 4 late-cloud every=1 by=20 with={"claim" most=3
at 5 submit req-000001 array tasks=4 run=30
at 5.2 submit req-000002 gang tasks=2 gpus=2 run=30
at 6 TROUBLE`},
	{"rentals are carried out after they were given up", 0, `
at 4 late-cloud every=1 by=50 with={"claim" most=2
at 5 submit req-000001 array tasks=4 run=30
at 9 TROUBLE`},
	{"answers to rentals are lost", 0, `
at 4 late-cloud every=1 at=once with={"claim" most=3
at 5 submit req-000001 array tasks=4 run=30
at 5.2 submit req-000002 service tasks=2 run=10
at 6 TROUBLE`},
	{"machines rented late are up at once", 0, `
at 4 boot-factor 0.02
at 4 late-cloud every=1 by=15 with={"claim" most=2
at 5 submit req-000001 gang tasks=4 gpus=2 run=30
at 6 TROUBLE`},
	{"releases are carried out after the machines were taken into use again", 60, `
machine n-000001 small a
machine n-000002 small a
machine n-000003 small a
at 4 late-cloud every=1 by=8 with={"hosts" most=4
at 64.5 TROUBLE
at 65 submit req-000001 array tasks=6 run=30
at 65.2 submit req-000002 gang tasks=2 gpus=1 run=30`},
	{"releases are carried out while tasks start", 60, `
machine n-000001 small a
machine n-000002 small a
at 4 late-cloud every=1 by=2 with={"hosts" most=2
at 62 submit req-000001 array tasks=8 run=30
at 63.5 TROUBLE`},
	{"answers to releases are lost", 60, `
machine n-000001 small a
machine n-000002 small a
at 4 late-cloud every=1 at=once with={"hosts" most=4
at 64.5 TROUBLE
at 65 submit req-000001 array tasks=6 run=30`},
	{"a session ends and the next one reports at once", 0, `
machine n-000001 small a
machine n-000002 small a
at 4 late-reports every=1 by=5
at 5 submit req-000001 array tasks=4 run=40
at 5.2 submit req-000002 gang tasks=2 gpus=1 run=40
at 15 lose-session n-000001
at 15.1 TROUBLE
at 25 lose-session n-000002
at 25.5 lose-session n-000002
at 40 late-reports every=0`},
	{"a machine is back under a new name", 0, `
machine n-000001 small a
machine n-000002 small a
at 4 late-reports every=1 by=9
at 5 submit req-000001 array tasks=4 run=40
at 5.2 submit req-000002 service tasks=2 run=10
at 15 replace n-000001 n-000101
at 15.1 TROUBLE
at 30 replace n-000002 n-000102
at 40 late-reports every=0`},
	{"a machine is back under a new name while its launches are held up", 0, `
machine n-000001 small a
machine n-000002 small a
at 4 late-commands every=1 by=12 with=launch
at 5 submit req-000001 array tasks=4 run=40
at 6 replace n-000001 n-000101
at 6.1 TROUBLE
at 7 lose-session n-000002
at 20 late-commands every=0`},
}

// Within one lease of a worker after the trouble, the leader knows each task that runs, and no rule
// was broken. Each machine is used or returned, each job ends or serves.
func TestMachinesThatAppearOrEndUnexpectedly(t *testing.T) {
	controllers := map[string]string{
		"nothing": "allow-state all", "the leader is back at once": "restart leader after=0.3", "the leader ends": "kill leader",
		"the leader is frozen": "freeze leader", "the leader is cut off": "isolate leader", "all end": "kill all",
	}
	for _, trouble := range machineTroubles {
		for name, controller := range controllers {
			for _, lag := range []int{1, 6} {
				t.Run(fmt.Sprintf("%s/%s/%d", trouble.name, name, lag), func(t *testing.T) {
					t.Parallel()
					trace := fmt.Sprintf(`
nodes 3
team red gpus=4 max=8
type small cpus=8 gpus=2 mem=64 boot=3 fetch=1 zones=a,b
at 0 list-lag %d
`, lag) + inOrder(strings.ReplaceAll(trouble.trace, "TROUBLE", controller)+afterTrouble(trouble.from))
					w, err := playTrace(trace, nil)
					if err != nil {
						t.Fatalf("%v\ntrace:\n%s\nevent log:\n%s", err, trace, strings.Join(w.Log, "\n"))
					}
					if strings.Contains(trace, "late-cloud every=1") && w.lateCloud.delayed == 0 {
						t.Errorf("no request was held up\ntrace:\n%s\nevent log:\n%s", trace, strings.Join(w.Log, "\n"))
					}
				})
			}
		}
	}
}

// afterTrouble returns the lines that end the trouble of a history and check what is left of it.
func afterTrouble(from float64) string {
	return fmt.Sprintf(`
at %[1]g start all
at %[1]g thaw all
at %[1]g unisolate all
at %[2]g boot-factor 1
at %[3]g expect known-tasks
at %[4]g expect nothing-stuck
at %[4]g expect known-tasks
at %[5]g cancel-known req-000002
at %[6]g expect machines 0
`, from+20, from+60, from+80, from+180, from+181, from+400)
}
