package membership

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"godwitmount/internal/event"
	"godwitmount/internal/platform"
	"godwitmount/internal/rendezvous"
	"godwitmount/internal/step"
)

const (
	// contactPrefix begins the keys of all contact rows.
	contactPrefix = "contacts/"
	// contactReadLimit bounds the rows of one scan.
	contactReadLimit = 500
	// contactDelay is how long after the start the first row is written, so
	// that daemons that start together know each other by then.
	contactDelay = 10 * time.Second
	// contactRetry is the bound of the wait after a failed read or write.
	contactRetry = 30 * time.Second
	// contactTimeout is after how long an unanswered read or write is given up.
	contactTimeout = 30 * time.Second
	// contactLifetimes is for how many refreshes a row lasts.
	contactLifetimes = 3
	// maxContactBytes bounds the value of a contact row.
	maxContactBytes = 512
)

// contact is the value of a contact row: where to find one instance.
type contact struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	// WrittenMs is when the row was written, in Unix milliseconds.
	WrittenMs int64 `json:"written_ms"`
}

// contacts schedules the reads and writes of contact rows.
type contacts struct {
	next time.Duration
	// reading and writing are until when one under way is waited for.
	reading time.Duration
	writing time.Duration
	// maintain is set when the read in flight is for keeping the own row.
	maintain bool
	used     int
}

func (k *contacts) init(c *Core) {
	k.next = c.now() + contactDelay + c.jitter(contactDelay)
}

// ContactsUsed returns how many addresses from contact rows were tried.
func (c *Core) ContactsUsed() int { return c.contacts.used }

// readContacts asks for the rows unless a read is under way.
func (c *Core) readContacts() {
	if c.now() < c.contacts.reading {
		return
	}
	c.contacts.reading = c.now() + contactTimeout
	c.emit(ReadContacts{Prefix: c.contactRoot(), Limit: contactReadLimit})
}

func (c *Core) contactRoot() string {
	return contactPrefix + c.cfg.Mesh + "/"
}

// contactTick keeps this instance's row, if it has one, in good time.
func (c *Core) contactTick() {
	k := &c.contacts
	if c.now() < max(k.next, k.reading, k.writing) {
		return
	}
	k.next = c.now() + c.around(c.cfg.ContactRefresh)
	if c.leaving || c.contactSlot() < 0 {
		return
	}
	k.maintain = true
	c.readContacts()
}

// contactSlot returns the row this instance writes, or -1.
func (c *Core) contactSlot() int {
	key := contactPrefix + c.cfg.DataCentre
	ranked := rendezvous.Top(key, c.table.alive(c.cfg.DataCentre), c.cfg.ContactSlots)
	return slices.Index(ranked, c.cfg.Instance)
}

func (c *Core) contactsRead(e ContactsRead) {
	k := &c.contacts
	k.reading = 0
	maintain := k.maintain
	k.maintain = false
	if e.Err != nil {
		k.next = min(k.next, c.now()+c.around(contactRetry))
		return
	}
	c.joinContacts(e.Rows)
	if maintain {
		c.keepContact(e.Rows)
	}
}

// joinContacts tries rows of data centres this daemon knows nobody in; all
// rows as long as it knows nobody at all.
func (c *Core) joinContacts(rows []platform.Row) {
	var near, far []string
	for _, row := range rows {
		found, err := decodeContact(row.Value)
		if err != nil || c.table.at(found.Address) != nil {
			continue
		}
		switch {
		case found.DataCentre == c.cfg.DataCentre && !c.exchanges.contacted:
			near = append(near, found.Address)
		case len(c.table.alive(found.DataCentre)) == 0:
			far = append(far, found.Address)
		}
	}
	c.contacts.used += min(joinAttempts, len(near)) + min(joinAttempts, len(far))
	c.join(near)
	c.join(far)
}

// keepContact writes this instance's row when it is absent, old or names an
// instance that is not there.
func (c *Core) keepContact(rows []platform.Row) {
	slot := c.contactSlot()
	if slot < 0 {
		return
	}
	key := c.contactRoot() + c.cfg.DataCentre + "/" + strconv.Itoa(slot)
	precondition := platform.Precondition{Key: key, Absent: true}
	at := slices.IndexFunc(rows, func(row platform.Row) bool { return row.Key == key })
	if at >= 0 {
		if c.contactStands(rows[at].Value) {
			return
		}
		precondition = platform.Precondition{Key: key, Revision: rows[at].Revision}
	}
	c.writeContact(precondition)
}

// contactStands reports whether a row is this instance's own and fresh.
func (c *Core) contactStands(value []byte) bool {
	found, err := decodeContact(value)
	if err != nil || found.Instance != c.cfg.Instance || found.Address != c.cfg.Address {
		return false
	}
	age := c.moment.Wall.Sub(time.UnixMilli(found.WrittenMs))
	return age < c.cfg.ContactRefresh/2
}

func (c *Core) writeContact(precondition platform.Precondition) {
	value, err := json.Marshal(contact{
		Instance:   c.cfg.Instance,
		DataCentre: c.cfg.DataCentre,
		Address:    c.cfg.Address,
		WrittenMs:  c.moment.Wall.UnixMilli(),
	})
	if err != nil {
		return
	}
	c.contacts.writing = c.now() + contactTimeout
	c.emit(WriteContact{
		Precondition: precondition,
		Write: platform.Write{
			Key:        precondition.Key,
			Value:      value,
			TTLSeconds: uint32(contactLifetimes * c.cfg.ContactRefresh / time.Second),
		},
	})
}

func (c *Core) contactWritten(e ContactWritten) {
	c.contacts.writing = 0
	if e.Err != nil {
		c.contacts.next = min(c.contacts.next, c.now()+c.around(contactRetry))
		return
	}
	c.emit(step.Log{Event: event.PeersRowWritten, Fields: []step.Field{step.F("key", e.Key)}})
}

// decodeContact reads the value of a contact row; an error wraps ErrMalformed
// or ErrBounds.
func decodeContact(value []byte) (contact, error) {
	var found contact
	if len(value) > maxContactBytes {
		return found, fmt.Errorf("%w: contact row of %d bytes", ErrBounds, len(value))
	}
	if err := json.Unmarshal(value, &found); err != nil {
		return found, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if err := checkName("instance", found.Instance); err != nil {
		return found, err
	}
	if err := checkName("data centre", found.DataCentre); err != nil {
		return found, err
	}
	return found, checkAddress(found.Address)
}
