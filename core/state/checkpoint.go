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

// MaxCheckpointPartBytes bounds the payload of one part in bytes. A payload is
// written as base64 into a JSON record, which then stays under 64 KiB.
const MaxCheckpointPartBytes = 48_000

// checkpointFormat is the version of the encoding. A daemon refuses checkpoints
// of a format that it does not know.
const checkpointFormat = 1

// A checkpoint is a length, a JSON header and one row of variable-length integers
// per slice. JSON (encoding/json) writes the small parts, because resources have
// a JSON codec already and its output is the same in every process; that of
// encoding/gob is not, since it numbers types in the order of their first use.
// The rows use encoding/binary: JSON needs about ten times their size.
type checkpointHeader struct {
	Format    int                   `json:"format"`
	Applied   uint64                `json:"applied"`
	Resources []resource.Resource   `json:"resources"`
	Changes   []checkpointChange    `json:"changes"`
	Members   []Member              `json:"members"`
	Departed  []departure           `json:"departed"`
	Refusals  []string              `json:"refusals"`
	Witnesses map[string]WitnessSet `json:"witnesses"`
	Homes     map[string]Home       `json:"homes"`
	Servers   []string              `json:"servers"` // referred to by the rows
	Origins   []Origin              `json:"origins"` // referred to by the rows
	Tables    []checkpointTable     `json:"tables"`
}

type checkpointChange struct {
	Key resource.Key `json:"key"`
	IDs changeIDs    `json:"ids"`
}

type checkpointTable struct {
	Service string `json:"service"`
	Slices  int    `json:"slices"`
}

// ErrBadCheckpoint reports a checkpoint that does not decode or whose digest
// does not match.
var ErrBadCheckpoint = errors.New("bad checkpoint")

// EncodeCheckpoint returns the whole state in parts of at most MaxCheckpointPartBytes
// bytes and the digest of their concatenation. Equal states have equal parts.
func EncodeCheckpoint(s *State) (parts [][]byte, digest string) {
	data := s.encode()
	for part := range slices.Chunk(data, MaxCheckpointPartBytes) {
		parts = append(parts, part)
	}
	return parts, checkpointDigest(data)
}

func checkpointDigest(data []byte) string {
	return strconv.FormatUint(xxhash.Sum64(data), 16)
}

func (s *State) encode() []byte {
	header := checkpointHeader{
		Format:    checkpointFormat,
		Applied:   s.applied,
		Members:   s.Members(),
		Witnesses: s.witnesses,
		Homes:     s.homes,
		Departed:  append([]departure(nil), s.departed.queue...), // nil when empty
		Refusals:  append([]string(nil), s.refusals.queue...),
	}
	for _, key := range slices.SortedFunc(maps.Keys(s.resources), compareKeys) {
		header.Resources = append(header.Resources, s.resources[key])
	}
	for _, key := range slices.SortedFunc(maps.Keys(s.changes), compareKeys) {
		header.Changes = append(header.Changes, checkpointChange{Key: key, IDs: s.changes[key]})
	}
	var rows []byte
	refs := newCheckpointRefs(&header)
	for _, service := range slices.Sorted(maps.Keys(s.tables)) {
		table := s.tables[service]
		header.Tables = append(header.Tables, checkpointTable{Service: service, Slices: table.Len()})
		rows = refs.appendTable(rows, table)
	}
	text, err := json.Marshal(header)
	if err != nil {
		// All fields are plain data that was decoded from JSON before.
		panic(fmt.Sprintf("checkpoint header: %v", err))
	}
	data := binary.AppendUvarint(nil, uint64(len(text)))
	data = append(data, text...)
	return append(data, rows...)
}

func compareKeys(a, b resource.Key) int {
	if c := compareStrings(string(a.Kind), string(b.Kind)); c != 0 {
		return c
	}
	return compareStrings(a.Name, b.Name)
}

// checkpointRefs numbers the strings of rows in the order of their first use.
type checkpointRefs struct {
	header  *checkpointHeader
	servers map[string]int
	origins map[Origin]int
}

func newCheckpointRefs(header *checkpointHeader) *checkpointRefs {
	return &checkpointRefs{header: header, servers: map[string]int{}, origins: map[Origin]int{}}
}

// appendTable appends a row per slice: width of the range minus one, server,
// origin, and generation as difference to the slice before.
func (c *checkpointRefs) appendTable(rows []byte, table *SliceTable) []byte {
	var generation uint64
	for slice := range table.All {
		rows = binary.AppendUvarint(rows, slice.Range.Last-slice.Range.First)
		rows = binary.AppendUvarint(rows, uint64(c.server(slice.Server)))
		rows = binary.AppendUvarint(rows, uint64(c.origin(slice)))
		rows = binary.AppendVarint(rows, int64(slice.Generation-generation))
		generation = slice.Generation
	}
	return rows
}

