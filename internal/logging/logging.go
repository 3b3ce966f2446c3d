// Package logging builds the process's structured logger and sends the log
// lines of go-zero through it. Counters come first; lines are written only for
// changes of state.
package logging

import (
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/load"
	"github.com/zeromicro/go-zero/core/logx"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a JSON logger on standard error at the given level.
func New(level string) (*zap.Logger, error) {
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrapf(err, "log level %q is not one of debug, info, warn, error", level)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(lvl)
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.Sampling = nil
	return cfg.Build()
}

// RedirectGoZero sends go-zero's log lines to logger. It switches off its periodic
// statistics and the line that it writes for each request that failed, which
// counters tell better. It acts on the whole process and must come before the
// first server or client of go-zero.
func RedirectGoZero(logger *zap.Logger) {
	load.Disable()
	if err := logx.SetUp(logx.LogConf{Mode: "console", Level: "severe"}); err != nil {
		logger.Warn("go-zero keeps its own log", zap.Error(err))
	}
	logx.DisableStat()
	logx.SetLevel(logx.SevereLevel)
	logx.SetWriter(&zapWriter{logger: logger.With(zap.String("component", "go-zero"))})
}

type zapWriter struct{ logger *zap.Logger }

func (w *zapWriter) Alert(v any)  { w.logger.Error(fmt.Sprint(v)) }
func (w *zapWriter) Close() error { return nil }
func (w *zapWriter) Debug(v any, fields ...logx.LogField) {
	w.logger.Debug(fmt.Sprint(v), toZap(fields)...)
}
func (w *zapWriter) Error(v any, fields ...logx.LogField) {
	w.logger.Error(fmt.Sprint(v), toZap(fields)...)
}
func (w *zapWriter) Info(v any, fields ...logx.LogField) {
	w.logger.Info(fmt.Sprint(v), toZap(fields)...)
}
func (w *zapWriter) Severe(v any) { w.logger.Error(fmt.Sprint(v)) }
func (w *zapWriter) Slow(v any, fields ...logx.LogField) {
	w.logger.Debug(fmt.Sprint(v), toZap(fields)...)
}
func (w *zapWriter) Stack(v any) { w.logger.Error(fmt.Sprint(v)) }
func (w *zapWriter) Stat(v any, fields ...logx.LogField) {
	w.logger.Debug(fmt.Sprint(v), toZap(fields)...)
}

func toZap(fields []logx.LogField) []zap.Field {
	out := make([]zap.Field, 0, len(fields))
	for _, f := range fields {
		out = append(out, zap.Any(f.Key, f.Value))
	}
	return out
}
