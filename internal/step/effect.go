package step

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"godwitmount/internal/event"
)

// Field is one named value of a log line.
type Field struct {
	Key   string
	Value string
}

// F makes a Field of any value, in its default text form.
func F(key string, value any) Field {
	return Field{Key: key, Value: fmt.Sprint(value)}
}

// Log asks for one line in the log.
type Log struct {
	Event event.Number
	// Warn raises the line from info to warning.
	Warn   bool
	Fields []Field
}

// EffectName implements Effect.
func (Log) EffectName() string { return "log" }

// CallID matches the reply of a reducer to the peer call that asked.
type CallID uint64

// Reply answers a peer call that came in as an event with this id. Each call
// is answered exactly once.
type Reply struct {
	Call    CallID
	Message proto.Message
}

// EffectName implements Effect.
func (Reply) EffectName() string { return "reply" }
