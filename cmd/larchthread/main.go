// Command larchthread runs the balancer on real sockets, and provides commands to check its files, test it and
// measure it.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"larchthread/internal/admin"
	"larchthread/internal/inventory"
	"larchthread/internal/params"
	"larchthread/internal/routing"
	"larchthread/internal/takeover"
	"larchthread/internal/transport"
)

const (
	memoryLimitFraction = 0.75 // fraction of limits.memory_mb at which the garbage collector runs more often
	gcPercent           = 400  // heap growth in percent between collections; high because the live heap is small
)

func main() { os.Exit(execute(newRootCommand())) }

// serve runs the balancer described by the start file at path until it is told to stop or a successor takes
// over. operatorPath is the path of the operator file, or empty for none.
func serve(path, operatorPath string) error {
	// Signals are handled before anything else, so that one that arrives early does not end the process.
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // a closed log pipe must not end the process
	startFile, err := params.ReadStartFile(path)
	if err != nil {
		return err
	}
	var operatorFile params.OperatorFile
	if operatorPath != "" {
		if operatorFile, err = params.ReadOperatorFile(operatorPath); err != nil {
			return err
		}
	}
	setMemoryLimit := func(processes int) {
		debug.SetMemoryLimit(int64(startFile.MemoryMB * memoryLimitFraction * (1 << 20) / float64(processes)))
	}
	setMemoryLimit(1)
	debug.SetGCPercent(gcPercent)
	logWriter := newAsyncLogWriter(os.Stderr)
	defer logWriter.close()
	log := slog.New(slog.NewTextHandler(logWriter, nil)).With("name", startFile.Name)
	loop, err := transport.NewLoop(startFile.Sockets, int(startFile.MemoryMB*(1<<20)), log)
	if err != nil {
		return err
	}
	router, err := routing.New(loop, log, startFile, operatorFile.InventoryPath != "")
	if err != nil {
		return err
	}
	if operatorFile.InventoryPath != "" {
		if err := watchInventory(operatorFile, router, log); err != nil {
			return err
		}
	}
	handover, err := listen(startFile, loop, log, router, setMemoryLimit)
	if err != nil {
		return err
	}
	go func() {
		<-stop
		router.Shutdown()
	}()
	go func() {
		for range reload {
			startFile, err := params.ReadStartFile(path)
			if err != nil {
				log.Error("configuration kept as it was", "error", err)
				continue
			}
			router.Reload(startFile)
		}
	}()
	log.Info("serving", "listen", startFile.Listen.String(), "sockets", startFile.Sockets, "memory_mb", startFile.MemoryMB)
	if err := loop.Run(); err != nil {
		return err
	}
	return handover.Close()
}

// listen opens the listening sockets. Without an admin address the process cannot hand over, and it does not
// share the client address.
func listen(startFile *params.StartFile, loop *transport.Loop, log *slog.Logger, router *routing.Router,
	setMemoryLimit func(int)) (*takeover.Takeover, error) {
	if !startFile.Admin.IsValid() {
		return nil, router.Listen(startFile.Listen, false)
	}
	if err := admin.Serve(loop, log, startFile.Admin, router); err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	return takeover.Start(loop, log, router, startFile.Listen, os.TempDir(), setMemoryLimit)
}

// watchInventory loads the host list from the inventory file and reloads it whenever the file changes. An
// unusable file leaves the current list in place; at start it is an error unless the start file has a host list.
func watchInventory(operatorFile params.OperatorFile, router *routing.Router, log *slog.Logger) error {
	watcher, hosts, err := inventory.NewWatcher(operatorFile.InventoryPath)
	switch {
	case err == nil:
		router.SetInventory(hosts)
	case !router.HasListedHosts():
		return err
	default:
		log.Error("inventory kept as it was", "error", err)
	}
	go func() {
		for {
			time.Sleep(operatorFile.PollInterval)
			switch hosts, err := watcher.Poll(); {
			case err != nil:
				log.Error("inventory kept as it was", "error", err)
			case hosts != nil:
				router.SetInventory(hosts)
			}
		}
	}()
	return nil
}
