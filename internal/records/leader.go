package records

import (
	"strconv"

	"github.com/valyala/fastjson"
)

// Leader is the record of the leader.
type Leader struct {
	Controller     string
	Epoch          uint64
	Lease          uint64
	HeartbeatGrace micros // how long it may answer workers after its lease ended
}

// EncodeLeader writes the leader's record.
func EncodeLeader(l Leader) []byte {
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("node", a.NewString(l.Controller))
	o.Set("epoch", a.NewNumberString(strconv.FormatUint(l.Epoch, 10)))
	o.Set("lease", a.NewNumberString(strconv.FormatUint(l.Lease, 10)))
	o.Set("answer_on", a.NewNumberString(strconv.FormatInt(int64(l.HeartbeatGrace), 10)))
	return o.MarshalTo(nil)
}

// DecodeLeader reads the leader's record.
func DecodeLeader(value []byte) (Leader, error) {
	var l Leader
	err := parse(value, func(v *fastjson.Value) error {
		l = Leader{
			Controller: string(v.GetStringBytes("node")), Epoch: v.GetUint64("epoch"), Lease: v.GetUint64("lease"),
			HeartbeatGrace: micros(v.GetInt64("answer_on")),
		}
		switch {
		case l.Controller == "":
			return &FieldError{Record: "leader", Field: "node"}
		case l.Epoch == 0:
			return &FieldError{Record: "leader", Field: "epoch"}
		}
		return nil
	})
	return l, err
}
