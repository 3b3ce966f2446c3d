package relay

import (
	"fmt"
	"time"

	"go.uber.org/zap"
)

// recordSent records when the first attempt is sent, and what placement has predicted.
func (j *job) recordSent(predictedWait time.Duration) {
	if j.attempts == 1 {
		j.sentAfter = time.Since(j.req.Arrived)
	}
	j.predictedWait = predictedWait
}

// logLateness logs an answer that comes after the route's objective, or a stream with too long
// a pause, with what explains it. after is the time to the first event, or to the answer.
func (j *job) logLateness(after time.Duration) {
	late := j.route.Objective > 0 && after > j.route.Objective
	paused := j.route.MaxEventGap > 0 && j.longestEventGap > j.route.MaxEventGap
	if !late && !paused {
		return
	}
	j.log("answer late", zap.Duration("first_event", after), zap.Duration("objective", j.route.Objective),
		zap.Duration("longest_pause", j.longestEventGap), zap.Duration("max_pause", j.route.MaxEventGap),
		zap.Duration("sent_after", j.sentAfter), zap.Duration("predicted_wait", j.predictedWait),
		zap.Bool("waited_for_memory", j.reserveFailed), zap.String("organisation", j.organisation), zap.Int("prompt_tokens", j.req.PromptTokens))
}

// refuse refuses the request, and logs what it asked for.
func (j *job) refuse(refusal Refusal) {
	j.relay.refuse(j.req, j.writer, refusal, append(j.callerFields(), zap.String("route", j.route.Name), zap.String("service", j.serviceName))...)
}

// callerFields are the log fields that tell who asked for what, the same when a refused caller
// comes back.
func (j *job) callerFields() []zap.Field {
	fields := []zap.Field{
		zap.String("organisation", j.organisation), zap.Int("prompt_tokens", j.req.PromptTokens), zap.String("caller_key", fmt.Sprintf("%x", uint64(j.fingerprint()))),
	}
	if parts := j.req.SharedParts; len(parts) > 0 {
		fields = append(fields, zap.String("subject", parts[len(parts)-1]))
	}
	return fields
}
