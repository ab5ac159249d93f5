package readlimit_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/readlimit"
)

// limit is the limit of the reads below, in bytes.
const limit = 64

// zeros is an answer without end.
type zeros struct{}

func (zeros) Read(part []byte) (int, error) {
	clear(part)
	return len(part), nil
}

func assertExceeded(t *testing.T, err error) {
	t.Helper()
	exceeded := readlimit.Exceeded{}
	must.True(t, errors.As(err, &exceeded))
	must.Eq(t, limit, exceeded.Limit)
}

func TestAll(t *testing.T) {
	t.Run("an answer as long as the limit is whole", func(t *testing.T) {
		content, err := readlimit.All(strings.NewReader(strings.Repeat("x", limit)), limit)
		must.NoError(t, err)
		must.Eq(t, strings.Repeat("x", limit), string(content))
		must.NoError(t, readlimit.Discard(bytes.NewReader(content), limit))
	})
	t.Run("an answer without end is an error", func(t *testing.T) {
		content, err := readlimit.All(zeros{}, limit)
		must.Nil(t, content)
		assertExceeded(t, err)
		assertExceeded(t, readlimit.Discard(zeros{}, limit))
	})
	t.Run("an answer that breaks off is an error", func(t *testing.T) {
		broken := func() io.Reader { return iotest.ErrReader(io.ErrUnexpectedEOF) }
		content, err := readlimit.All(broken(), limit)
		must.Nil(t, content)
		must.ErrorIs(t, err, io.ErrUnexpectedEOF)
		must.ErrorIs(t, readlimit.Discard(broken(), limit), io.ErrUnexpectedEOF)
	})
}

func TestReader(t *testing.T) {
	t.Run("an answer as long as the limit is whole", func(t *testing.T) {
		content, err := io.ReadAll(readlimit.NewReader(strings.NewReader(strings.Repeat("x", limit)), limit))
		must.NoError(t, err)
		must.Len(t, limit, content)
	})
	t.Run("an answer without end is an error after the limit", func(t *testing.T) {
		content, err := io.ReadAll(readlimit.NewReader(zeros{}, limit))
		must.Len(t, limit, content)
		assertExceeded(t, err)
	})
}
