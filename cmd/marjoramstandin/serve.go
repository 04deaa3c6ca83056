package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/oklog/run"
)

// stopTimeout bounds how long a stand-in waits for its requests at its end.
const stopTimeout = 10 * time.Second

// serve answers requests at listen with s until SIGTERM or SIGINT.
func serve(listen string, s *http.Server) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.BaseContext = func(net.Listener) context.Context { return ctx }
	var g run.Group
	g.Add(run.SignalHandler(ctx, syscall.SIGTERM, syscall.SIGINT))
	g.Add(func() error {
		fmt.Printf("listening on %s\n", l.Addr())
		return s.Serve(l)
	}, func(error) {
		cancel()
		stop(s)
	})
	err = g.Run()
	if errors.Is(err, run.ErrSignal) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stop lets the requests of s end, and closes what is left after stopTimeout.
func stop(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		_ = s.Close()
	}
}
