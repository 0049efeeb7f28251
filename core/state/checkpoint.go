package state

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/resource"
)

// MaxCheckpointPartBytes limits the payload of one part. The payload is written as base64
// into a JSON record, which then stays under 64 KiB.
const MaxCheckpointPartBytes = 48_000

// checkpointFormat is the version of the encoding. A daemon refuses checkpoints of other
// versions. An encoded checkpoint consists of the length of the header, the header as JSON,
// and one row of variable-length integers per slice.
const checkpointFormat = 1

// checkpointHeader holds everything but the slices. It is encoded as JSON because
// resources already have a JSON codec and the output of encoding/json is the same in every
// process; that of encoding/gob is not, since it numbers types in the order of their first
// use. Slices are encoded as binary rows, since JSON would make them about ten times as
// large.
type checkpointHeader struct {
	Format         int                   `json:"format"`
	AppliedOffset  uint64                `json:"applied"`
	Resources      []resource.Resource   `json:"resources"`
	Changes        []checkpointChange    `json:"changes"`
	Members        []Member              `json:"members"`
	Removals       []removal             `json:"departed"`
	RefusedChanges []string              `json:"refusals"`
	WitnessSets    map[string]WitnessSet `json:"witnesses"`
	Homes          map[string]Home       `json:"homes"`
	Servers        []string              `json:"servers"` // rows refer to them by index
	Origins        []Origin              `json:"origins"` // rows refer to them by index
	Tables         []checkpointTable     `json:"tables"`
}

type checkpointChange struct {
	Key resource.Key `json:"key"`
	IDs changeIDs    `json:"ids"`
}

type checkpointTable struct {
	Service    string `json:"service"`
	SliceCount int    `json:"slices"`
}

// ErrBadCheckpoint reports a checkpoint that cannot be decoded or whose digest does not
// match.
var ErrBadCheckpoint = errors.New("bad checkpoint")

// EncodeCheckpoint returns the encoded state in parts of at most MaxCheckpointPartBytes
// and the digest of their concatenation. Equal states have equal parts.
func EncodeCheckpoint(s *State) (parts [][]byte, digest string) {
	data := s.encodeCheckpoint()
	for part := range slices.Chunk(data, MaxCheckpointPartBytes) {
		parts = append(parts, part)
	}
	return parts, checkpointDigest(data)
}

func checkpointDigest(data []byte) string {
	return strconv.FormatUint(xxhash.Sum64(data), 16)
}

func (s *State) encodeCheckpoint() []byte {
	header := checkpointHeader{
		Format:         checkpointFormat,
		AppliedOffset:  s.appliedOffset,
		Members:        s.Members(),
		WitnessSets:    s.witnessSets,
		Homes:          s.homes,
		Removals:       append([]removal(nil), s.removals.queue...), // nil if empty, as nil and empty slices differ in JSON
		RefusedChanges: append([]string(nil), s.refusedChanges.queue...),
	}
	for _, key := range slices.SortedFunc(maps.Keys(s.resources), compareKeys) {
		header.Resources = append(header.Resources, s.resources[key])
	}
	for _, key := range slices.SortedFunc(maps.Keys(s.changes), compareKeys) {
		header.Changes = append(header.Changes, checkpointChange{Key: key, IDs: s.changes[key]})
	}
	var rows []byte
	encoder := newRowEncoder(&header)
	for _, service := range slices.Sorted(maps.Keys(s.tables)) {
		table := s.tables[service]
		header.Tables = append(header.Tables, checkpointTable{Service: service, SliceCount: table.Len()})
		rows = encoder.appendTable(rows, table)
	}
	headerJSON, err := json.Marshal(header)
	if err != nil {
		// Cannot happen: all fields are plain data that came from JSON records.
		panic(fmt.Sprintf("cannot encode checkpoint header: %v", err))
	}
	data := binary.AppendUvarint(nil, uint64(len(headerJSON)))
	data = append(data, headerJSON...)
	return append(data, rows...)
}

func compareKeys(a, b resource.Key) int {
	if c := compareStrings(string(a.Kind), string(b.Kind)); c != 0 {
		return c
	}
	return compareStrings(a.Name, b.Name)
}

// rowEncoder encodes slices as rows. Rows refer to servers and origins by their index in
// the header, in the order of their first use.
type rowEncoder struct {
	header        *checkpointHeader
	serverIndexes map[string]int
	originIndexes map[Origin]int
}

func newRowEncoder(header *checkpointHeader) *rowEncoder {
	return &rowEncoder{header: header, serverIndexes: map[string]int{}, originIndexes: map[Origin]int{}}
}

// appendTable appends one row per slice: the number of hashes in the range minus one, the
// indexes of server and origin, and the difference between its generation and that of the
// previous slice.
func (e *rowEncoder) appendTable(rows []byte, table *SliceTable) []byte {
	var generation uint64
	for slice := range table.All {
		rows = binary.AppendUvarint(rows, slice.Range.Last-slice.Range.First)
		rows = binary.AppendUvarint(rows, uint64(e.serverIndex(slice.Server)))
		rows = binary.AppendUvarint(rows, uint64(e.originIndex(slice)))
		rows = binary.AppendVarint(rows, int64(slice.Generation-generation))
		generation = slice.Generation
	}
	return rows
}

