package proxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// runningRequests holds the requests that run at the upstream beside this daemon,
// by id. All methods may be called from any goroutine.
type runningRequests struct{ byID sync.Map }

// runningRequest is one request that runs at the upstream.
type runningRequest struct {
	// retry marks a run that is not the first of its request, or that was caused by
	// such a run.
	retry bool
	// nestedFailed is set once a request failed that the upstream sent while it ran
	// this one.
	nestedFailed atomic.Bool
	// abandoned ends when the run was abandoned because its caller has disconnected. The
	// nested requests end then, even if the upstream does not cancel them.
	abandoned context.Context
	// abandon ends abandoned.
	abandon context.CancelFunc
}

// add adds a request that is about to run; remove removes it.
func (r *runningRequests) add(id string, retry bool) *runningRequest {
	running := &runningRequest{retry: retry}
	running.abandoned, running.abandon = context.WithCancel(context.Background())
	r.byID.Store(id, running)
	return running
}

func (r *runningRequests) remove(id string) { r.byID.Delete(id) }

// get returns the running request with the id, or nil.
func (r *runningRequests) get(id string) *runningRequest {
	if id == "" {
		return nil
	}
	running, ok := r.byID.Load(id)
	if !ok {
		return nil
	}
	return running.(*runningRequest)
}

// longRuns is the number of mean service times after which a run that ended at its
// deadline counts as a failure of the upstream, not of the little time it had.
const longRuns = 3

// answerFails reports whether an answer shows a fault of the upstream itself: a
// refusal although this daemon had a slot for the request, or a server error that no
// failed nested request explains. A timeout (504) counts only for a long run.
func answerFails(answer *hopv1.Answer, running *runningRequest, took, mean time.Duration) bool {
	switch {
	case answer.NotRun:
		return true
	case answer.Status == http.StatusGatewayTimeout:
		return took > longRuns*mean
	default:
		return answer.Status >= http.StatusInternalServerError && !running.nestedFailed.Load()
	}
}
