package membership

import (
	"encoding/binary"
	"slices"
	"strings"
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

	// The rest is derived and rebuilt after a change.
	stale  bool
	sorted []Record
	living map[string][]string
}

func newTable() *table {
	return &table{
		entries:   map[string]*entry{},
		addresses: map[string]string{},
		hashes:    map[string]*buckets{},
		stale:     true,
	}
}

// put inserts or replaces a record.
func (t *table) put(r Record, now time.Duration) {
	t.drop(r.Instance)
	t.version++
	e := &entry{Record: r, changed: now, version: t.version}
	t.entries[r.Instance] = e
	t.toggle(e)
	if e.living() {
		t.addresses[r.Address] = r.Instance
	}
}

// drop removes a record without a trace.
func (t *table) drop(instance string) {
	e := t.entries[instance]
	if e == nil {
		return
	}
	t.toggle(e)
	if t.addresses[e.Address] == instance {
		delete(t.addresses, e.Address)
	}
	delete(t.entries, instance)
	t.stale = true
}

// toggle adds a living record to the hashes or takes it out again.
func (t *table) toggle(e *entry) {
	t.stale = true
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

// records returns all records in order of instance id.
func (t *table) records() []Record {
	t.refresh()
	return t.sorted
}

// alive returns the living instances of a data centre in order.
func (t *table) alive(dataCentre string) []string {
	t.refresh()
	return t.living[dataCentre]
}

// dataCentres returns the data centres with living instances, in order.
func (t *table) dataCentres() []string {
	t.refresh()
	names := make([]string, 0, len(t.living))
	for name := range t.living {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (t *table) refresh() {
	if !t.stale {
		return
	}
	t.stale = false
	t.sorted = make([]Record, 0, len(t.entries))
	for _, e := range t.entries {
		t.sorted = append(t.sorted, e.Record)
	}
	slices.SortFunc(t.sorted, func(a, b Record) int { return strings.Compare(a.Instance, b.Instance) })
	t.living = map[string][]string{}
	for _, r := range t.sorted {
		if r.Liveness == Alive || r.Liveness == Suspect {
			t.living[r.DataCentre] = append(t.living[r.DataCentre], r.Instance)
		}
	}
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
