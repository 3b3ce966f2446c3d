// Package deps pins the libraries that the packages under construction share.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/hashicorp/yamux"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/onsi/gomega"
	_ "github.com/onsi/gomega/gexec"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/client_golang/prometheus/testutil"
	_ "github.com/rotisserie/eris"
	_ "github.com/zeromicro/go-zero/core/logx"
	_ "github.com/zeromicro/go-zero/rest"
	_ "github.com/zeromicro/go-zero/rest/httpc"
	_ "github.com/zeromicro/go-zero/rest/httpx"
	_ "go.uber.org/goleak"
	_ "go.uber.org/zap"
	_ "go.uber.org/zap/zapcore"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
