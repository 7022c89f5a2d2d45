package ctl

import (
	"context"
	"errors"
	"fmt"
	"time"

	"godwitmount/internal/code"
	"godwitmount/internal/manifest"
	"godwitmount/internal/platform"
	"godwitmount/internal/publish"
)

// platformOptions are for commands that talk to the platform.
type platformOptions struct {
	Platform string        `long:"platform" value-name:"URL" env:"GODWITMOUNT_PLATFORM" required:"yes" description:"Base URL of the platform."`
	Timeout  time.Duration `long:"timeout" value-name:"DURATION" default:"30s" description:"How long to try."`
}

func openPlatform(url string) platform.Store {
	return platform.NewClient(url, platform.DefaultClientConfig())
}

// configID names an accepted configuration in results.
type configID struct {
	Version uint64 `json:"version"`
	// Digest is in hex.
	Digest string `json:"digest"`
}

func configOf(id manifest.ID) configID {
	if id.IsZero() {
		return configID{}
	}
	return configID{Version: id.Version, Digest: id.Digest.String()}
}

// String returns version and short digest.
func (c configID) String() string {
	if c.Version == 0 {
		return "none"
	}
	return fmt.Sprintf("%d/%.12s", c.Version, c.Digest)
}

// readAccepted returns the accepted configuration; the manifest is nil when
// none was ever accepted.
func readAccepted(ctx context.Context, store platform.Store) (manifest.ID, *manifest.Manifest, error) {
	head, err := publish.ReadHead(ctx, store)
	if err != nil || head.ID.IsZero() {
		return manifest.ID{}, nil, platformFailure(err)
	}
	m, err := readProposed(ctx, store, head.ID.Digest)
	return head.ID, m, err
}

// readProposed reads a manifest from the platform and compiles it.
func readProposed(ctx context.Context, store platform.Store, digest manifest.Digest) (*manifest.Manifest, error) {
	body, err := publish.ReadBody(ctx, store, digest)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, platformFailure(&publish.NoProposalError{Digest: digest})
	}
	if err != nil {
		return nil, platformFailure(err)
	}
	m, err := manifest.ParseCanonical(body)
	if err != nil {
		return nil, failed(ExitInvalid, code.ApplyCompileFailed, "manifest %s: %v", digest.Short(), err)
	}
	if _, err := manifest.Compile(m); err != nil {
		return nil, failed(ExitInvalid, code.ApplyCompileFailed, "manifest %s: %v", digest.Short(), err)
	}
	return m, nil
}

// coded is an error with a result code of its own.
type coded interface {
	error
	Code() code.Code
}

// platformFailure gives an error of the platform or of publishing its exit
// code and result code. Nil stays nil.
func platformFailure(err error) error {
	if err == nil {
		return nil
	}
	c := platformCode(err)
	return failed(exitOf(c), c, "%v", err)
}

func platformCode(err error) code.Code {
	var own coded
	switch {
	case errors.As(err, &own):
		return own.Code()
	case errors.Is(err, platform.ErrNotFound):
		return code.PlatformNotFound
	case errors.Is(err, platform.ErrUnknown):
		return code.PlatformUnknown
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return code.PlatformUnavailable
	default:
		return code.PlatformBadAnswer
	}
}

func exitOf(c code.Code) ExitCode {
	switch c {
	case code.PublishConflict, code.PlatformConflict:
		return ExitConflict
	case code.PublishUnknownResult, code.PlatformUnknown:
		return ExitUnknown
	case code.PublishNoProposal, code.PlatformNotFound:
		return ExitInvalid
	default:
		return ExitUnavailable
	}
}
