package records

import (
	"strconv"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

// Leader is the content of the leader record.
type Leader struct {
	Controller     string
	Epoch          uint64
	Lease          uint64
	HeartbeatGrace micros // how long the leader may answer workers after its lease has ended
}

// EncodeLeader encodes the leader record.
func EncodeLeader(l Leader) []byte {
	b := protocol.AppendQuoted([]byte(`{"node":`), l.Controller)
	b = strconv.AppendUint(append(b, `,"epoch":`...), l.Epoch, 10)
	b = strconv.AppendUint(append(b, `,"lease":`...), l.Lease, 10)
	b = strconv.AppendInt(append(b, `,"answer_on":`...), int64(l.HeartbeatGrace), 10)
	return append(b, '}')
}

// DecodeLeader decodes the leader record.
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
