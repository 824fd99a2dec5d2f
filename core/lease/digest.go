package lease

import "time"

// Encoding of the ages in a digest.
const (
	// digestUnits is the number of units of age in Timing.EvidenceValidity.
	digestUnits = 30
	// unknownAge is the age of a member without recent evidence. It is also the largest
	// value of half a byte.
	unknownAge = 15
)

// Digest tells of which members an instance has recent evidence that they know an epoch,
// and how old that evidence is. In a large fleet each instance asks only a few others and
// learns about the rest from their digests. It is sent to peers by net/rpc.
type Digest struct {
	// Epoch is the epoch that the evidence is for.
	Epoch uint64
	// Ages holds four bits for each member, in the order of the record: the age of the
	// evidence in units of a thirtieth of EvidenceValidity, rounded up.
	Ages []byte
}

// ageUnit returns the unit of the ages in a digest.
func (mgr *Manager) ageUnit() time.Duration { return mgr.timing.EvidenceValidity / digestUnits }

// Digest returns the evidence of this instance at now for its newest known epoch. It is
// the zero Digest while no record is known.
func (mgr *Manager) Digest(now time.Time) Digest {
	e := mgr.newest()
	if e == nil {
		return Digest{}
	}
	d := Digest{Epoch: e.record.Epoch, Ages: make([]byte, (len(e.record.Members)+1)/2)}
	for i, m := range e.record.Members {
		d.setAge(i, mgr.age(now, m, d.Epoch))
	}
	return d
}

// age returns the age of the evidence about one member in units, at most unknownAge.
func (mgr *Manager) age(now time.Time, m Member, epoch uint64) byte {
	if m.Is(mgr.self) {
		return 0
	}
	known, ok := mgr.evidence.known[m.Instance]
	if !ok || known.ended || known.incarnation != m.Incarnation || known.epoch != epoch {
		return unknownAge
	}
	units := (now.Sub(known.asked) + mgr.ageUnit() - 1) / mgr.ageUnit()
	return byte(min(max(units, 0), unknownAge))
}

// AddDigest adds the evidence in the digest of an instance that was asked at asked. It
// calls seen for each member in it, with the time as of which that member is known to have
// been at the digest's epoch. A digest of another epoch is ignored. The ages were measured
// with the sender's clock, which may run slower than this one, so a tenth is added to
// each.
func (mgr *Manager) AddDigest(now, asked time.Time, d Digest, seen func(i int, m Member, asOf time.Time)) {
	e := mgr.newest()
	if e == nil || d.Epoch != e.record.Epoch || len(d.Ages) != (len(e.record.Members)+1)/2 {
		return
	}
	for i, m := range e.record.Members {
		units := d.age(i)
		if units == unknownAge || m.Is(mgr.self) {
			continue
		}
		age := time.Duration(units) * mgr.ageUnit()
		asOf := asked.Add(-age - age/clockRateDivisor)
		mgr.evidence.add(Answer{Instance: m.Instance, Incarnation: m.Incarnation, Epoch: d.Epoch, Asked: asOf})
		seen(i, m, asOf)
	}
	mgr.updateSettled(now)
}

// setAge sets the age of one member. The bits must be zero before.
func (d Digest) setAge(i int, age byte) { d.Ages[i/2] |= age << (4 * (i % 2)) }

// age returns the age of one member.
func (d Digest) age(i int) byte { return d.Ages[i/2] >> (4 * (i % 2)) & unknownAge }
