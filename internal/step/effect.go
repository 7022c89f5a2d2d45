package step

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"godwitmount/internal/event"
)

// Field is one key-value pair of a log line.
type Field struct {
	Key   string
	Value string
}

// F returns a Field with value in its default format (fmt.Sprint).
func F(key string, value any) Field {
	return Field{Key: key, Value: fmt.Sprint(value)}
}

// Log is the effect that writes one log line.
type Log struct {
	Event event.Number
	// Warn logs at warning level instead of info.
	Warn   bool
	Fields []Field
}

// EffectName implements Effect.
func (Log) EffectName() string { return "log" }

// CallID identifies a peer's call and matches the reducer's reply to it.
type CallID uint64

// Reply is the effect that answers the peer call whose event carried the same
// id. A reducer must answer each call exactly once.
type Reply struct {
	Call    CallID
	Message proto.Message
}

// EffectName implements Effect.
func (Reply) EffectName() string { return "reply" }
