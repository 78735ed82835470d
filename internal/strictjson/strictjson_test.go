package strictjson

import (
	"strings"
	"testing"
)

func TestCheck(t *testing.T) {
	for _, text := range []string{`{}`, ` {"a":[1e0,"\ud83d\ude00",null]} `, "\"\x7f é\"", `"\u0000"`} {
		if err := Check([]byte(text)); err != nil {
			t.Errorf("%q: %v", text, err)
		}
	}
	for _, text := range []string{
		``, `{`, `{} {}`, "\"\xe9\"", `"\x00"`, `"\a"`, `"\U000e0001"`, "\"\x00\"", `"\ud800"`, `{"a":1,"a":2}`, `01`, `{'a':1}`, "\ufeff{}",
	} {
		if Check([]byte(text)) == nil {
			t.Errorf("%q passed", text)
		}
	}
	if CheckRequest([]byte(`"`+strings.Repeat("a", MaxBody)+`"`)) == nil {
		t.Error("a body over the limit passed")
	}
}

func TestMessages(t *testing.T) {
	type check func([]byte) error
	reportAnswer := func(b []byte) error { return CheckReportAnswer(200, b) }
	jobAnswer := func(b []byte) error { return CheckJobAnswer(200, b) }
	redirect := func(b []byte) error { return CheckReportAnswer(421, b) }
	failure := func(b []byte) error { return CheckJobAnswer(503, b) }
	for _, c := range []struct {
		check check
		good  []string
		bad   []string
	}{
		{
			CheckTransaction,
			[]string{`{"when":[{"path":"a/b","stamp":0}],"then":[{"set":"a/b","data":null,"hold":7},{"drop":"c/d"}]}`, `{"when":[],"then":[]}`},
			[]string{
				`[]`, `{"when":[{"path":"a"}]}`, `{"then":[{"set":"a b","data":1}]}`, `{"then":[{"set":"a"}]}`, `{"then":[{"set":"a","data":1,"drop":"a"}]}`,
				`{"then":[{"drop":"a","data":1}]}`, `{"then":[{"Set":"a","data":1}]}`, `{"then":[{"set":"","data":1}]}`, `{"then":[],"if":[]}`,
				"{\"then\":[{\"set\":\"a\",\"data\":\"\xe9\"}]}", `{"then":[{"set":"a","data":"\x00"}]}`,
			},
		},
		{CheckLease, []string{`{"ttlMs":5000}`}, []string{`{}`, `{"ttlMs":99}`, `{"ttlMs":600001}`, `{"ttlMs":"5000"}`}},
		{
			CheckRental,
			[]string{`{"claim":"r-17","flavor":"g8","region":"a","reclaimable":false,"count":50}`},
			[]string{`{"claim":"r-17","flavor":"g8","region":"a","reclaimable":false,"count":51}`, `{"claim":"","flavor":"g8","region":"a","reclaimable":false,"count":5}`, `{"claim":"r-17","flavor":"g8","region":"a","count":1}`},
		},
		{CheckRelease, []string{`{"hosts":["n-1"]}`}, []string{`{"hosts":[]}`, `{}`, `{"hosts":[1]}`, `{"hosts":[""]}`}},
		{
			CheckCommands,
			[]string{`{"epoch":1,"tenure":1,"orders":[{"verb":"stop","shard":"req-1/0","try":0,"drainS":0.5}]}`},
			[]string{
				`{"epoch":1,"orders":[]}`, `{"epoch":1,"tenure":1,"orders":[{"verb":"start","shard":"req-1/0","try":0}]}`,
				`{"epoch":1,"tenure":1,"orders":[{"verb":"stop","shard":"req-1/0","try":0}]}`, `{"epoch":1,"tenure":1,"orders":[{"verb":"launch","shard":"req-1/0"}]}`,
			},
		},
		{reportAnswer, []string{`{"epoch":41,"orders":[{"verb":"launch","shard":"req-1/0","try":2}]}`}, []string{``, `{"epoch":41,"orders":[{}]}`, `{"epoch":-1}`, `{"epoch":1,"x":"` + strings.Repeat("a", maxLine) + `"}`}},
		{redirect, []string{`{}`, `{"leader":"n"}`}, []string{`{"leader":null,"x":1}`, ``}},
		{jobAnswer, []string{`{"ref":"req-1","phase":"running","done":3,"running":13}`}, []string{`{}`, `{"ref":"req-1","phase":"runs","done":3,"running":13}`, ``}},
		{failure, []string{`{"error":"x"}`, ``}, []string{`{"error":1}`, `x`}},
	} {
		for _, text := range c.good {
			if err := c.check([]byte(text)); err != nil {
				t.Errorf("%s: %v", text, err)
			}
		}
		for _, text := range c.bad {
			if c.check([]byte(text)) == nil {
				t.Errorf("%q passed", text)
			}
		}
	}
}
