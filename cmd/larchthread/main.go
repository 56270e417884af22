// Command larchthread is the real balancer: the module's decisions on sockets.
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
	heapShare = 0.75 // part of the memory at which the collector works harder
	heapGrow  = 400  // per cent that the heap grows between two collections: it is small, and pauses cost time
)

func main() { os.Exit(execute(newRootCommand())) }

// serve runs the balancer that the start file describes, until it is told to stop. own is the path of the operators' own file,
// empty where there is none.
func serve(path, own string) error {
	// Before anything else: once it listens, or even before, a signal must not end what has been taken.
	stop, anew := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(anew, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more must not end the program
	startFile, err := params.ReadStartFile(path)
	if err != nil {
		return err
	}
	var mine params.OperatorFile
	if own != "" {
		if mine, err = params.ReadOperatorFile(own); err != nil {
			return err
		}
	}
	share := func(processes int) {
		debug.SetMemoryLimit(int64(startFile.MemoryMB * heapShare * (1 << 20) / float64(processes)))
	}
	share(1)
	debug.SetGCPercent(heapGrow)
	sink := newAsyncLogWriter(os.Stderr)
	defer sink.close()
	log := slog.New(slog.NewTextHandler(sink, nil)).With("name", startFile.Name)
	loop, err := transport.NewLoop(startFile.Sockets, int(startFile.MemoryMB*(1<<20)), log)
	if err != nil {
		return err
	}
	router, err := routing.New(loop, log, startFile, mine.InventoryPath != "")
	if err != nil {
		return err
	}
	if mine.InventoryPath != "" {
		if err := byHand(mine, router, log); err != nil {
			return err
		}
	}
	upgrade, err := open(startFile, loop, log, router, share)
	if err != nil {
		return err
	}
	go func() {
		<-stop
		router.Shutdown()
	}()
	go func() {
		for range anew {
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
	return upgrade.Close()
}

// open opens the doors. Without an operators' address there are no upgrades, and the clients' address is this process's
// alone.
func open(startFile *params.StartFile, loop *transport.Loop, log *slog.Logger, router *routing.Router, share func(int)) (
	*takeover.Takeover, error) {
	if !startFile.Admin.IsValid() {
		return nil, router.Listen(startFile.Listen, false)
	}
	if err := admin.Serve(loop, log, startFile.Admin, router); err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	return takeover.Start(loop, log, router, startFile.Listen, os.TempDir(), share)
}

// byHand takes the list of hosts from the file that describes the fleet, now and whenever it changes. A file that can't be used
// leaves the last list in force; at the start that is the one in the start file, if there is one.
func byHand(mine params.OperatorFile, router *routing.Router, log *slog.Logger) error {
	watcher, hosts, err := inventory.NewWatcher(mine.InventoryPath)
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
			time.Sleep(mine.PollInterval)
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
