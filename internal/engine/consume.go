package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// Finish reasons: the first two end a complete response, the last a failed one.
const (
	finishStop   = "stop"
	finishLength = "length"
	finishError  = "error"
)

const maxLineBytes = 1 << 20 // of a response

// readTokens delivers the tokens received on one connection to the sink. It returns
// nil when the response is complete, an *Error when the attempt has ended, and a
// fault otherwise. After the attempt has ended it delivers no more tokens, not even
// ones that were received before.
func (a *attempt) readTokens(ctx context.Context, x *exchange) error {
	lines := bufio.NewScanner(x.resp.Body)
	lines.Buffer(nil, maxLineBytes)
	lines.Split(scanCompleteLines)
	tokensBefore := a.result.Tokens
	for {
		x.resetTimer(a.client.timeouts.NextToken(a.remaining()))
		ok := lines.Scan()
		x.stopTimer()
		if !ok || a.finished(ctx) {
			return a.classifyReadEnd(x, lines.Err(), a.result.Tokens > tokensBefore)
		}
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		complete, err := a.handleLine(line)
		if err != nil {
			x.abandon()
			return err
		}
		if complete {
			x.release()
			return nil
		}
	}
}

// scanCompleteLines is a bufio.SplitFunc that returns lines and discards a last
// line that has no newline.
func scanCompleteLines(data []byte, _ bool) (int, []byte, error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, data[:i], nil
	}
	return 0, nil, nil
}

// classifyReadEnd classifies the end of a connection before the end marker. A
// connection that delivered the response header but no token may be waiting for a
// long prefill or a slow engine. Such a stall resets the count of consecutive
// faults, so the stream is resumed until the time limit, and no other connection
// is closed.
func (a *attempt) classifyReadEnd(x *exchange, err error, tokensReceived bool) error {
	stalled := x.stalled()
	x.abandon()
	switch {
	case stalled && !tokensReceived:
		a.consecutiveFaults = 0
		return faultStalled
	case stalled:
		a.recordStall(x)
		return faultStalled
	case err == nil:
		return faultTruncated
	default:
		return faultConnLost
	}
}

// handleLine processes one line and reports whether the response is complete.
func (a *attempt) handleLine(line []byte) (bool, error) {
	var chunk engineapi.Chunk
	if err := json.Unmarshal(line, &chunk); err != nil {
		return false, faultMalformed
	}
	switch {
	case chunk.ID != a.id:
		return false, faultWrongRequest
	case chunk.End:
		return a.handleEnd(chunk)
	case chunk.Offset < a.result.Tokens:
		return false, faultDuplicate
	case chunk.Offset > a.result.Tokens:
		return false, faultGap
	}
	if err := a.sink(chunk); err != nil {
		return false, &Error{Kind: KindSink, Outcome: outcome.Unknown, Target: a.target.ID, Cause: err}
	}
	a.result.Tokens++
	a.consecutiveFaults = 0
	return false, nil
}

// handleEnd validates the end marker and reports whether the response is complete.
func (a *attempt) handleEnd(chunk engineapi.Chunk) (bool, error) {
	if chunk.Count != a.result.Tokens {
		return false, faultTokenCount
	}
	if chunk.Usage != nil {
		a.result.Usage = *chunk.Usage
	}
	switch chunk.FinishReason {
	case finishStop, finishLength:
		a.streamEnded = true
		a.result.FinishReason = chunk.FinishReason
		return true, nil
	case finishError:
		a.streamEnded = true
		return false, &Error{Kind: KindFailed, Outcome: outcome.Failed, Target: a.target.ID, Detail: chunk.Error}
	default:
		a.streamEnded = true
		return false, &Error{Kind: KindDropped, Outcome: outcome.Failed, Target: a.target.ID, Detail: "ended as " + chunk.FinishReason}
	}
}
