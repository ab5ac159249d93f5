package readlimit

import (
	"errors"
	"fmt"
	"io"
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
