// Package logging builds the structured logger of the process and redirects
// the log of go-zero to it. Events of each request are counted in metrics; log
// lines are meant for changes of state.
package logging

import (
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/core/load"
	"github.com/zeromicro/go-zero/core/logx"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a JSON logger that writes to standard error at the given level.
func New(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrapf(err, "log level %q is not one of debug, info, warn, error", level)
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(parsed)
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.Sampling = nil
	return cfg.Build()
}

// RedirectGoZero sends the log of go-zero to logger. It disables go-zero's
// periodic statistics and its line for each failed request, since counters
// report both better. It affects the whole process and must be called before
// the first server or client of go-zero is created.
func RedirectGoZero(logger *zap.Logger) {
	load.Disable()
	if err := logx.SetUp(logx.LogConf{Mode: "console", Level: "severe"}); err != nil {
		logger.Warn("go-zero log cannot be redirected", zap.Error(err))
	}
	logx.DisableStat()
	logx.SetLevel(logx.SevereLevel)
	logx.SetWriter(&zapWriter{logger: logger.With(zap.String("component", "go-zero"))})
}

// RedirectStandard sends the log of the standard library to logger: net/http, for one, logs
// what targets and callers do, and would wait for a standard error that nobody reads. It
// returns a function that restores the log.
func RedirectStandard(logger *zap.Logger) func() {
	restore, err := zap.RedirectStdLogAt(logger.With(zap.String("component", "standard library")), zap.WarnLevel)
	if err != nil {
		logger.Warn("log of the standard library cannot be redirected", zap.Error(err))
		return func() {}
	}
	return restore
}

type zapWriter struct{ logger *zap.Logger }

func (w *zapWriter) Alert(v any)  { w.logger.Error(fmt.Sprint(v)) }
func (w *zapWriter) Close() error { return nil }
func (w *zapWriter) Debug(v any, fields ...logx.LogField) {
	w.logger.Debug(fmt.Sprint(v), zapFields(fields)...)
}
func (w *zapWriter) Error(v any, fields ...logx.LogField) {
	w.logger.Error(fmt.Sprint(v), zapFields(fields)...)
}
func (w *zapWriter) Info(v any, fields ...logx.LogField) {
	w.logger.Info(fmt.Sprint(v), zapFields(fields)...)
}
func (w *zapWriter) Severe(v any) { w.logger.Error(fmt.Sprint(v)) }
func (w *zapWriter) Slow(v any, fields ...logx.LogField) {
	w.logger.Debug(fmt.Sprint(v), zapFields(fields)...)
}
func (w *zapWriter) Stack(v any) { w.logger.Error(fmt.Sprint(v)) }
func (w *zapWriter) Stat(v any, fields ...logx.LogField) {
	w.logger.Debug(fmt.Sprint(v), zapFields(fields)...)
}

func zapFields(fields []logx.LogField) []zap.Field {
	converted := make([]zap.Field, 0, len(fields))
	for _, f := range fields {
		converted = append(converted, zap.Any(f.Key, f.Value))
	}
	return converted
}
