package readbudget

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/turmericdoor/turmericdoor/readlimit"
)

// firstBuffer is the size of the first buffer of an answer, in bytes; later buffers are twice as large as the one before.
const firstBuffer = 4 << 10

// All reads an answer completely; it waits while other answers have used up the budget. The caller calls release when it
// no longer uses the content; after an error there is none, and release does nothing. The error is readlimit.Exceeded if
// the answer is longer than limit bytes, and ErrExhausted if ctx ended while it waited. All answers of a budget have the
// same limit, which the budget must exceed.
func (bu *Budget) All(ctx context.Context, answer io.Reader, limit int64) (content []byte, release func(), err error) {
	part := &portion{budget: bu, limit: limit + 1}
	content, err = part.readAll(ctx, answer, limit)
	part.stopGrowing()
	if err != nil {
		part.release()
		return nil, part.release, err
	}
	return content, part.release, nil
}

// portion is the part of the budget that one answer takes.
type portion struct {
	budget *Budget
	// limit is the size up to which it may grow, in bytes.
	limit int64
	taken int64
}

func (pt *portion) readAll(ctx context.Context, answer io.Reader, limit int64) ([]byte, error) {
	content := make([]byte, 0, min(firstBuffer, pt.limit))
	for {
		if len(content) == cap(content) {
			size := min(2*int64(cap(content)), pt.limit)
			if err := pt.grow(ctx, size); err != nil {
				return nil, err
			}
			content = append(make([]byte, 0, size), content...)
		}
		count, failure := answer.Read(content[len(content):cap(content)])
		content = content[:len(content)+count]
		switch {
		case int64(len(content)) > limit:
			return nil, readlimit.Exceeded{Limit: limit}
		case errors.Is(failure, io.EOF):
			return content, nil
		case failure != nil:
			return nil, failure
		}
	}
}

// grow takes memory for a buffer of a size; it waits until it is left. The error is ErrExhausted if ctx ends first.
func (pt *portion) grow(ctx context.Context, size int64) error {
	if size <= FreeBytes {
		return nil
	}
	for {
		changed := pt.tryGrow(size)
		if changed == nil {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrExhausted, context.Cause(ctx))
		}
	}
}

// tryGrow takes memory for a buffer of a size, or returns the channel that is closed when there may be more. Answers that
// each hold a part don't wait for each other: all others leave what the first one may still take, so that it ends.
func (pt *portion) tryGrow(size int64) <-chan struct{} {
	bu := pt.budget
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if !slices.Contains(bu.growing, pt) {
		bu.growing = append(bu.growing, pt)
	}
	reserved := int64(0)
	if first := bu.growing[0]; first != pt {
		reserved = first.limit - first.taken
	}
	if size-pt.taken > bu.left-reserved {
		return bu.changed
	}
	bu.left -= size - pt.taken
	pt.taken = size
	return nil
}

// stopGrowing records that the answer takes no more, so that nothing is left for it any longer.
func (pt *portion) stopGrowing() {
	bu := pt.budget
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if at := slices.Index(bu.growing, pt); at >= 0 {
		bu.growing = slices.Delete(bu.growing, at, at+1)
		bu.notify()
	}
}

// release gives back what the answer has taken; a second call does nothing.
func (pt *portion) release() {
	if pt.taken > 0 {
		pt.budget.giveBack(pt.taken)
	}
	pt.taken = 0
}
