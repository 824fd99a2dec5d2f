package lease

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"pomelofork/core/model"
)

// Assignment says which member of a list holds which right. It depends on the list alone,
// so that every instance with the same record computes the same holders.
//
// It caches computed holders, so it is not safe for concurrent use.
type Assignment struct {
	domains []model.Domain
	members map[model.Domain][]Member
	cache   map[rightGroup][]Member
}

// rightGroup identifies all rights of one client account or service.
type rightGroup struct {
	kind Kind
	name string
}

// maxCached is the largest number of right groups in the cache.
const maxCached = 1 << 14

// NewAssignment returns the assignment of rights to the members that are not leaving.
func NewAssignment(members []Member) *Assignment {
	a := &Assignment{members: map[model.Domain][]Member{}, cache: map[rightGroup][]Member{}}
	for _, m := range members {
		if !m.Leaving {
			a.members[m.FailureDomain] = append(a.members[m.FailureDomain], m)
		}
	}
	for domain := range a.members {
		a.domains = append(a.domains, domain)
	}
	slices.Sort(a.domains)
	return a
}

// Holder returns the member that holds the right. It returns false when there are no
// members, or when the right's part is out of range.
func (a *Assignment) Holder(right Right) (Member, bool) {
	all := a.Holders(right.Kind, right.Name)
	if right.Part < 0 || right.Part >= len(all) {
		return Member{}, false
	}
	return all[right.Part], true
}

// Holders returns the holders of the rights of one client account or service, indexed by
// part. It is empty when there are no members. The caller must not change the slice.
func (a *Assignment) Holders(kind Kind, name string) []Member {
	if len(a.domains) == 0 {
		return nil
	}
	key := rightGroup{kind: kind, name: name}
	holders, ok := a.cache[key]
	if !ok {
		if len(a.cache) >= maxCached {
			clear(a.cache)
		}
		holders = a.compute(kind, name)
		a.cache[key] = holders
	}
	return holders
}

// compute returns the holders of the rights of one client account or service.
//
// Each part first chooses a failure domain by rendezvous hashing, among those that no
// earlier part has chosen, and then a member of that domain. When a member leaves, only
// its own parts move, and they stay in the domain while it has another member.
func (a *Assignment) compute(kind Kind, name string) []Member {
	parts := Right{Kind: kind}.parts()
	holders := make([]Member, 0, parts)
	usedDomains := make([]model.Domain, 0, parts)
	for part := range parts {
		if len(usedDomains) == len(a.domains) {
			usedDomains = usedDomains[:0]
		}
		hashPrefix := strconv.Itoa(int(kind)) + "\x00" + name + "\x00"
		domain := a.chooseDomain(hashPrefix+strconv.Itoa(part), usedDomains)
		usedDomains = append(usedDomains, domain)
		holders = append(holders, chooseMember(a.members[domain], hashPrefix, holders))
	}
	return holders
}

// chooseDomain returns the failure domain with the highest hash that is not in used.
func (a *Assignment) chooseDomain(hashPrefix string, used []model.Domain) model.Domain {
	var best model.Domain
	var bestHash uint64
	for _, domain := range a.domains {
		if slices.Contains(used, domain) {
			continue
		}
		if hash := xxhash.Sum64String(hashPrefix + "\x00" + string(domain)); best == "" || hash > bestHash {
			best, bestHash = domain, hash
		}
	}
	return best
}

// chooseMember returns the member with the highest hash among those that hold no part yet,
// or among all when each member holds one.
func chooseMember(members []Member, hashPrefix string, holders []Member) Member {
	var best Member
	var bestHash uint64
	bestUsed := true
	for _, m := range members {
		used := slices.ContainsFunc(holders, m.Is)
		hash := xxhash.Sum64String(hashPrefix + string(m.Instance))
		if best.Instance == "" || (bestUsed && !used) || (bestUsed == used && hash > bestHash) {
			best, bestHash, bestUsed = m, hash, used
		}
	}
	return best
}
