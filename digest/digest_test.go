package digest_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/turmericdoor/turmericdoor/digest"
)

// TestBlocksHaveTheDigestOfTheWhole guards against instances that disagree on the fingerprint of a request, since one holds its body in one piece and
// another one in blocks.
func TestBlocksHaveTheDigestOfTheWhole(t *testing.T) {
	whole := digest.Of([]byte("path"), []byte("name"), []byte("body"))
	must.Eq(t, whole, digest.OfBlocks([][]byte{[]byte("bo"), []byte("dy")}, []byte("path"), []byte("name")))
	must.NotEq(t, whole, digest.OfBlocks([][]byte{[]byte("body")}, []byte("pathname")))
}
