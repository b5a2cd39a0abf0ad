package durable

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// A snapshot file is one record. It consists of the magic string, three big-endian uint64s (the revision, the length of
// the data, and the xxhash64 of the 8 bytes of the revision and the data), and the data.
const (
	recordMagic    = "HVSNAP1\n"
	revisionOffset = len(recordMagic)
	lengthOffset   = revisionOffset + 8
	checksumOffset = lengthOffset + 8
	headerSize     = checksumOffset + 8
)

// Damage describes a file that is truncated, partly written or does not match its checksum. It implements error.
type Damage struct {
	File   string `json:"file"`
	Offset int64  `json:"offset"` // offset of the first byte that may be wrong
	Reason string `json:"reason"`
}

// Error implements error.
func (d Damage) Error() string { return fmt.Sprintf("%s at byte %d: %s", d.File, d.Offset, d.Reason) }

func encodeRecord(revision int64, data []byte) []byte {
	record := make([]byte, headerSize, headerSize+len(data))
	copy(record, recordMagic)
	binary.BigEndian.PutUint64(record[revisionOffset:], uint64(revision))
	binary.BigEndian.PutUint64(record[lengthOffset:], uint64(len(data)))
	binary.BigEndian.PutUint64(record[checksumOffset:], checksum(revision, data))
	return append(record, data...)
}

// decodeRecord returns the data of a snapshot file's record. If it fails, the error is a Damage.
func decodeRecord(file string, record []byte) ([]byte, error) {
	if len(record) < headerSize || string(record[:len(recordMagic)]) != recordMagic {
		reason := fmt.Sprintf("the header is missing or incomplete (the file has %d bytes)", len(record))
		return nil, Damage{File: file, Offset: 0, Reason: reason}
	}
	revision := int64(binary.BigEndian.Uint64(record[revisionOffset:]))
	length := binary.BigEndian.Uint64(record[lengthOffset:])
	data := record[headerSize:]
	if uint64(len(data)) != length {
		reason := fmt.Sprintf("the file has %d bytes of data, but its header says %d", len(data), length)
		return nil, Damage{File: file, Offset: int64(len(record)), Reason: reason}
	}
	if checksum(revision, data) != binary.BigEndian.Uint64(record[checksumOffset:]) {
		return nil, Damage{File: file, Offset: int64(headerSize), Reason: "the record does not match its xxhash64 checksum"}
	}
	return data, nil
}

func checksum(revision int64, data []byte) uint64 {
	digest := xxhash.New()
	digest.Write(binary.BigEndian.AppendUint64(nil, uint64(revision)))
	digest.Write(data)
	return digest.Sum64()
}
