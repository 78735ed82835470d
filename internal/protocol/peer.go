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

// PeerMessage is a user's call or a worker's report passed to the leader, a
// leader's question, or the answer to one of them.
type PeerMessage struct {
	Kind PeerKind
	// A call; a question has From too.
	Op   UserOp
	Ref  string
	From string
	// An answer. Status 0: the node called does not lead.
	Status     uint16
	RetryAfter Micros
	// A question: the epoch under which it is asked.
	Epoch uint64
	// Its answer: whether the node answers workers, and how long ago it last did,
	// Forever: never since it was started.
	AnswersWorkers    bool
	AnsweredAgo       Micros
	RedirectedWorkers uint32 // workers that it lately sent to the leader
	// A report: the worker was sent to the leader and came back.
	ReturnedFromLeader bool
	// A call to a worker: its address. A check: the instance's, and how it is made.
	Addr    string
	Check   CheckKind
	Path    string
	Timeout Micros
	// A grant has the leader's revision of the configuration, and of the last answer it
	// has heard of the other node the life of its process and the time by its steady
	// clock. The answer has those of the node itself. The body is the
	// document, where the other side doesn't have it.
	Revision, Incarnation uint64
	At                    Micros
	// The feature levels that a node serves.
	MinLevel, MaxLevel uint64
	// The body of a call, a report or an answer.
	Body []byte
}

var errFrame = errors.New("malformed frame")

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
		return nil, errors.New("unknown version of a frame")
	}
	m := &PeerMessage{Kind: PeerKind(r.byte())}
	switch m.Kind {
	case PeerUserRequest:
		m.Op = UserOp(r.byte())
		m.Ref = string(r.take(int(r.uint(2))))
		m.From = string(r.take(int(r.uint(2))))
		if m.Op < OpSubmit || m.Op > OpConfigStatus {
			return nil, errFrame
		}
	case PeerResponse:
		m.Status = uint16(r.uint(2))
		m.RetryAfter = Micros(r.uint(8))
		if m.RetryAfter < 0 {
			return nil, errFrame
		}
	case PeerStatusRequest:
		m.Epoch = r.uint(8)
		m.From = string(r.take(int(r.uint(2))))
	case PeerStatus:
		m.AnswersWorkers, m.AnsweredAgo, m.RedirectedWorkers = r.flag(), Micros(r.uint(8)), uint32(r.uint(4))
		if m.AnsweredAgo < 0 {
			return nil, errFrame
		}
	case PeerHeartbeat:
		m.ReturnedFromLeader = r.flag()
	case PeerConfigGrant, PeerConfigAck:
		if m.Kind == PeerConfigGrant {
			m.Epoch = r.uint(8)
			m.From = string(r.take(int(r.uint(2))))
		}
		m.Revision, m.Incarnation, m.At = r.uint(8), r.uint(8), Micros(r.uint(8))
		if m.At < 0 {
			return nil, errFrame
		}
	case PeerFeatureRequest:
		m.From = string(r.take(int(r.uint(2))))
	case PeerFeatureRange:
		if m.MinLevel, m.MaxLevel = r.uint(8), r.uint(8); m.MinLevel > m.MaxLevel {
			return nil, errFrame
		}
	case PeerWorkerProbe:
		m.Addr = string(r.take(int(r.uint(2))))
	case PeerHealthCheck:
		m.Check = CheckKind(r.byte())
		m.Addr = string(r.take(int(r.uint(2))))
		m.Path = string(r.take(int(r.uint(2))))
		if m.Timeout = Micros(r.uint(8)); m.Check > CheckTCP || m.Timeout <= 0 || m.Timeout > 60*Second {
			return nil, errFrame
		}
	default:
		return nil, errFrame
	}
	m.Body = append([]byte(nil), r.take(int(r.uint(4)))...)
	if r.bad || len(r.b) != 0 || len(m.Body) > MaxPeerBody {
		return nil, errFrame
	}
	return m, nil
}

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
