package ranking

import (
	"maps"
	"sync/atomic"

	"github.com/turmericdoor/turmericdoor/member"
	"github.com/turmericdoor/turmericdoor/ownership"
)

// Cache remembers the ranked owners of keys while the members stay the same. It is safe for concurrent use; reading it takes no
// lock.
type Cache struct {
	known atomic.Pointer[rankings]
}

// rankings holds the ranked owners among the members in one list.
type rankings struct {
	members []member.Member
	byKey   map[rankingKey][]member.Member
}

type rankingKey struct {
	failureDomain, key string
}

// maxRankings bounds the remembered keys.
const maxRankings = 1024

// Rank returns the members, ranked as owners of a key in a failure domain. Neither list must be changed.
func (ch *Cache) Rank(members []member.Member, failureDomain, key string) []member.Member {
	of, known := rankingKey{failureDomain, key}, ch.known.Load()
	if known != nil && IsSame(known.members, members) {
		if owners, found := known.byKey[of]; found {
			return owners
		}
	}
	owners := ownership.Rank(members, failureDomain, key)
	fresh := &rankings{members: members, byKey: map[rankingKey][]member.Member{}}
	if known != nil && IsSame(known.members, members) && len(known.byKey) < maxRankings {
		maps.Copy(fresh.byKey, known.byKey)
	}
	fresh.byKey[of] = owners
	ch.known.Store(fresh)
	return owners
}

// IsSame reports whether two lists are the same one, not only equal.
func IsSame(left, right []member.Member) bool {
	return len(left) == len(right) && (len(left) == 0 || &left[0] == &right[0])
}
