package record

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a panic on data that is not a record, and against a kind that Marshal
// encodes but Unmarshal does not decode. ResourcePut is not in the list, since a resource
// without a spec cannot be encoded.
func TestCodec(t *testing.T) {
	for _, body := range []Body{
		ResourceDelete{}, HostJoined{}, HostLeft{}, WitnessProposed{}, WitnessActivated{}, WitnessReset{},
		HomeAssigned{}, SlicesPlaced{}, SlicesMoved{}, SliceSplit{}, SliceMerged{}, CheckpointPart{},
	} {
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
