// Package msdeps pins the libraries chosen for the project until the packages
// that need them have landed.
package msdeps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alecthomas/kong"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-kratos/kratos/v2"
	_ "github.com/go-kratos/kratos/v2/transport/http"
	_ "github.com/google/uuid"
	_ "github.com/oklog/run"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "go.uber.org/zap"
	_ "golang.org/x/sync/errgroup"
	_ "google.golang.org/grpc"
	_ "google.golang.org/protobuf/proto"
	_ "gopkg.in/ini.v1"
)
