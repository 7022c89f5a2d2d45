package quota

import "time"

// Share is what a data centre holds of the movable part of a customer's allowance.
type Share struct {
	// Movable is between 0 and movableShare.
	Movable float64
	// Version grows with each change. It is 0 while the share is not known.
	Version uint64
}

// Request is a message to the owner of a customer's bucket.
type Request struct {
	Customer string
	// Tokens is the number of tokens that the sender asks for.
	Tokens int
	// Arrived is the number of requests that the sender has received since its last
	// message, refused ones included.
	Arrived int
	// Returned is the number of tokens that the sender has not used.
	Returned int
	// Used is the number of requests that the sender has admitted without a token
	// of the owner.
	Used int
	// Share is the last share of the data centre that the sender knows, or that of
	// the sender's data centre in a Pull.
	Share Share
	// Relayed is set if the sender passes the message on for another daemon.
	Relayed bool
	// Takeover asks for the bucket: the sender has become the owner.
	Takeover bool
	// Pull asks for the movable share Need of another data centre, for the sender's.
	Pull bool
	Need float64
}

// Reply answers a Request.
type Reply struct {
	// Declined is set by a daemon that does not own the bucket.
	Declined bool
	// Kept is set if a Takeover got tokens, but not the bucket: the receiver does
	// not reach the sender, and other daemons may still ask the receiver.
	Kept bool
	// Tokens is the number of tokens granted; in the answer to a Takeover without
	// Kept, the level of the bucket.
	Tokens int
	// Wait is how long the sender is to refuse requests once it has used the
	// tokens; 0 if all were granted.
	Wait time.Duration
	// Share is the share of the data centre that answers.
	Share Share
	// Given is the movable share that was given away in answer to a Pull.
	Given float64
}

// Message is a Request and the daemon to send it to.
type Message struct {
	To string
	Request
}

// Token is the right to run one request.
type Token struct {
	Customer string
	// taken is when the request got the token; own is set if the daemon admitted it
	// without the owner.
	taken time.Duration
	own   bool
}

// Own reports whether the daemon admitted the request from its own share.
func (t Token) Own() bool { return t.own }

// Action is what to do with a request.
type Action uint8

// The actions.
const (
	// Admit: the request may run.
	Admit Action = iota
	// Refuse: the request is beyond the allowance.
	Refuse
	// Ask: send Decision.Message, pass the outcome to Replied, and decide again.
	Ask
	// Await: decide again when the message that was sent for another request has
	// been answered.
	Await
)

// Decision is the decision on one request.
type Decision struct {
	Action Action
	// Token is set for Admit.
	Token Token
	// Wait is the time until a token is expected; set for Refuse.
	Wait time.Duration
	// NoOwner is set for Refuse if this daemon has not read the members and knows no
	// other one that grants tokens.
	NoOwner bool
	// Message is set for Ask.
	Message Message
	// own is set if the decision is by the daemon's own share.
	own bool
}
