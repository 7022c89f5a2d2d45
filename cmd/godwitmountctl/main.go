// Command godwitmountctl checks the configuration files of a service mesh and
// inspects its daemons.
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
