// Command godwitmountctl checks, publishes and follows configurations.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"godwitmount/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	exit := ctl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(int(exit))
}
