package requestbody_test

import (
	"bytes"
	"io"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/requestbody"
)

// counter counts how often a body's memory was given back.
type counter int

func (ct *counter) Release() { *ct++ }

// TestBlocksAreReusedWhileTheyAreRead guards against an upstream that gets parts of another caller's body, since a request has ended while its body
// was still being sent, and against memory that is given back twice.
func TestBlocksAreReusedWhileTheyAreRead(t *testing.T) {
	freed := counter(0)
	bd := requestbody.New(&freed)
	for _, letter := range []byte("ab") {
		block := requestbody.NewBlock(requestbody.BlockBytes)
		copy(block, bytes.Repeat([]byte{letter}, len(block)))
		bd.Append(block)
	}
	first, err := bd.Open()
	must.NoError(t, err)
	second, err := bd.Open()
	must.NoError(t, err)
	bd.Release()
	bd.Release()
	_, err = bd.Open()
	must.ErrorIs(t, err, requestbody.ErrReleased)
	must.NoError(t, first.Close())
	must.NoError(t, first.Close())
	must.Eq(t, 0, int(freed))
	content, err := io.ReadAll(second)
	must.NoError(t, err)
	must.True(t, bytes.Equal(content, append(bytes.Repeat([]byte("a"), requestbody.BlockBytes), bytes.Repeat([]byte("b"), requestbody.BlockBytes)...)))
	must.NoError(t, second.Close())
	must.Eq(t, 1, int(freed))
	_, err = second.Read(make([]byte, 1))
	must.ErrorIs(t, err, requestbody.ErrReleased)
}

// TestContentOfOthersIsNotReused guards against memory of a body that was not taken from the blocks and is overwritten by another request.
func TestContentOfOthersIsNotReused(t *testing.T) {
	content := bytes.Repeat([]byte("a"), requestbody.BlockBytes)
	requestbody.Of(content).Release()
	copy(requestbody.NewBlock(requestbody.BlockBytes), "b")
	must.Eq(t, byte('a'), content[0])
}

// TestNoBody guards against requests without a body that end the process.
func TestNoBody(t *testing.T) {
	bd := (*requestbody.Body)(nil)
	bd.Release()
	must.Eq(t, int64(0), bd.Len())
	must.SliceEmpty(t, bd.Blocks())
}
