package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// A record is: checksum (4 bytes, Castagnoli, over all that follows), payload
// length (4), batch number (8), kind (1), payload. Records written by one
// Append share a batch number, and the kind of the last one carries the flag
// batchEnd. An incomplete batch is discarded. A batch is written only after the
// one before it was synced.
const (
	headerSize     = 17
	maxRecordBytes = 64 << 20
)

// batchEnd is set in the kind of a batch's last record.
const batchEnd recordKind = 0x80

type recordKind byte

const (
	kindEntry     recordKind = 1
	kindHardState recordKind = 2
	kindSegment   recordKind = 3 // first record of a segment
	kindReset     recordKind = 4 // a snapshot replaced all entries before this record
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

type record struct {
	kind    recordKind
	batch   uint64
	payload []byte
	end     bool // last record of its batch
}

func appendRecord(buf []byte, r record) []byte {
	start := len(buf)
	buf = append(buf, 0, 0, 0, 0)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(r.payload)))
	buf = binary.LittleEndian.AppendUint64(buf, r.batch)
	buf = append(buf, byte(r.kind))
	buf = append(buf, r.payload...)
	setChecksum(buf[start:])
	return buf
}

func setChecksum(rec []byte) {
	binary.LittleEndian.PutUint32(rec, crc32.Checksum(rec[4:], castagnoliTable))
}

// endBatch marks the record at offset, the last one in buf, as the end of its
// batch.
func endBatch(buf []byte, offset int) []byte {
	buf[offset+16] |= byte(batchEnd)
	setChecksum(buf[offset:])
	return buf
}

// readBatch decodes the batch at the start of data. When ok is false, size is
// the length of the undamaged records before the first damaged one.
func readBatch(data []byte) (records []record, size int, ok bool) {
	for {
		r, n, valid := readRecord(data[size:])
		if !valid || len(records) > 0 && r.batch != records[0].batch {
			return nil, size, false
		}
		records = append(records, r)
		size += n
		if r.end {
			return records, size, true
		}
	}
}

// readRecord decodes the record at the start of data. ok is false when it is
// incomplete or damaged.
func readRecord(data []byte) (r record, size int, ok bool) {
	if len(data) < headerSize {
		return record{}, 0, false
	}
	length := binary.LittleEndian.Uint32(data[4:])
	if length > maxRecordBytes || int(length) > len(data)-headerSize {
		return record{}, 0, false
	}
	size = headerSize + int(length)
	if crc32.Checksum(data[4:size], castagnoliTable) != binary.LittleEndian.Uint32(data) {
		return record{}, 0, false
	}
	return record{
		kind:    recordKind(data[16]) &^ batchEnd,
		end:     recordKind(data[16])&batchEnd != 0,
		batch:   binary.LittleEndian.Uint64(data[8:]),
		payload: data[headerSize:size],
	}, size, true
}

// hasLaterBatch reports whether data contains, at any offset, an undamaged
// record of a batch after the given one. Such a record was written after the
// damaged one had been synced, so the damage is not a torn tail.
func hasLaterBatch(data []byte, batch uint64) bool {
	for i := 1; i+headerSize <= len(data); i++ {
		r, _, ok := readRecord(data[i:])
		if ok && r.batch > batch && r.kind >= kindEntry && r.kind <= kindReset {
			return true
		}
	}
	return false
}
