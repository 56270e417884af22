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

// eventLines is how many lines of events may wait for a reader of standard output. A follower whose reader is further behind
// ends with an error: it would have to leave out events, and its reader would not know.
const eventLines = 1 << 16

// lastLinesWait is for how long the end of the process waits for a reader of standard output.
const lastLinesWait = 5 * time.Second

// maxPublishLine is the longest line that a publisher reads.
const maxPublishLine = 64 << 10

func controlCommand() *cobra.Command {
	path := ""
	command := &cobra.Command{
		Use:   "control --config FILE",
		Short: "Run a node of the change feed: a publisher, relay or follower (docs/control.md)",
		Long: "Run a node of the change feed until SIGTERM. The link between nodes is plain TCP without sign-in: run it inside\n" +
			"a trusted network only.\n\n" +
			"The first line on standard output is ready ADDRESS. A publisher reads lines \"settings KEY VALUE\" and \"purges KEY\"\n" +
			"on standard input, and answers each with \"ok EPOCH/SEQUENCE\" once it is on disk, or with \"error TEXT\". A follower\n" +
			"prints a line for each event.",
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
		panic(err) // the flag is there
	}
	return command
}

// runControl runs the node that a control file describes until it is told to stop.
func runControl(path string, input io.Reader, output io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGPIPE) // a log that nobody reads any more must not end the program
	options, err := readControlFile(path)
	if err != nil {
		return err
	}
	sink := newAsyncLogWriter(os.Stderr)
	defer sink.close()
	options.Log = slog.New(slog.NewTextHandler(sink, nil)).With("id", options.Feed.ID, "role", options.Feed.Role.String())
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
	publisher.settle()
	return errors.Join(err, lines.close())
}

// linePublisher publishes what comes on standard input, line by line, and answers each.
type linePublisher struct {
	server    *feednet.Server
	lines     *lineWriter
	answering sync.Mutex // held while a line is published, until its answer is queued
}

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

func (p *linePublisher) publish(ctx context.Context, line string) {
	p.answering.Lock()
	defer p.answering.Unlock()
	position, err := publishLine(ctx, p.server, line)
	if err != nil {
		p.lines.write(fmt.Sprintf("error %v", err))
		return
	}
	p.lines.write(fmt.Sprintf("ok %v", position))
}

// settle returns once the line that was being published when the server ended has its answer.
func (p *linePublisher) settle() {
	p.answering.Lock()
	defer p.answering.Unlock()
}

// publishLine publishes what a line says.
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

// purgeKey returns what stands for an object in the feed: the hash of its key. A set of prefixes that takes the place of
// purges goes by its first bytes.
func purgeKey(object string) []byte {
	return binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(object))
}

// lineWriter writes lines from a goroutine of its own, so that a slow reader does not stop the feed.
type lineWriter struct {
	failed chan struct{} // closed when a line could not be written

	mu     sync.Mutex
	err    error
	closed bool
	lines  chan string
	done   chan struct{}
}

func newLineWriter(output io.Writer) *lineWriter {
	writer := &lineWriter{failed: make(chan struct{}), lines: make(chan string, eventLines), done: make(chan struct{})}
	go writer.run(output)
	return writer
}

func (w *lineWriter) run(output io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if _, err := io.WriteString(output, line+"\n"); err != nil {
			w.fail(err)
			return
		}
	}
}

// write queues a line. It never waits.
func (w *lineWriter) write(line string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.err != nil {
		return
	}
	select {
	case w.lines <- line:
	default:
		w.failLocked(fmt.Errorf("standard output: %d lines have not been read", eventLines))
	}
}

func (w *lineWriter) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failLocked(err)
}

// failLocked notes the first error. w.mu is held.
func (w *lineWriter) failLocked(err error) {
	if w.err == nil {
		w.err = err
		close(w.failed)
	}
}

// close writes what is queued, unless writing has failed, and returns the error of that.
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
	case <-time.After(lastLinesWait):
		return errors.New("standard output: its reader has not taken the last lines")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}
