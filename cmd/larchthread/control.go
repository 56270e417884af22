package main

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/spf13/cobra"

	"larchthread/internal/feed"
	"larchthread/internal/feed/feednet"
)

// maxQueuedLines is how many output lines may wait for the reader of standard output. A follower whose reader
// falls further behind exits with an error, because dropping events silently would corrupt the reader's state.
const maxQueuedLines = 1 << 16

// outputFlushTimeout limits how long close waits for the reader of standard output.
const outputFlushTimeout = 5 * time.Second

// maxPublishLine is the length in bytes of the longest line that a publisher reads.
const maxPublishLine = 64 << 10

// controlCommand returns the command that runs a node of the change feed.
func controlCommand() *cobra.Command {
	path := ""
	command := &cobra.Command{
		Use:   "control --config FILE",
		Short: "Run a node of the change feed: a publisher, relay or follower (docs/control.md)",
		Long: "Run a node of the change feed until SIGTERM. Nodes talk plain TCP without authentication: run them inside a\n" +
			"trusted network only.\n\n" +
			"The first line on standard output is ready ADDRESS. A publisher reads lines \"settings KEY VALUE\" and \"purges KEY\"\n" +
			"on standard input, and answers each with \"ok EPOCH/SEQUENCE\" once it is stored on disk, or with \"error TEXT\".\n" +
			"A follower prints a line for each event.",
		Example: "  larchthread control --config deploy/control.yaml",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := runControl(path, command.InOrStdin(), command.OutOrStdout()); err != nil {
				fmt.Fprintln(command.ErrOrStderr(), "larchthread:", err)
				return exitError(exitFailure)
			}
			return nil
		},
	}
	command.Flags().StringVar(&path, "config", "", "the node's control file")
	if err := command.MarkFlagRequired("config"); err != nil {
		panic(err) // unreachable: the flag is defined above
	}
	return command
}

// runControl runs the node described by the control file at path until SIGTERM or SIGINT, or until the server or
// the output fails.
func runControl(path string, input io.Reader, output io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGPIPE) // a closed log pipe must not end the process
	options, err := readControlFile(path)
	if err != nil {
		return err
	}
	logWriter := newAsyncLogWriter(os.Stderr)
	defer logWriter.close()
	options.Log = slog.New(slog.NewTextHandler(logWriter, nil)).With("id", options.Feed.ID, "role", options.Feed.Role.String())
	lines := newLineWriter(output)
	options.OnEvent = func(event feed.Event) { lines.write(formatEvent(event)) }
	server, err := feednet.Start(options)
	if err != nil {
		return err
	}
	lines.write(strings.TrimSpace("ready " + server.Address()))
	publisher := &linePublisher{server: server, lines: lines}
	if options.Feed.Role == feed.Publisher {
		go publisher.run(ctx, input)
	}
	select {
	case <-ctx.Done():
	case <-server.Done():
	case <-lines.failed:
	}
	err = server.Close()
	publisher.waitForAnswer()
	return errors.Join(err, lines.close())
}

// linePublisher publishes each line of standard input and writes one answer for it.
type linePublisher struct {
	server *feednet.Server
	lines  *lineWriter
	mu     sync.Mutex // held from publishing a line until its answer is queued
}

// run publishes lines from input until its end, a read error, or a line longer than maxPublishLine.
func (p *linePublisher) run(ctx context.Context, input io.Reader) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxPublishLine)
	for scanner.Scan() {
		p.publish(ctx, scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		p.lines.write(fmt.Sprintf("error %v", err))
	}
}

// publish publishes one line and queues its answer.
func (p *linePublisher) publish(ctx context.Context, line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	position, err := publishLine(ctx, p.server, line)
	if err != nil {
		p.lines.write(fmt.Sprintf("error %v", err))
		return
	}
	p.lines.write(fmt.Sprintf("ok %v", position))
}

// waitForAnswer returns once the answer to the line being published, if any, is queued.
func (p *linePublisher) waitForAnswer() {
	p.mu.Lock()
	defer p.mu.Unlock()
}

// publishLine parses and publishes one line of the form "settings KEY VALUE" or "purges KEY". It returns the
// position of the change once it is stored.
func publishLine(ctx context.Context, server *feednet.Server, line string) (feed.Position, error) {
	kind, rest, _ := strings.Cut(line, " ")
	key, value, hasValue := strings.Cut(rest, " ")
	switch {
	case kind == "settings" && key != "" && hasValue:
		return server.Publish(ctx, settingsKind, []byte(key), []byte(value))
	case kind == "purges" && key != "" && !hasValue:
		return server.Publish(ctx, purgesKind, purgeKey(key), nil)
	}
	return feed.Position{}, fmt.Errorf("%q, want settings KEY VALUE or purges KEY", line)
}

// purgeKey returns the feed key of a purged object: the big-endian hash of the object's key. Purge sets are
// summarized by prefixes of it.
func purgeKey(objectKey string) []byte {
	return binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(objectKey))
}

// lineWriter writes lines from its own goroutine, so that a slow reader does not block the feed.
type lineWriter struct {
	failed chan struct{} // closed on the first write error or when the queue is full

	mu     sync.Mutex
	err    error
	closed bool
	lines  chan string
	done   chan struct{}
}

// newLineWriter starts a lineWriter for output.
func newLineWriter(output io.Writer) *lineWriter {
	writer := &lineWriter{failed: make(chan struct{}), lines: make(chan string, maxQueuedLines), done: make(chan struct{})}
	go writer.run(output)
	return writer
}

// run writes queued lines until the queue is closed or a write fails.
func (w *lineWriter) run(output io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if _, err := io.WriteString(output, line+"\n"); err != nil {
			w.fail(err)
			return
		}
	}
}

// write queues a line without blocking. A full queue counts as a write error; after an error, lines are
// discarded.
func (w *lineWriter) write(line string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.err != nil {
		return
	}
	select {
	case w.lines <- line:
	default:
		w.failLocked(fmt.Errorf("standard output: the reader is more than %d lines behind", maxQueuedLines))
	}
}

// fail records err unless an earlier error is recorded.
func (w *lineWriter) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failLocked(err)
}

// failLocked records the first error and closes failed. w.mu must be held.
func (w *lineWriter) failLocked(err error) {
	if w.err == nil {
		w.err = err
		close(w.failed)
	}
}

// close flushes the queued lines and returns the first write error. It gives up after outputFlushTimeout.
func (w *lineWriter) close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	err := w.err
	w.mu.Unlock()
	if err != nil {
		return err
	}
	select {
	case <-w.done:
	case <-time.After(outputFlushTimeout):
		return errors.New("standard output: timed out writing the last lines")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}
