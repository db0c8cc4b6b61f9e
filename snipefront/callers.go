package snipefront

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipecaller"
	"github.com/snipemoor/snipemoor/snipegate"
	"github.com/snipemoor/snipemoor/snipetable"
)

const (
	// defaultHeaderTimeout bounds the time to read the headers of a request if the
	// configuration sets no limit.
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout is after how long an idle connection of a caller is closed if
	// the configuration sets no limit.
	defaultIdleTimeout = 60 * time.Second
	// listenShare is the fraction of the grace period for which a stopping front
	// accepts connections, because callers still use cached addresses.
	listenShare = 0.65
	// acceptAllShare is the fraction of the grace period for which a stopping front
	// accepts every request. Later it accepts only those whose deadline is before the
	// end of the process.
	acceptAllShare = 0.3
	// callerDescriptorShare is the fraction of the file descriptors that connections
	// of callers may use, so that enough are left for connections to targets.
	callerDescriptorShare = 0.45
	// shutdownMargin is the time before the end of the grace period at which the last
	// requests are terminated.
	shutdownMargin = 700 * time.Millisecond
)

// errStopped ends all actors after a graceful stop.
var errStopped = errors.New("stopped")

// stopActor returns the actor that ends the run group with errStopped once ctx has
// ended and stopped is closed, or at the latest after the grace period.
func (f *Front) stopActor(ctx context.Context, stopped <-chan struct{}) (execute func() error, interrupt func(error)) {
	ctx, cancel := context.WithCancel(ctx)
	return func() error {
		<-ctx.Done()
		select {
		case <-stopped:
		case <-time.After(f.settings.Load().Bounds.Grace):
		}
		return errStopped
	}, func(error) { cancel() }
}

// callersActor returns the actor that serves callers from the first complete
// configuration, and its confirmation where revocation is strict, to the end of the graceful
// stop, when it closes stopped.
func (f *Front) callersActor(ctx context.Context, stopped chan<- struct{}) (execute func() error, interrupt func(error)) {
	ctx, cancel := context.WithCancel(ctx)
	return func() error {
		defer close(stopped)
		select {
		case <-f.follower.Loaded():
		case <-ctx.Done():
			return nil
		}
		f.awaitConfirmation(ctx)
		if ctx.Err() != nil {
			return nil
		}
		return f.runCallersServer(ctx)
	}, func(error) { cancel() }
}

// runCallersServer serves callers and announces the front in the store until ctx ends,
// and then stops gracefully.
func (f *Front) runCallersServer(ctx context.Context) error {
	settings := f.settings.Load()
	l, err := net.Listen("tcp4", settings.CallerListen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	maxConns := int(callerDescriptorShare * float64(settings.MaxDescriptors))
	server := newCallersServer(f.tables.Current().Limits(), f.gate)
	server.ErrorLog = zap.NewStdLog(f.log)
	served := make(chan error, 1)
	go func() { served <- server.Serve(snipecaller.Listen(l, maxConns, f.gate.ServePipelined)) }()
	f.serving.Store(true)
	f.book.accepting.Store(true)
	announced := make(chan struct{})
	announceCtx, withdraw := context.WithCancel(context.Background())
	defer withdraw()
	go func() {
		defer close(announced)
		f.announcer.Run(announceCtx)
	}()
	f.log.Info("ready", zap.Uint64("version", f.tables.Current().Version()))
	select {
	case err := <-served:
		return fmt.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	return f.drain(server, withdraw, announced)
}

// drain stops a front gracefully. It withdraws the front from the directory and the
// store, serves callers that still connect but makes them close their connections,
// and waits for requests in flight until shutdownMargin before the end of the grace
// period.
func (f *Front) drain(server *http.Server, withdraw func(), announced <-chan struct{}) error {
	started := time.Now()
	grace := f.settings.Load().Bounds.Grace
	f.log.Info("stopping", zap.Duration("grace", grace))
	f.book.accepting.Store(false)
	end := started.Add(grace - shutdownMargin)
	f.gate.BeginStop(snipegate.StopSchedule{AcceptUntil: started.Add(time.Duration(acceptAllShare * float64(grace))), TerminateAt: end})
	withdraw()
	time.Sleep(time.Duration(listenShare * float64(grace)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		// The time for requests in flight is over; the rest end with the process.
		f.log.Warn("connections open at the end of the grace period", zap.Error(err))
	}
	<-announced
	return nil
}

// newCallersServer returns the HTTP server for callers with the limits of the
// configuration, or defaults where it sets none.
func newCallersServer(limits snipetable.Limits, h http.Handler) *http.Server {
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		DisableGeneralOptionsHandler: true, ConnContext: snipecaller.Context,
	}
	if limits.HeaderTimeout > 0 {
		s.ReadHeaderTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		s.IdleTimeout = limits.IdleTimeout
	}
	if limits.HeaderBytes > 0 {
		s.MaxHeaderBytes = int(limits.HeaderBytes)
	}
	return s
}
