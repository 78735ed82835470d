package protocol

import (
	"encoding/binary"
	"errors"
)

// Messages between controllers are frames: a length of four bytes (of everything after it), a
// version, a kind, the fields of that kind in a fixed order, and the body. Each text and the body
// are preceded by their own length. All numbers are big-endian.
const (
	peerVersion  = 1
	maxPeerFrame = 128 << 10
)

// PeerKind is the kind of a frame. It determines the fields that the frame has.
type PeerKind uint8

// Kinds of frames. The response to a forwarded user request or heartbeat, a worker probe or a
// health check is a PeerResponse.
const (
	PeerUserRequest PeerKind = 1 + iota // a user's request, forwarded to the leader
	PeerResponse
	PeerStatusRequest  // a leader requests the status of another controller
	PeerStatus         // response to a PeerStatusRequest
	PeerHeartbeat      // a worker's heartbeat, forwarded to the leader
	PeerWorkerProbe    // a leader's call to a worker, delegated to another controller
	PeerHealthCheck    // a leader's check of an instance, delegated to another controller
	PeerConfigGrant    // a leader grants a lease on its configuration revision
	PeerConfigAck      // response to a PeerConfigGrant: the revision in force there
	PeerFeatureRequest // a leader requests the feature levels that another controller supports
	PeerFeatureRange   // response; builds without levels send a PeerResponse with status 0 instead
)

// peerKindNames are the names of the kinds of frames, for logs.
var peerKindNames = map[PeerKind]string{
	PeerUserRequest: "user request", PeerResponse: "response", PeerStatusRequest: "status request", PeerStatus: "status",
	PeerHeartbeat: "heartbeat", PeerWorkerProbe: "worker probe", PeerHealthCheck: "health check", PeerConfigGrant: "configuration grant",
	PeerConfigAck: "configuration ack", PeerFeatureRequest: "feature request", PeerFeatureRange: "feature range",
}

// String returns the name of the kind, for logs.
func (k PeerKind) String() string {
	if name, ok := peerKindNames[k]; ok {
		return name
	}
	return "unknown"
}

// FrameKind returns the kind of a frame that SplitPeer returned, 0 if it is malformed.
func FrameKind(frame []byte) PeerKind {
	if len(frame) < 2 {
		return 0
	}
	return PeerKind(frame[1])
}

// UserOp is the operation that a user requests.
type UserOp uint8

// Operations that users request.
const (
	OpSubmit UserOp = 1 + iota
	OpQuery
	OpCancel
	OpRollout // this and the next five concern roll-outs: PeerMessage.Ref is the service
	OpRollouts
	OpRolloutShow
	OpRolloutPause
	OpRolloutResume
	OpRolloutRevert
	OpConfig // this and the rest concern the configuration: PeerMessage.Ref is a revision
	OpConfigApply
	OpConfigHistory
	OpConfigRollback
	OpConfigWait
	OpConfigStatus
)

// PeerMessage is a message between controllers: a request, or the response to one. Kind determines
// which of the other fields it has.
type PeerMessage struct {
	Kind PeerKind

	// PeerUserRequest: the operation and the job, service or revision that it concerns.
	Op  UserOp
	Ref string
	// From is the controller that sends the message: PeerUserRequest, PeerStatusRequest,
	// PeerConfigGrant and PeerFeatureRequest.
	From string

	// PeerResponse: an HTTP status, and the time after which the request may be repeated. Status 0
	// means that the responding controller is not the leader, that the probed worker did not
	// respond, or that the health check could not be made.
	Status     uint16
	RetryAfter Micros

	// PeerStatusRequest, PeerConfigGrant: the leader's epoch. It is 0 in a status request of a
	// controller that is not the leader and checks whether its peers respond.
	Epoch uint64

	// PeerStatus: AnswersWorkers is whether the controller holds the leader's lease. AnsweredAgo is
	// the time since it last renewed a worker's lease without being the leader, or since its
	// process started if that is shorter; Forever means never.
	AnswersWorkers    bool
	AnsweredAgo       Micros
	RedirectedWorkers uint32 // workers that recently sent it heartbeats meant for the leader

	// PeerHeartbeat: whether the worker had been redirected to the leader before and came back,
	// probably because it can't reach the leader.
	ReturnedFromLeader bool

	// PeerWorkerProbe: the worker's address. PeerHealthCheck: the instance's address, the kind and
	// the path of the check, and its timeout.
	Addr    string
	Check   CheckKind
	Path    string
	Timeout Micros

	// PeerConfigGrant: the leader's configuration revision, and the incarnation and the steady
	// clock that the other controller's process sent with the last PeerConfigAck that the leader
	// received. PeerConfigAck: the revision, incarnation and steady clock of the responding
	// controller. The body is the configuration document if the receiver doesn't have it.
	Revision, Incarnation uint64
	At                    Micros

	// PeerFeatureRange: the lowest and the highest feature level that the controller supports.
	MinLevel, MaxLevel uint64

	Body []byte
}

