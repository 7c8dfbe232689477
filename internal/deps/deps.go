// Package deps pins, while the tree is being laid out, the libraries the
// project declares. It goes away once every one of them has a user.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/julienschmidt/httprouter"
	_ "github.com/matryer/is"
	_ "github.com/pkg/errors"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/client_golang/prometheus/testutil"
	_ "github.com/prometheus/client_model/go"
	_ "github.com/rs/xid"
	_ "github.com/sourcegraph/conc"
	_ "github.com/sourcegraph/conc/pool"
	_ "github.com/tailscale/hujson"
	_ "golang.org/x/sync/singleflight"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/plotutil"
	_ "gonum.org/v1/plot/vg"
	_ "google.golang.org/grpc"
	_ "google.golang.org/grpc/credentials"
	_ "google.golang.org/grpc/test/bufconn"
	_ "google.golang.org/protobuf/proto"
	_ "k8s.io/klog/v2"
	_ "pgregory.net/rapid"
)