func (c *checkpointRefs) server(name string) int {
	i, ok := c.servers[name]
	if !ok {
		i = len(c.servers)
		c.servers[name] = i
		c.header.Servers = append(c.header.Servers, name)
	}
	return i
}

func (c *checkpointRefs) origin(slice *Slice) int {
	i, ok := c.origins[*slice.Origin]
	if !ok {
		i = len(c.origins)
		c.origins[*slice.Origin] = i
		c.header.Origins = append(c.header.Origins, *slice.Origin)
	}
	return i
}

// DecodeCheckpoint decodes a checkpoint. It returns an error that wraps ErrBadCheckpoint
// when the parts do not have the digest or do not describe a state.
func DecodeCheckpoint(parts [][]byte, digest string) (*State, error) {
	data := bytes.Join(parts, nil)
	if got := checkpointDigest(data); got != digest {
		return nil, fmt.Errorf("%w: digest is %s, want %s", ErrBadCheckpoint, got, digest)
	}
	length, n := binary.Uvarint(data)
	if n <= 0 || length > uint64(len(data)-n) {
		return nil, fmt.Errorf("%w: header is cut off", ErrBadCheckpoint)
	}
	text, rows := data[n:n+int(length)], data[n+int(length):]
	var header checkpointHeader
	if err := json.Unmarshal(text, &header); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadCheckpoint, err)
	}
	if header.Format != checkpointFormat {
		return nil, fmt.Errorf("%w: format %d is unknown", ErrBadCheckpoint, header.Format)
	}
	return header.state(rows)
}

func (h *checkpointHeader) state(rows []byte) (*State, error) {
	s := New()
	s.applied = h.Applied
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
	for _, x := range h.Departed {
		s.departed.add(x)
	}
	for _, id := range h.Refusals {
		s.refusals.add(id)
	}
	maps.Copy(s.witnesses, h.Witnesses)
	maps.Copy(s.homes, h.Homes)
	reader := rowReader{rows: rows}
	for _, name := range h.Servers {
		reader.owners = append(reader.owners, s.intern.owner(name))
	}
	for _, origin := range h.Origins {
		reader.origins = append(reader.origins, s.intern.origin(origin))
	}
	for _, t := range h.Tables {
		list, err := reader.table(t)
		if err != nil {
			return nil, err
		}
		s.tables[t.Service] = NewSliceTable(list)
		for i := range list {
			s.own(list[i].Server, list[i].Range.First)
		}
	}
	if len(reader.rows) > 0 {
		return nil, fmt.Errorf("%w: %d bytes follow the last slice", ErrBadCheckpoint, len(reader.rows))
	}
	return s, nil
}

// minRowSize is the least number of bytes of a row: one per column.
const minRowSize = 4

type rowReader struct {
	owners  []*Owner
	origins []*Origin
	rows    []byte
	failed  bool
}

func (r *rowReader) table(t checkpointTable) ([]Slice, error) {
	if t.Slices < 1 || t.Slices > len(r.rows)/minRowSize {
		return nil, fmt.Errorf("%w: %d slices of %s do not fit into %d bytes", ErrBadCheckpoint, t.Slices, t.Service, len(r.rows))
	}
	list := make([]Slice, t.Slices)
	var first, generation uint64
	for i := range list {
		width, server, origin := r.uvarint(), r.uvarint(), r.uvarint()
		generation += uint64(r.varint())
		last := first + width
		if r.failed || last < first || (last == math.MaxUint64) != (i == len(list)-1) ||
			server >= uint64(len(r.owners)) || origin >= uint64(len(r.origins)) {
			return nil, fmt.Errorf("%w: slice %d of %s", ErrBadCheckpoint, i, t.Service)
		}
		list[i] = Slice{
			Range: keyspace.Range{First: first, Last: last}, Generation: generation,
			Owner: r.owners[server], Origin: r.origins[origin],
		}
		first = last + 1
	}
	return list, nil
}

func (r *rowReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rows)
	r.skip(n)
	return v
}

func (r *rowReader) varint() int64 {
	v, n := binary.Varint(r.rows)
	r.skip(n)
	return v
}

func (r *rowReader) skip(n int) {
	if n <= 0 {
		r.failed = true
		return
	}
	r.rows = r.rows[n:]
}