var (
	errMalformedFrame = errors.New("malformed frame")
	errFrameVersion   = errors.New("unknown version of a frame")
)

// AppendPeer appends a message as a frame, including its length.
func AppendPeer(b []byte, m *PeerMessage) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0, peerVersion, byte(m.Kind))
	switch m.Kind {
	case PeerUserRequest:
		b = append(b, byte(m.Op))
		b = appendPeerText(b, m.Ref)
		b = appendPeerText(b, m.From)
	case PeerResponse:
		b = binary.BigEndian.AppendUint16(b, m.Status)
		b = binary.BigEndian.AppendUint64(b, uint64(m.RetryAfter))
	case PeerStatusRequest:
		b = binary.BigEndian.AppendUint64(b, m.Epoch)
		b = appendPeerText(b, m.From)
	case PeerStatus:
		b = binary.BigEndian.AppendUint64(appendPeerFlag(b, m.AnswersWorkers), uint64(m.AnsweredAgo))
		b = binary.BigEndian.AppendUint32(b, m.RedirectedWorkers)
	case PeerHeartbeat:
		b = appendPeerFlag(b, m.ReturnedFromLeader)
	case PeerConfigGrant:
		b = binary.BigEndian.AppendUint64(b, m.Epoch)
		b = appendPeerText(b, m.From)
		b = appendPeerRevision(b, m)
	case PeerConfigAck:
		b = appendPeerRevision(b, m)
	case PeerFeatureRequest:
		b = appendPeerText(b, m.From)
	case PeerFeatureRange:
		b = binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(b, m.MinLevel), m.MaxLevel)
	case PeerWorkerProbe:
		b = appendPeerText(b, m.Addr)
	case PeerHealthCheck:
		b = append(b, byte(m.Check))
		b = appendPeerText(b, m.Addr)
		b = appendPeerText(b, m.Path)
		b = binary.BigEndian.AppendUint64(b, uint64(m.Timeout))
	}
	b = binary.BigEndian.AppendUint32(b, uint32(len(m.Body)))
	b = append(b, m.Body...)
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-4))
	return b
}

func appendPeerRevision(b []byte, m *PeerMessage) []byte {
	b = binary.BigEndian.AppendUint64(b, m.Revision)
	b = binary.BigEndian.AppendUint64(b, m.Incarnation)
	return binary.BigEndian.AppendUint64(b, uint64(m.At))
}

func appendPeerText(b []byte, s string) []byte {
	b = binary.BigEndian.AppendUint16(b, uint16(len(s)))
	return append(b, s...)
}

func appendPeerFlag(b []byte, flag bool) []byte {
	if flag {
		return append(b, 1)
	}
	return append(b, 0)
}

