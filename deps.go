//go:build keepdeps

// Package godwitmount is never built; it keeps the declared libraries in
// go.mod while the packages that use them are being written.
package godwitmount

import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/google/uuid"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/klauspost/compress/zstd"
	_ "github.com/labstack/echo/v4"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/tailscale/hujson"
	_ "go.uber.org/zap"
	_ "golang.org/x/net/http2"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/protobuf/proto"
)
