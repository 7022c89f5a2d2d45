package steptest

import (
	"time"

	"google.golang.org/protobuf/proto"

	"godwitmount/internal/step"
)

// Process is the part of a simulated process that its own clock does not see:
// it may be down or stand still, and its answers find those who called.
type Process struct {
	// Down is set while the process does not run.
	Down bool
	// FrozenUntil is until when the process stands still.
	FrozenUntil time.Duration

	clock    *Clock
	held     []func()
	calls    map[step.CallID]func(proto.Message)
	nextCall step.CallID
}

// Restart begins a new life on a clock, in which nothing that waits is kept.
func (p *Process) Restart(clock *Clock) {
	p.clock, p.Down, p.held = clock, false, nil
	p.calls = map[step.CallID]func(proto.Message){}
}

// Frozen reports whether the process stands still.
func (p *Process) Frozen() bool { return p.clock.Now < p.FrozenUntil }

// WhenAwake runs work now, or when the process no longer stands still, or
// never when it is down.
func (p *Process) WhenAwake(run func()) {
	switch {
	case p.Down:
	case p.Frozen():
		p.held = append(p.held, run)
	default:
		run()
	}
}

// Freeze lets the process stand still. After the gap, wake tells it of the
// pause and reports whether it still runs; what waited follows.
func (p *Process) Freeze(gap time.Duration, wake func() bool) {
	p.FrozenUntil = p.clock.Now + gap
	p.clock.After(gap, func() {
		if !wake() {
			return
		}
		held := p.held
		p.held = nil
		for _, run := range held {
			run()
		}
	})
}

// Call registers who waits for the answer to a call, and returns its id.
func (p *Process) Call(answer func(proto.Message)) step.CallID {
	p.nextCall++
	p.calls[p.nextCall] = answer
	return p.nextCall
}

// Answer hands a reply to its caller. It reports false when nobody waits,
// because the call was answered before.
func (p *Process) Answer(reply step.Reply) bool {
	answer := p.calls[reply.Call]
	delete(p.calls, reply.Call)
	if answer != nil {
		answer(reply.Message)
	}
	return answer != nil
}
