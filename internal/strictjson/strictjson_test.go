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
