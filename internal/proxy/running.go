package proxy

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	hopv1 "godwitmount/gen/godwitmount/hop/v1"
)

// runningRequests holds the requests that run at the upstream beside this daemon,
// by id. All methods may be called from any goroutine. The zero value is ready for use.
type runningRequests struct {
	mu sync.Mutex
	// byID holds several requests of one id, in the order in which they began, if a caller
	// has sent it again while it runs.
	byID map[string][]*runningRequest
}

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
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = map[string][]*runningRequest{}
	}
	r.byID[id] = append(r.byID[id], running)
	return running
}

// remove removes a request that has ended. Others with the same id remain.
func (r *runningRequests) remove(id string, running *runningRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := slices.DeleteFunc(r.byID[id], func(other *runningRequest) bool { return other == running })
	if len(all) == 0 {
		delete(r.byID, id)
		return
	}
	r.byID[id] = all
}

// get returns the running request with the id, or nil. If there are several, it returns the
// latest one that was not abandoned, or else the latest one.
func (r *runningRequests) get(id string) *runningRequest {
	if id == "" {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.byID[id]
	for _, running := range slices.Backward(all) {
		if running.abandoned.Err() == nil {
			return running
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[len(all)-1]
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
