package journaler

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/go-faster/errors"
)

// MaxBatchBytes is the maximum payload of a frame in bytes.
const MaxBatchBytes = 64 << 20

// A log starts with a header: magic, generation, salt, checksum. Frames follow: salt, length, checksum, payload.
// The salt differs in each file, so that record content can't be taken for a frame.
const (
	logMagic          = "rwjourn1"
	logHeaderBytes    = 24
	frameHeaderBytes  = 12
	lengthPrefixBytes = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func encodeHeader(gen uint64, salt uint32) []byte {
	b := []byte(logMagic)
	b = binary.BigEndian.AppendUint64(b, gen)
	b = binary.BigEndian.AppendUint32(b, salt)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func decodeHeader(b []byte, gen uint64) (salt uint32, err error) {
	switch {
	case len(b) < logHeaderBytes:
		return 0, errors.New("header is truncated")
	case string(b[:8]) != logMagic:
		return 0, errors.New("not a journal of this format")
	case binary.BigEndian.Uint32(b[20:]) != crc32.Checksum(b[:20], castagnoli):
		return 0, errors.New("header checksum mismatch")
	case binary.BigEndian.Uint64(b[8:]) != gen:
		return 0, errors.Errorf("header has generation %d", binary.BigEndian.Uint64(b[8:]))
	}
	return binary.BigEndian.Uint32(b[16:]), nil
}

func encodeFrame(salt uint32, records [][]byte) ([]byte, error) {
	n := 0
	for _, r := range records {
		n += lengthPrefixBytes + len(r)
	}
	if n > MaxBatchBytes {
		return nil, &SizeError{Bytes: n}
	}
	b := make([]byte, frameHeaderBytes, frameHeaderBytes+n)
	for _, r := range records {
		b = binary.BigEndian.AppendUint32(b, uint32(len(r)))
		b = append(b, r...)
	}
	binary.BigEndian.PutUint32(b, salt)
	binary.BigEndian.PutUint32(b[4:], uint32(n))
	binary.BigEndian.PutUint32(b[8:], frameChecksum(b))
	return b, nil
}

// frameChecksum returns the checksum over the salt, the length and the payload of a frame.
func frameChecksum(frame []byte) uint32 {
	return crc32.Update(crc32.Checksum(frame[:8], castagnoli), castagnoli, frame[frameHeaderBytes:])
}

// frameAt returns the frame at the start of b, or nil if there is no valid one.
func frameAt(b []byte, salt uint32) []byte {
	if len(b) < frameHeaderBytes || binary.BigEndian.Uint32(b) != salt {
		return nil
	}
	n := int64(binary.BigEndian.Uint32(b[4:]))
	if n > MaxBatchBytes || n > int64(len(b)-frameHeaderBytes) {
		return nil
	}
	frame := b[:frameHeaderBytes+n]
	if binary.BigEndian.Uint32(b[8:]) != frameChecksum(frame) {
		return nil
	}
	return frame
}

func splitRecords(payload []byte) ([][]byte, error) {
	var records [][]byte
	for len(payload) > 0 {
		if len(payload) < lengthPrefixBytes {
			return nil, errors.New("record length is truncated")
		}
		n := int64(binary.BigEndian.Uint32(payload))
		payload = payload[lengthPrefixBytes:]
		if n > int64(len(payload)) {
			return nil, errors.New("record is longer than its frame")
		}
		records = append(records, payload[:n:n])
		payload = payload[n:]
	}
	return records, nil
}

// scan returns the records of a log and the offset at which its valid part ends. The rest is a torn write, unless it
// contains another valid frame: then the log is damaged.
func scan(name string, b []byte, gen uint64) (records [][]byte, salt uint32, end int64, err error) {
	salt, err = decodeHeader(b, gen)
	if err != nil {
		return nil, 0, 0, &DamageError{File: name, Reason: err.Error()}
	}
	offset := logHeaderBytes
	for offset < len(b) {
		frame := frameAt(b[offset:], salt)
		if frame == nil {
			break
		}
		rs, err := splitRecords(frame[frameHeaderBytes:])
		if err != nil {
			return nil, 0, 0, &DamageError{File: name, Offset: int64(offset), Reason: err.Error()}
		}
		records = append(records, rs...)
		offset += len(frame)
	}
	if next := findFrame(b, offset+1, salt); next >= 0 {
		return nil, 0, 0, &DamageError{
			File: name, Offset: int64(offset), Reason: errors.Errorf("a valid frame follows at offset %d", next).Error(),
		}
	}
	return records, salt, int64(offset), nil
}

// findFrame returns the offset of the next valid frame at or after from, or -1.
func findFrame(b []byte, from int, salt uint32) int {
	saltBytes := binary.BigEndian.AppendUint32(nil, salt)
	for from < len(b) {
		i := bytes.Index(b[from:], saltBytes)
		if i < 0 {
			return -1
		}
		if frameAt(b[from+i:], salt) != nil {
			return from + i
		}
		from += i + 1
	}
	return -1
}
