// Command larchthread is the real balancer: the module's decisions on sockets.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"larchthread/internal/admin"
	"larchthread/internal/params"
	"larchthread/internal/routing"
	"larchthread/internal/takeover"
	"larchthread/internal/transport"
)

const (
	heapShare = 0.75 // part of the memory at which the collector works harder
	heapGrow  = 400  // per cent that the heap grows between two collections: it is small, and pauses cost time
)

func main() { os.Exit(execute(command())) }

// serve runs the balancer that the start file describes, until it is told to stop.
func serve(path string) error {
	told, err := params.ReadFile(path)
	if err != nil {
		return err
	}
	share := func(processes int) {
		debug.SetMemoryLimit(int64(told.MemoryMB * heapShare * (1 << 20) / float64(processes)))
	}
	share(1)
	debug.SetGCPercent(heapGrow)
	sink := newSink(os.Stderr)
	defer sink.close()
	log := slog.New(slog.NewTextHandler(sink, nil)).With("name", told.Name)
	loop, err := transport.NewLoop(told.Sockets, int(told.MemoryMB*(1<<20)), log)
	if err != nil {
		return err
	}
	router, err := routing.New(loop, log, told)
	if err != nil {
		return err
	}
	upgrade, err := open(told, loop, log, router, share)
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more must not end the program
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		router.Stop()
	}()
	anew := make(chan os.Signal, 1)
	signal.Notify(anew, syscall.SIGHUP)
	go func() {
		for range anew {
			told, err := params.ReadFile(path)
			if err != nil {
				log.Error("configuration kept as it was", "error", err)
				continue
			}
			router.Reload(told)
		}
	}()
	log.Info("serving", "listen", told.Listen.String(), "sockets", told.Sockets, "memory_mb", told.MemoryMB)
	if err := loop.Run(); err != nil {
		return err
	}
	return upgrade.End()
}

// open opens the doors. Without an operators' address there are no upgrades, and the clients' address is this process's
// alone.
func open(told *params.Told, loop *transport.Loop, log *slog.Logger, router *routing.Router, share func(int)) (
	*takeover.Takeover, error) {
	if !told.Admin.IsValid() {
		return nil, router.Listen(told.Listen, false)
	}
	if err := admin.Serve(loop, log, told.Admin, router); err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	return takeover.Begin(loop, log, router, told.Listen, os.TempDir(), share)
}
