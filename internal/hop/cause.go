package hop

import "errors"

// Causes of the end of the context that Handler.Execute gets; see context.Cause.
var (
	// ErrCancelled means that the peer has cancelled the request.
	ErrCancelled = errors.New("the peer cancelled the request")
	// ErrNotResumed means that the peer has moved its requests to another connection, and
	// this one was not among those that it still waits for.
	ErrNotResumed = errors.New("the peer did not resume the request")
	// ErrPeerGone means that the connection of the peer has ended, and the peer has not
	// moved the request to another one.
	ErrPeerGone = errors.New("the peer's connection ended")
	// ErrPeerVanished means that nothing has passed on the peer's connection for long.
	ErrPeerVanished = errors.New("the peer has vanished")
)
