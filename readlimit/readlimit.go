package readlimit

import (
	"errors"
	"fmt"
	"io"
	"net"
)

// Exceeded reports that an answer was longer than its limit, in bytes.
type Exceeded struct {
	Limit int64
}

// Error returns a message with the limit.
func (ex Exceeded) Error() string {
	return fmt.Sprintf("answer exceeds the limit of %d bytes", ex.Limit)
}

// All reads an answer completely. The error is Exceeded if the answer is longer than limit bytes; the part of it that was
// read is not returned.
func All(answer io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(answer, limit+1))
	switch {
	case err != nil:
		return nil, err
	case int64(len(content)) > limit:
		return nil, Exceeded{Limit: limit}
	}
	return content, nil
}

// Discard reads an answer completely and keeps nothing of it. The error is Exceeded if it is longer than limit bytes.
func Discard(answer io.Reader, limit int64) error {
	_, err := io.CopyN(io.Discard, answer, limit+1)
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return err
	}
	return Exceeded{Limit: limit}
}

// BrokeOff reports whether err means that an answer ended early, with its connection.
func BrokeOff(err error) bool {
	lost := &net.OpError{}
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &lost) && !lost.Timeout()
}

// NewReader returns a reader of an answer that fails with Exceeded after limit bytes.
func NewReader(answer io.Reader, limit int64) io.Reader {
	return &limitedReader{answer: answer, limit: limit, left: limit}
}

type limitedReader struct {
	answer      io.Reader
	limit, left int64
}

func (lr *limitedReader) Read(part []byte) (int, error) {
	if int64(len(part)) > lr.left+1 {
		part = part[:lr.left+1]
	}
	count, err := lr.answer.Read(part)
	lr.left -= int64(count)
	if lr.left < 0 {
		return count - 1, Exceeded{Limit: lr.limit}
	}
	return count, err
}
