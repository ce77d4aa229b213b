package speed

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"time"
)

// record is what is kept of a worker that is not in the table, and what is stored of each.
type record struct {
	z, sd, weight float32
	samples       int
	// started is the end of the start time of the incarnation, which tells it from others.
	started uint32
	order   uint64 // as in Table.keptAt
}

// record returns what is to be kept of the worker.
func (w *worker) record(now time.Duration) record {
	z, sd, weight := w.summary(now)
	return record{z: z, sd: sd, weight: weight, samples: w.samples, started: uint32(w.StartedMs)} //nolint:gosec // only its end
}

// restore applies a record. That of an earlier incarnation has little weight.
func (w *worker) restore(r record, now time.Duration) {
	if r.weight <= 0 {
		return
	}
	weight := min(r.weight, maxRestored)
	if r.started != uint32(w.StartedMs) { //nolint:gosec // only its end
		weight = min(weight, rebornWeight)
	}
	w.ring, w.used, w.next = [ringSize]entry{}, 0, 0
	samples := max(w.samples, r.samples)
	w.put(entry{z: r.z, sd: r.sd, weight: weight, at: uint32(max(now, 0) / tick), task: -1}) //nolint:gosec // as in compare
	w.samples = samples
}

// The encoding of a shard: a version, the number of records, the records by ascending key, and a checksum.
const (
	codecVersion = 1
	headSize     = 3
	recordSize   = 18
	sumSize      = 4
	zScale       = 1000
	sdScale      = 100
	weightScale  = 50
	maxZ         = 30
)

var errMalformed = errors.New("malformed state of worker speeds")

// appendRecord appends the encoding of a record.
func appendRecord(out []byte, key uint64, r record) []byte {
	scaled := func(x float32, scale, least, most float64) float64 {
		return min(max(math.Round(float64(x)*scale), least), most)
	}
	out = binary.LittleEndian.AppendUint64(out, key)
	out = binary.LittleEndian.AppendUint16(out, uint16(int16(scaled(r.z, zScale, -maxZ*zScale, maxZ*zScale)))) //nolint:gosec // the bits
	out = append(out, byte(scaled(r.sd, sdScale, 1, maxSd*sdScale)), byte(scaled(r.weight, weightScale, 1, maxRestored*weightScale)))
	out = binary.LittleEndian.AppendUint16(out, uint16(min(max(r.samples, 1), math.MaxUint16))) //nolint:gosec // bounded
	return binary.LittleEndian.AppendUint32(out, r.started)
}

// decodeRecord decodes what appendRecord has appended.
func decodeRecord(b []byte) (key uint64, r record, err error) {
	key = binary.LittleEndian.Uint64(b)
	r = record{
		z:  float32(int16(binary.LittleEndian.Uint16(b[8:]))) / zScale, //nolint:gosec // the bits
		sd: float32(b[10]) / sdScale, weight: float32(b[11]) / weightScale,
		samples: int(binary.LittleEndian.Uint16(b[12:])), started: binary.LittleEndian.Uint32(b[14:]),
	}
	if r.z < -maxZ || r.z > maxZ || b[10] == 0 || r.sd > maxSd || b[11] == 0 || r.weight > maxRestored || r.samples == 0 {
		return key, r, fmt.Errorf("record of %x: %w", key, errMalformed)
	}
	return key, r, nil
}

// seal appends the checksum.
func seal(out []byte) []byte {
	return binary.LittleEndian.AppendUint32(out, crc32.ChecksumIEEE(out))
}

// unseal checks the encoding of a shard and returns the encoded records.
func unseal(data []byte) ([]byte, error) {
	if len(data) < headSize+sumSize {
		return nil, fmt.Errorf("%d bytes: %w", len(data), errMalformed)
	}
	body := data[:len(data)-sumSize]
	if data[0] != codecVersion || crc32.ChecksumIEEE(body) != binary.LittleEndian.Uint32(data[len(body):]) {
		return nil, fmt.Errorf("version or checksum: %w", errMalformed)
	}
	n := int(binary.LittleEndian.Uint16(data[1:]))
	if n > maxShardWorkers || len(body) != headSize+n*recordSize {
		return nil, fmt.Errorf("%d records in %d bytes: %w", n, len(data), errMalformed)
	}
	return body[headSize:], nil
}
