package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	peerv1 "godwitmount/gen/godwitmount/peer/v1"
	"godwitmount/gen/godwitmount/peer/v1/peerv1connect"
	"godwitmount/internal/code"
)

const (
	// daemonTimeout bounds one question to one daemon.
	daemonTimeout = 2 * time.Second
	// maxStatusSize is the largest status answer in bytes.
	maxStatusSize = 16 << 20
)

// daemonOptions are for commands that ask daemons.
type daemonOptions struct {
	Daemons []string `long:"daemon" value-name:"HOST:PORT" env:"GODWITMOUNT_DAEMON" env-delim:"," description:"A daemon's peer address; given several times, they are tried in order."`
}

// daemonStatus is the answer of the first daemon that gave one.
type daemonStatus struct {
	address string
	status  *peerv1.StatusResponse
}

// askDaemons asks the daemons in order until one answers.
func askDaemons(ctx context.Context, daemons []string, mesh string) (daemonStatus, error) {
	var failures []error
	for _, address := range daemons {
		status, err := askDaemon(ctx, address, mesh)
		if err == nil {
			return daemonStatus{address: address, status: status}, nil
		}
		failures = append(failures, fmt.Errorf("daemon %s: %w", address, err))
	}
	return daemonStatus{}, failed(ExitUnavailable, code.OK, "no daemon answers: %v", errors.Join(failures...))
}

func askDaemon(ctx context.Context, address, mesh string) (*peerv1.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, daemonTimeout)
	defer cancel()
	client := peerv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+address, connect.WithReadMaxBytes(maxStatusSize))
	answer, err := client.Status(ctx, connect.NewRequest(&peerv1.StatusRequest{Mesh: mesh}))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}