func (e *rowEncoder) serverIndex(name string) int {
	i, ok := e.serverIndexes[name]
	if !ok {
		i = len(e.serverIndexes)
		e.serverIndexes[name] = i
		e.header.Servers = append(e.header.Servers, name)
	}
	return i
}

func (e *rowEncoder) originIndex(slice *Slice) int {
	i, ok := e.originIndexes[*slice.Origin]
	if !ok {
		i = len(e.originIndexes)
		e.originIndexes[*slice.Origin] = i
		e.header.Origins = append(e.header.Origins, *slice.Origin)
	}
	return i
}

// DecodeCheckpoint returns the state that EncodeCheckpoint encoded. It returns an error
// that wraps ErrBadCheckpoint if the parts do not match the digest or are malformed.
func DecodeCheckpoint(parts [][]byte, digest string) (*State, error) {
	data := bytes.Join(parts, nil)
	if got := checkpointDigest(data); got != digest {
		return nil, fmt.Errorf("%w: digest is %s, want %s", ErrBadCheckpoint, got, digest)
	}
	length, n := binary.Uvarint(data)
	if n <= 0 || length > uint64(len(data)-n) {
		return nil, fmt.Errorf("%w: header is truncated", ErrBadCheckpoint)
	}
	headerJSON, rows := data[n:n+int(length)], data[n+int(length):]
	var header checkpointHeader
	if err := json.Unmarshal(headerJSON, &header); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadCheckpoint, err)
	}
	if header.Format != checkpointFormat {
		return nil, fmt.Errorf("%w: format %d is not supported", ErrBadCheckpoint, header.Format)
	}
	return header.decodeState(rows)
}

// decodeState builds the state from the header and the rows that follow it.
func (h *checkpointHeader) decodeState(rows []byte) (*State, error) {
	s := New()
	s.appliedOffset = h.AppliedOffset
	for _, r := range h.Resources {
		if r.Spec == nil {
			return nil, fmt.Errorf("%w: resource %q has no spec", ErrBadCheckpoint, r.Name)
		}
		s.resources[r.Key()] = r
	}
	for _, c := range h.Changes {
		s.changes[c.Key] = c.IDs
	}
	for _, m := range h.Members {
		s.members[m.Incarnation] = m
	}
	for _, removed := range h.Removals {
		s.removals.add(removed)
	}
	for _, id := range h.RefusedChanges {
		s.refusedChanges.add(id)
	}
	maps.Copy(s.witnessSets, h.WitnessSets)
	maps.Copy(s.homes, h.Homes)
	decoder := rowDecoder{rows: rows}
	for _, name := range h.Servers {
		decoder.owners = append(decoder.owners, s.interned.owner(name))
	}
	for _, origin := range h.Origins {
		decoder.origins = append(decoder.origins, s.interned.origin(origin))
	}
	for _, t := range h.Tables {
		list, err := decoder.decodeTable(t)
		if err != nil {
			return nil, err
		}
		s.tables[t.Service] = NewSliceTable(list)
		for i := range list {
			s.addOwnedSlice(list[i].Server, list[i].Range.First)
		}
	}
	if len(decoder.rows) > 0 {
		return nil, fmt.Errorf("%w: %d bytes follow the last slice", ErrBadCheckpoint, len(decoder.rows))
	}
	return s, nil
}

// minRowBytes is the smallest size of a row: one byte for each of its four integers.
const minRowBytes = 4

// rowDecoder decodes the rows that a rowEncoder encoded.
type rowDecoder struct {
	owners  []*Owner  // by index in the rows
	origins []*Origin // by index in the rows
	rows    []byte    // not decoded yet
	failed  bool      // an integer was malformed or missing
}

func (d *rowDecoder) decodeTable(table checkpointTable) ([]Slice, error) {
	if table.SliceCount < 1 || table.SliceCount > len(d.rows)/minRowBytes {
		return nil, fmt.Errorf("%w: %d slices of %s do not fit into %d bytes", ErrBadCheckpoint, table.SliceCount, table.Service, len(d.rows))
	}
	list := make([]Slice, table.SliceCount)
	var first, generation uint64
	for i := range list {
		width, server, origin := d.uvarint(), d.uvarint(), d.uvarint()
		generation += uint64(d.varint())
		last := first + width
		if d.failed || last < first || (last == math.MaxUint64) != (i == len(list)-1) ||
			server >= uint64(len(d.owners)) || origin >= uint64(len(d.origins)) {
			return nil, fmt.Errorf("%w: row of slice %d of %s is invalid", ErrBadCheckpoint, i, table.Service)
		}
		list[i] = Slice{
			Range: keyspace.Range{First: first, Last: last}, Generation: generation,
			Owner: d.owners[server], Origin: d.origins[origin],
		}
		first = last + 1
	}
	return list, nil
}

func (d *rowDecoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.rows)
	d.advance(n)
	return v
}

func (d *rowDecoder) varint() int64 {
	v, n := binary.Varint(d.rows)
	d.advance(n)
	return v
}

// advance skips the n bytes of an integer that was read; n is not positive if reading
// failed.
func (d *rowDecoder) advance(n int) {
	if n <= 0 {
		d.failed = true
		return
	}
	d.rows = d.rows[n:]
}
