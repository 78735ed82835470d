package protocol

import (
	"encoding/binary"
	"errors"
)

// Between controllers, messages are frames: a length of four bytes (of all that
// follows), a version, a kind, then the fields in a fixed order. Texts and
// bodies carry a length of their own. All numbers are big-endian.
const (
	peerVersion  = 1
	maxPeerFrame = 128 << 10
)

// PeerKind is the kind of a frame.
type PeerKind uint8

// Kinds of frames.
const (
	PeerUserRequest PeerKind = 1 + iota
	PeerResponse
	PeerStatusRequest  // a leader asks whether another controller answers workers
	PeerStatus         // the answer
	PeerHeartbeat      // a worker's heartbeat, forwarded to the leader; a PeerResponse comes back
	PeerWorkerProbe    // a leader's call to a worker, to be made by another controller; so too
	PeerHealthCheck    // a leader's check of an instance, to be made by another controller; so too
	PeerConfigGrant    // a leader says which revision of the configuration it goes by
	PeerConfigAck      // the answer: which one the other controller does
	PeerFeatureRequest // a leader asks which feature levels another controller serves
	PeerFeatureRange   // the answer; a version without levels answers a PeerResponse of status 0
)

// UserOp is what a user asks.
type UserOp uint8

// What users ask.
const (
	OpSubmit UserOp = 1 + iota
	OpQuery
	OpCancel
	OpRollout // the others are of roll-outs; Ref is the service
	OpRollouts
	OpRolloutShow
	OpRolloutPause
	OpRolloutResume
	OpRolloutRevert
	OpConfig // the others are of the configuration; Ref is a revision
	OpConfigApply
	OpConfigHistory
	OpConfigRollback
	OpConfigWait
	OpConfigStatus
)

// PeerMessage is a message between controllers: a request, or the answer to one. Which fields it
// has depends on its kind.
type PeerMessage struct {
	Kind PeerKind

	// PeerUserRequest.
	Op   UserOp
	Ref  string
	From string // the controller that sends it; of PeerStatusRequest and others as well

	// PeerResponse. Status 0: the controller that was asked does not lead.
	Status     uint16
	RetryAfter Micros

	// PeerStatusRequest: the epoch under which it is asked.
	Epoch uint64

	// PeerStatus: whether the controller answers workers, and how long ago it last did, Forever:
	// never since it was started.
	AnswersWorkers    bool
	AnsweredAgo       Micros
	RedirectedWorkers uint32 // workers that it redirected to the leader lately

	// PeerHeartbeat: the worker was redirected to the leader and came back.
	ReturnedFromLeader bool

	// PeerWorkerProbe: the worker's address. PeerHealthCheck: the instance's, and how it is
	// checked.
	Addr    string
	Check   CheckKind
	Path    string
	Timeout Micros

	// PeerConfigGrant: the leader's revision of the configuration, and of the last answer that it
	// has from the other controller the incarnation of that process and its steady clock.
	// PeerConfigAck: those of the controller itself. The body is the document, where the other
	// side does not have it.
	Revision, Incarnation uint64
	At                    Micros

	// PeerFeatureRange: the feature levels that the controller serves.
	MinLevel, MaxLevel uint64

	Body []byte
}

var (
	errFrame        = errors.New("malformed frame")
	errFrameVersion = errors.New("unknown version of a frame")
)

// AppendPeer writes a frame.
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

// SplitPeer finds a whole frame at the start of buf, without its length.
func SplitPeer(buf []byte) (frame []byte, used int, err error) {
	if len(buf) < 4 {
		return nil, 0, nil
	}
	n := binary.BigEndian.Uint32(buf)
	if n < 2 || n > maxPeerFrame {
		return nil, 0, errFrame
	}
	if len(buf) < int(n)+4 {
		return nil, 0, nil
	}
	return append([]byte(nil), buf[4:4+n]...), int(n) + 4, nil
}

// ParsePeer reads a frame that SplitPeer found.
func ParsePeer(frame []byte) (*PeerMessage, error) {
	r := peerReader{b: frame}
	if r.byte() != peerVersion {
		return nil, errFrameVersion
	}
	m := &PeerMessage{Kind: PeerKind(r.byte())}
	if !r.readFields(m) {
		return nil, errFrame
	}
	m.Body = append([]byte(nil), r.take(int(r.uint(4)))...)
	if r.bad || len(r.b) != 0 || len(m.Body) > MaxPeerBody {
		return nil, errFrame
	}
	return m, nil
}

// maxCheckTimeout is the longest time that a check of an instance may take.
const maxCheckTimeout = 60 * Second

// readFields reads the fields of a message's kind. It reports whether they can be.
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

// text reads a text with its length.
func (r *peerReader) text() string { return string(r.take(int(r.uint(2)))) }

// MaxPeerBody is the largest body in a frame.
const MaxPeerBody = 64 << 10

type peerReader struct {
	b   []byte
	bad bool
}

func (r *peerReader) take(n int) []byte {
	if n < 0 || n > len(r.b) {
		r.bad = true
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
	r.bad = r.bad || v > 1
	return v == 1
}

func (r *peerReader) uint(n int) uint64 {
	var v uint64
	for _, c := range r.take(n) {
		v = v<<8 | uint64(c)
	}
	return v
}
