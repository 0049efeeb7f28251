package record

import (
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"parsleyrelay.example/core/keyspace"
	"parsleyrelay.example/core/resource"
)

// Guards against a panic on data that is not a record, and against a kind or a field that
// Marshal encodes but Unmarshal does not decode.
func TestCodec(t *testing.T) {
	keyRange := keyspace.Range{First: 1, Last: 1<<64 - 1}
	for _, body := range []Body{
		ResourcePut{Resource: resource.Resource{Name: "r", Version: 3, Spec: &resource.Rank{Level: 1, FloorPercent: 5}}, ExpectedVersion: 2, ChangeID: "c"},
		ResourceDelete{Key: resource.Key{Kind: resource.KindServer, Name: "s"}, ExpectedVersion: 4, ChangeID: "c"},
		HostJoined{Host: "h", Incarnation: "i", Zone: "z", PeerURL: "u"}, HostLeft{Incarnation: "i", Reason: LeaveLost},
		WitnessProposed{Scope: "zone:a", Epoch: 5, Members: []string{"i", "j"}}, WitnessActivated{Scope: "all", Epoch: 6},
		WitnessReset{Scope: "all", Epoch: 7, Members: []string{"i"}, Reason: "lost"},
		HomeAssigned{Server: "s", PreviousTerm: 8, HomeIncarnation: "i", Handover: true},
		SlicesPlaced{Service: "v", Slices: []SlicePlacement{{Range: keyRange, Server: "s"}}},
		SlicesMoved{Service: "v", Released: true, Moves: []SliceMove{{Range: keyRange, Generation: 9, From: "s", To: "t", FromTerm: 10}}},
		SliceSplit{Service: "v", Range: keyRange, Generation: 11, SplitPoints: []uint64{2, 1 << 63}},
		SliceMerged{Service: "v", Range: keyRange, Generation: 12},
		CheckpointPart{BaseOffset: 13, PartIndex: 1, PartCount: 2, Digest: "d", Payload: []byte{0, 255}},
	} {
		fields := reflect.ValueOf(body)
		for i := range fields.NumField() {
			require.False(t, fields.Field(i).IsZero(), "%T.%s is not tested", body, fields.Type().Field(i).Name)
		}
		want := Record{ID: "id", Proposer: "p", WallTimeMS: 1, Body: body}
		data, err := Marshal(want)
		require.NoError(t, err)
		got, err := Unmarshal(data)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	_, err := Marshal(Record{})
	require.Error(t, err)
	_, err = Unmarshal([]byte(`{"kind":"later"}`))
	var unknown *UnknownKindError
	require.ErrorAs(t, err, &unknown)
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]string{"resource_put", "slices_moved", "checkpoint_part", "x"}).Draw(t, "kind")
		body := rapid.SampledFrom([]string{"", `,"body":null`, `,"body":{}`, `,"body":{"resource":null}`, `,"body":{"moves":[null]}`}).Draw(t, "body")
		_, _ = Unmarshal([]byte(`{"kind":"` + kind + `"` + body + "}"))
		_, _ = Unmarshal(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
	})
}
