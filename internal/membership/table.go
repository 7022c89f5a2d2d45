package membership

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is how many buckets a member table is hashed into.
const bucketCount = 64

// buckets holds the XOR of the hashes of the living records in each bucket,
// so that a change costs two hashes and tables compare bucket by bucket.
type buckets [bucketCount]uint64

// entry is a record with what this daemon alone knows of it.
type entry struct {
	Record
	// changed is when the record last changed here.
	changed time.Duration
	// version is the table's change counter at that time.
	version uint64
}

func (e *entry) living() bool {
	return e.Liveness == Alive || e.Liveness == Suspect
}

// table is the member table with the indexes that every step needs.
type table struct {
	entries map[string]*entry
	// addresses maps an address to the living instance there.
	addresses map[string]string
	// hashes holds the buckets of each data centre.
	hashes map[string]*buckets
	// version counts changes.
	version uint64

	// The rest is derived and made anew when it is nil: order, all instance
	// ids, after one came or went; sorted after any change; living after one
	// came, went, moved, or changed between living and not.
	order  []string
	sorted []Record
	living map[string][]string
}

func newTable() *table {
	return &table{
		entries:   map[string]*entry{},
		addresses: map[string]string{},
		hashes:    map[string]*buckets{},
	}
}

// put inserts or replaces a record.
func (t *table) put(r Record, now time.Duration) {
	old := t.entries[r.Instance]
	t.unlink(old)
	t.version++
	e := &entry{Record: r, changed: now, version: t.version}
	t.entries[r.Instance] = e
	t.toggle(e)
	if e.living() {
		t.addresses[r.Address] = r.Instance
	}
	t.sorted = nil
	if old == nil {
		t.order = nil
	}
	if old == nil || old.living() != e.living() || old.DataCentre != e.DataCentre {
		t.living = nil
	}
}

// drop removes a record without a trace.
func (t *table) drop(instance string) {
	e := t.entries[instance]
	if e == nil {
		return
	}
	t.unlink(e)
	delete(t.entries, instance)
	t.order, t.sorted, t.living = nil, nil, nil
}

// unlink takes an entry out of the hashes and the addresses.
func (t *table) unlink(e *entry) {
	if e == nil {
		return
	}
	t.toggle(e)
	if t.addresses[e.Address] == e.Instance {
		delete(t.addresses, e.Address)
	}
}

// toggle adds a living record to the hashes or takes it out again.
func (t *table) toggle(e *entry) {
	if !e.living() {
		return
	}
	hashes := t.hashes[e.DataCentre]
	if hashes == nil {
		hashes = &buckets{}
		t.hashes[e.DataCentre] = hashes
	}
	hashes[bucketOf(e.Instance)] ^= hashOf(e.Record)
}

// at returns the living instance at an address, or nil.
func (t *table) at(address string) *entry {
	return t.entries[t.addresses[address]]
}

// ids returns all instance ids in order.
func (t *table) ids() []string {
	if t.order == nil {
		t.order = slices.Sorted(maps.Keys(t.entries))
	}
	return t.order
}

// records returns all records in order of instance id.
func (t *table) records() []Record {
	if t.sorted != nil {
		return t.sorted
	}
	t.sorted = make([]Record, 0, len(t.entries))
	for _, instance := range t.ids() {
		t.sorted = append(t.sorted, t.entries[instance].Record)
	}
	return t.sorted
}

// byDataCentre returns the living instances of each data centre in order.
func (t *table) byDataCentre() map[string][]string {
	if t.living != nil {
		return t.living
	}
	t.living = map[string][]string{}
	for _, instance := range t.ids() {
		if e := t.entries[instance]; e.living() {
			t.living[e.DataCentre] = append(t.living[e.DataCentre], instance)
		}
	}
	return t.living
}

// alive returns the living instances of a data centre in order.
func (t *table) alive(dataCentre string) []string {
	return t.byDataCentre()[dataCentre]
}

// dataCentres returns the data centres with living instances, in order.
func (t *table) dataCentres() []string {
	return slices.Sorted(maps.Keys(t.byDataCentre()))
}

// scopeHashes returns the buckets of the named data centres together, or of
// all when none is named.
func (t *table) scopeHashes(scope []string) buckets {
	var sum buckets
	for name, hashes := range t.hashes {
		if len(scope) > 0 && !slices.Contains(scope, name) {
			continue
		}
		for i, hash := range hashes {
			sum[i] ^= hash
		}
	}
	return sum
}

// sum returns one hash of all buckets.
func (b buckets) sum() uint64 {
	var raw [8 * bucketCount]byte
	for i, hash := range b {
		binary.LittleEndian.PutUint64(raw[8*i:], hash)
	}
	return xxhash.Sum64(raw[:])
}

func bucketOf(instance string) int {
	return int(xxhash.Sum64String(instance) % bucketCount)
}

// hashOf hashes what identifies the state of a living record. Suspicion is
// left out: it passes, and stays inside its data centre.
func hashOf(r Record) uint64 {
	var buf [128]byte
	raw := append(buf[:0], r.Instance...)
	raw = binary.LittleEndian.AppendUint64(raw, r.Incarnation)
	raw = binary.LittleEndian.AppendUint64(raw, r.Sequence)
	return xxhash.Sum64(raw)
}
