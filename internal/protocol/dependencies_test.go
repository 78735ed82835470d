package protocol

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// jobAwaiting returns the body of a submission with the given value of awaits.
func jobAwaiting(list string) string {
	return strings.Replace(goodJob, `"dueS":900.0`, `"dueS":900.0,"awaits":`+list, 1)
}

func TestParseAwaits(t *testing.T) {
	for _, c := range []struct {
		list string
		want []string
	}{
		{`["req-000398","req-000405"]`, []string{"req-000398", "req-000405"}},
		{`["req-000405","req-000398","req-000405"]`, []string{"req-000405", "req-000398"}}, // duplicate
		{`[]`, nil},
		{`null`, nil},
	} {
		s, err := ParseJob([]byte(jobAwaiting(c.list)))
		if err != nil {
			t.Fatalf("%s: %v", c.list, err)
		}
		if d := cmp.Diff(c.want, s.DependsOn); d != "" {
			t.Errorf("%s: %s", c.list, d)
		}
		reparsed, err := ParseJob(AppendJob(nil, s))
		if err != nil || !cmp.Equal(s, reparsed) {
			t.Errorf("job differs after AppendJob and ParseJob: %+v, error %v", reparsed, err)
		}
	}
}

func TestParseAwaitsRefuses(t *testing.T) {
	long := make([]string, MaxDependencies+1)
	for i := range long {
		long[i] = fmt.Sprintf(`"req-%06d"`, i+1000)
	}
	tooMany := "[" + strings.Join(long, ",") + "]"
	for _, list := range []string{
		`"req-000398"`, `{}`, `7`, `true`, `[7]`, `[null]`, `["job-1"]`, `["req-1"]`, `["req-00x398"]`, `[["req-000398"]]`,
		`["req-000412"]`, `["req-000398","req-000412"]`, tooMany,
	} {
		if _, err := ParseJob([]byte(jobAwaiting(list))); err == nil {
			t.Errorf("%s was accepted", list)
		}
	}
	if _, err := ParseJob([]byte(jobAwaiting("[" + strings.Join(long[1:], ",") + "]"))); err != nil {
		t.Errorf("%d dependencies were rejected: %v", MaxDependencies, err)
	}
}

// A job without dependencies is written without awaits, as it was before dependencies existed.
func TestAppendJobOmitsEmptyAwaits(t *testing.T) {
	s, err := ParseJob([]byte(goodJob))
	if err != nil {
		t.Fatal(err)
	}
	if b := AppendJob(nil, s); strings.Contains(string(b), "awaits") {
		t.Errorf("the body has awaits: %s", b)
	}
	_, spec, err := ParseJobFile([]byte(goodJobFile), "req-000001")
	if err != nil || spec.DependsOn != nil {
		t.Errorf("job %+v, error %v, want no dependencies", spec, err)
	}
}

func TestJobFileAwaits(t *testing.T) {
	body, spec, err := ParseJobFile([]byte(goodJobFile+`awaits = ["req-000398"]`), "req-000001")
	if err != nil || !cmp.Equal(spec.DependsOn, []string{"req-000398"}) {
		t.Errorf("body %s, job %+v, error %v", body, spec, err)
	}
	if _, spec, err = ParseJobFile([]byte(goodJobFile+`awaits = ["req-000398"]`), "req-000001", "req-000399"); err != nil || !cmp.Equal(spec.DependsOn, []string{"req-000398", "req-000399"}) {
		t.Errorf("job %+v, error %v", spec, err)
	}
	if _, _, err := ParseJobFile([]byte(goodJobFile+`awaits = ["job-1"]`), "req-000001"); err == nil || !strings.Contains(err.Error(), "awaits") {
		t.Errorf("got error %v, want one that names awaits", err)
	}
}

// The status of a job that waits for the largest possible number of dependencies stays below 2,048
// bytes.
func TestWaitingJobStatusBodySize(t *testing.T) {
	refs := make([]string, MaxDependencies)
	for i := range refs {
		refs[i] = fmt.Sprintf("req-%020d", i)
	}
	if b := WaitingJobStatusBody("req-000001", refs); len(b) >= 2048 {
		t.Errorf("the body has %d bytes, want fewer than 2048", len(b))
	}
}
