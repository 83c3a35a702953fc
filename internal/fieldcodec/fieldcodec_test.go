package fieldcodec

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"
)

type inner struct {
	Name string
	N    uint64
}

func (m *inner) fields(f *Fields) {
	f.String(1, &m.Name)
	Uint(f, 2, &m.N)
}

type outer struct {
	Number uint64
	Small  uint8
	Limit  int64
	Signed int64
	Flag   bool
	Text   string
	Texts  []string
	Copied []byte
	Shared []byte
	One    inner
	Many   []inner
}

var errTooMany = errors.New("too many")

func (m *outer) fields(f *Fields) {
	Uint(f, 1, &m.Number)
	UintUpTo(f, 2, &m.Small, 200)
	IntUpTo(f, 3, &m.Limit, 1<<40)
	f.ZigZag(4, &m.Signed, 1<<40)
	f.Bool(5, &m.Flag)
	f.String(6, &m.Text)
	f.Strings(7, &m.Texts)
	f.Copied(8, &m.Copied)
	f.Shared(9, &m.Shared)
	Message(f, 10, &m.One, (*inner).fields)
	Messages(f, 11, &m.Many, 5, errTooMany, (*inner).fields)
}

func (m *outer) encode() []byte {
	f := Encode(nil)
	m.fields(&f)
	return f.Bytes()
}

func decodeOuter(b []byte) (m outer, err error) {
	f := Decode(b)
	for f.Next() {
		m.fields(&f)
	}
	return m, f.Err()
}

// Decoding an encoded message gives the same values, also if the length of a nested message takes several bytes.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		long := func(length int) string { return strings.Repeat("x", length) }
		names := rapid.SampledFrom([]string{"", "n1", long(126), long(127), long(20_000)})
		m := outer{
			Number: rapid.Uint64().Draw(rt, "number"),
			Small:  rapid.Uint8Range(0, 200).Draw(rt, "small"),
			Limit:  rapid.Int64Range(0, 1<<40).Draw(rt, "limit"),
			Signed: rapid.Int64Range(-1<<40, 1<<40).Draw(rt, "signed"),
			Flag:   rapid.Bool().Draw(rt, "flag"),
			Text:   names.Draw(rt, "text"),
			One:    inner{names.Draw(rt, "name"), 1 << 50},
		}
		for range rapid.IntRange(0, 5).Draw(rt, "many") {
			m.Many = append(m.Many, inner{names.Draw(rt, "names"), rapid.Uint64().Draw(rt, "n")})
		}
		if rapid.Bool().Draw(rt, "lists") {
			m.Texts, m.Copied, m.Shared = []string{"a", "b"}, []byte{1}, []byte{2, 3}
		}
		got, err := decodeOuter(m.encode())
		require.NoError(t, err)
		require.Equal(t, m, got)
	})
}

func TestNumbersOutOfRange(t *testing.T) {
	f := Encode(nil)
	f.AppendUint(2, 255)
	f.AppendUint(3, 1<<63)
	f.AppendUint(4, protowire.EncodeZigZag(-1<<60))
	m, err := decodeOuter(f.Bytes())
	require.NoError(t, err)
	assert.Equal(t, outer{Small: 200, Limit: 1 << 40, Signed: -1 << 40}, m)
	assert.Equal(t, (&outer{}).encode(), (&outer{Limit: -1}).encode(), "a negative number is encoded as zero")
}

func TestUnknownFieldsAreSkipped(t *testing.T) {
	b := protowire.AppendFixed32(protowire.AppendTag(nil, 90, protowire.Fixed32Type), 7)
	b = protowire.AppendVarint(protowire.AppendTag(b, 91, protowire.VarintType), 7)
	b = append(b, (&outer{Number: 5}).encode()...)
	m, err := decodeOuter(b)
	require.NoError(t, err)
	assert.Equal(t, uint64(5), m.Number)
}

func TestErrors(t *testing.T) {
	whole := (&outer{Text: "text", Many: []inner{{"a", 1}}}).encode()
	for n := range whole {
		if _, err := decodeOuter(whole[:n]); err != nil {
			assert.ErrorIs(t, err, ErrMalformed)
		}
	}
	_, err := decodeOuter([]byte{0x5a, 1, 0xff}) // the nested message is malformed
	assert.ErrorIs(t, err, ErrMalformed)
	_, err = decodeOuter((&outer{Many: make([]inner, 6)}).encode())
	assert.ErrorIs(t, err, errTooMany)
}

// Decoded bytes are a copy for a Copied field, and part of the input for a Shared field.
func TestCopiedAndShared(t *testing.T) {
	b := (&outer{Copied: []byte{1}, Shared: []byte{2}}).encode()
	m, err := decodeOuter(b)
	require.NoError(t, err)
	clear(b)
	assert.Equal(t, []byte{1}, m.Copied)
	assert.Equal(t, []byte{0}, m.Shared)
}

// Encoding and decoding a message without nested messages allocates only the output and the decoded strings.
func TestAllocations(t *testing.T) {
	m := inner{"n1", 1 << 50}
	b := make([]byte, 0, 64)
	assert.Zero(t, testing.AllocsPerRun(100, func() {
		f := Encode(b)
		m.fields(&f)
		b = f.Bytes()[:0]
	}))
	f := Encode(nil)
	(&inner{N: 5}).fields(&f)
	encoded := f.Bytes()
	assert.Zero(t, testing.AllocsPerRun(100, func() {
		var got inner
		f := Decode(encoded)
		for f.Next() {
			got.fields(&f)
		}
	}))
}
