package protocol

import (
	"errors"
	"strings"
	"testing"
)

// settingsWith returns a settings file with changes, such as other limits of the state service.
func settingsWith(t *testing.T, change func(*Platform)) string {
	t.Helper()
	p := &Platform{
		ControllerName: "n-0", Zone: "a", ClientListen: "127.0.0.1:1", ClusterListen: "127.0.0.1:2", CloudAddr: "127.0.0.1:3", StateAddr: "127.0.0.1:4",
		Zones: []string{"a"}, HeartbeatInterval: Second, WorkerLease: 10 * Second, GangWaitTimeout: 20 * Second, GangPeerTimeout: 5 * Second, CancelTimeout: 21 * Second,
		StateRequestRate: 500, StateWriteRate: 35, MaxValueBytes: 8192, MaxTxnChanges: 12, CloudRate: 20, CPUShare: 1, MemoryBytes: 512e6, MaxConnections: 99,
	}
	change(p)
	text, err := SettingsFile(p)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Announced limits are optional and unknown keys beside them are ignored. The error for a limit
// that is too low names its key.
func TestAnnouncedLimits(t *testing.T) {
	announce := func(rate float64, bytes, ops int) func(*Platform) {
		return func(p *Platform) { p.AnnouncedStateLimits = &StateLimits{rate, bytes, ops} }
	}
	p, err := ParsePlatform([]byte(settingsWith(t, func(*Platform) {})))
	if err != nil || p.AnnouncedStateLimits != nil {
		t.Fatalf("announced limits %+v, error %v", p.AnnouncedStateLimits, err)
	}
	text := settingsWith(t, announce(24, 2048, 4))
	p, err = ParsePlatform([]byte(strings.Replace(text, "[facts.state.next]", "[facts.state.next]\nfrom_s = 9", 1)))
	if err != nil || *p.AnnouncedStateLimits != (StateLimits{24, 2048, 4}) {
		t.Fatalf("announced limits %+v, error %v", p.AnnouncedStateLimits, err)
	}
	for key, change := range map[string]func(*Platform){
		"facts.state.next.write_rps": announce(1, 2048, 4),
		"facts.state.next.value_kb":  announce(24, 1024, 4),
		"facts.state.next.txn_ops":   announce(24, 2048, 3),
		"facts.state.txn_ops":        func(p *Platform) { p.MaxTxnChanges = 3 },
		"facts.state.value_kb":       func(p *Platform) { p.MaxValueBytes = 2000 },
	} {
		_, err := ParsePlatform([]byte(settingsWith(t, change)))
		var keyError *KeyError
		if !errors.As(err, &keyError) || keyError.Key != key {
			t.Errorf("%s: %v", key, err)
		}
	}
	if _, err := ParsePlatform([]byte(settingsWith(t, func(p *Platform) { p.MaxTxnChanges, p.MaxValueBytes = MinTxnChanges, MinValueBytes }))); err != nil {
		t.Errorf("the smallest limits were rejected: %v", err)
	}
}