// SplitPeer returns a copy of the frame at the start of buf, without its length, and the number of
// bytes that it takes up in buf. used is 0 if the frame is not complete yet.
func SplitPeer(buf []byte) (frame []byte, used int, err error) {
	if len(buf) < 4 {
		return nil, 0, nil
	}
	n := binary.BigEndian.Uint32(buf)
	if n < 2 || n > maxPeerFrame {
		return nil, 0, errMalformedFrame
	}
	if len(buf) < int(n)+4 {
		return nil, 0, nil
	}
	return append([]byte(nil), buf[4:4+n]...), int(n) + 4, nil
}

// ParsePeer parses a frame returned by SplitPeer.
func ParsePeer(frame []byte) (*PeerMessage, error) {
	r := peerReader{b: frame}
	if r.byte() != peerVersion {
		return nil, errFrameVersion
	}
	m := &PeerMessage{Kind: PeerKind(r.byte())}
	if !r.readFields(m) {
		return nil, errMalformedFrame
	}
	m.Body = append([]byte(nil), r.take(int(r.uint(4)))...)
	if r.malformed || len(r.b) != 0 || len(m.Body) > MaxPeerBody {
		return nil, errMalformedFrame
	}
	return m, nil
}

// maxCheckTimeout is the longest timeout of a check of an instance.
const maxCheckTimeout = 60 * Second

// readFields reads the fields that the kind of m has. It reports whether the kind is known and the
// values are valid; a frame that is too short sets r.malformed instead.
func (r *peerReader) readFields(m *PeerMessage) bool {
	switch m.Kind {
	case PeerUserRequest:
		m.Op, m.Ref, m.From = UserOp(r.byte()), r.text(), r.text()
		return m.Op >= OpSubmit && m.Op <= OpConfigStatus
	case PeerResponse:
		m.Status, m.RetryAfter = uint16(r.uint(2)), Micros(r.uint(8))
		return m.RetryAfter >= 0
	case PeerStatusRequest:
		m.Epoch, m.From = r.uint(8), r.text()
	case PeerStatus:
		m.AnswersWorkers, m.AnsweredAgo, m.RedirectedWorkers = r.flag(), Micros(r.uint(8)), uint32(r.uint(4))
		return m.AnsweredAgo >= 0
	case PeerHeartbeat:
		m.ReturnedFromLeader = r.flag()
	case PeerConfigGrant:
		m.Epoch, m.From = r.uint(8), r.text()
		return r.readRevision(m)
	case PeerConfigAck:
		return r.readRevision(m)
	case PeerFeatureRequest:
		m.From = r.text()
	case PeerFeatureRange:
		m.MinLevel, m.MaxLevel = r.uint(8), r.uint(8)
		return m.MinLevel <= m.MaxLevel
	case PeerWorkerProbe:
		m.Addr = r.text()
	case PeerHealthCheck:
		m.Check, m.Addr, m.Path, m.Timeout = CheckKind(r.byte()), r.text(), r.text(), Micros(r.uint(8))
		return m.Check <= CheckTCP && m.Timeout > 0 && m.Timeout <= maxCheckTimeout
	default:
		return false
	}
	return true
}

func (r *peerReader) readRevision(m *PeerMessage) bool {
	m.Revision, m.Incarnation, m.At = r.uint(8), r.uint(8), Micros(r.uint(8))
	return m.At >= 0
}

// text reads a text that is preceded by its length.
func (r *peerReader) text() string { return string(r.take(int(r.uint(2)))) }

// MaxPeerBody is the size limit of the body of a frame, in bytes.
const MaxPeerBody = 64 << 10

type peerReader struct {
	b         []byte
	malformed bool
}

func (r *peerReader) take(n int) []byte {
	if n < 0 || n > len(r.b) {
		r.malformed = true
		return nil
	}
	t := r.b[:n]
	r.b = r.b[n:]
	return t
}

func (r *peerReader) byte() byte {
	if t := r.take(1); t != nil {
		return t[0]
	}
	return 0
}

func (r *peerReader) flag() bool {
	v := r.byte()
	r.malformed = r.malformed || v > 1
	return v == 1
}

func (r *peerReader) uint(n int) uint64 {
	var v uint64
	for _, c := range r.take(n) {
		v = v<<8 | uint64(c)
	}
	return v
}
