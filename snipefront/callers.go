package snipefront

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"github.com/snipemoor/snipemoor/snipecaller"
	"github.com/snipemoor/snipemoor/snipegate"
	"github.com/snipemoor/snipemoor/snipetable"
)

const (
	// headerTimeout bounds reading the headers of a request where the
	// configuration states no limit.
	headerTimeout = 5 * time.Second
	// idleTimeout bounds idle connections of callers in that case.
	idleTimeout = 60 * time.Second
	// lingerShare is the part of the grace period in which a stopping front still
	// takes connections of callers that have not heard of the stop.
	lingerShare = 0.65
	// acceptShare is the part in which it takes each request, and after which only
	// those that end before the process does.
	acceptShare = 0.3
	// callerShare is the part of the descriptors that callers' connections may use,
	// so that each request finds one for its target.
	callerShare = 0.45
	// exitMargin is left of the grace period when the last requests are ended.
	exitMargin = 700 * time.Millisecond
)

// errStopped ends the actors after a graceful stop.
var errStopped = errors.New("stopped")

// untilStopped returns the actor that ends the run once the stop is done.
func (f *Front) untilStopped(ctx context.Context, stopped <-chan struct{}) (execute func() error, interrupt func(error)) {
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

// serveCallers returns the actor that takes callers' requests from the time at
// which a configuration is known to the end of the graceful stop.
func (f *Front) serveCallers(ctx context.Context, stopped chan<- struct{}) (execute func() error, interrupt func(error)) {
	ctx, cancel := context.WithCancel(ctx)
	return func() error {
		defer close(stopped)
		select {
		case <-f.follower.Loaded():
		case <-ctx.Done():
			return nil
		}
		return f.callers(ctx)
	}, func(error) { cancel() }
}

func (f *Front) callers(ctx context.Context) error {
	settings := f.settings.Load()
	l, err := net.Listen("tcp4", settings.Callers)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if settings.Descriptors > 0 {
		l = netutil.LimitListener(l, int(callerShare*float64(settings.Descriptors)))
	}
	server := newCallersServer(f.tables.Current().Limits(), f.gate)
	server.ErrorLog = zap.NewStdLog(f.log)
	served := make(chan error, 1)
	go func() { served <- server.Serve(snipecaller.Listen(l, f.gate.Ahead)) }()
	f.book.open.Store(true)
	announced := make(chan struct{})
	announceCtx, withdraw := context.WithCancel(context.Background())
	defer withdraw()
	go func() {
		defer close(announced)
		f.announce.Run(announceCtx)
	}()
	f.log.Info("ready", zap.Uint64("version", f.tables.Current().Version()))
	select {
	case err := <-served:
		return fmt.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	return f.drain(server, withdraw, announced)
}

// drain ends a front gracefully: others stop naming it, callers that still come
// are served and told to close, and requests in flight end.
func (f *Front) drain(server *http.Server, withdraw func(), announced <-chan struct{}) error {
	started := time.Now()
	grace := f.settings.Load().Bounds.Grace
	f.log.Info("stopping", zap.Duration("grace", grace))
	f.book.open.Store(false)
	end := started.Add(grace - exitMargin)
	f.gate.Stop(snipegate.Stop{Accept: started.Add(time.Duration(acceptShare * float64(grace))), End: end})
	withdraw()
	time.Sleep(time.Duration(lingerShare * float64(grace)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		// The grace period is over; what is left ends with the process.
		f.log.Warn("connections open at the end of the grace period", zap.Error(err))
	}
	<-announced
	return nil
}

func newCallersServer(limits snipetable.Limits, h http.Handler) *http.Server {
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
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
