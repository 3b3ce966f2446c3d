package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/engineapi"
)

// The end reasons of a whole answer, and of one that failed.
const (
	finishStop   = "stop"
	finishLength = "length"
	finishError  = "error"
)

const maxLineBytes = 1 << 20 // bytes

// readTokens passes the tokens of one connection on. It returns nil when the
// answer is whole, an *Error when the attempt has ended, and otherwise a fault.
// Once the attempt is over no token is passed on, not even one that came before.
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

// scanCompleteLines is a bufio.SplitFunc of lines that leaves out a last line without
// its newline.
func scanCompleteLines(data []byte, _ bool) (int, []byte, error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, data[:i], nil
	}
	return 0, nil, nil
}

// classifyReadEnd classifies the end of a connection before the end marker. A
// connection that brought the header but no token yet may be waiting for a long
// prefill or a slow engine: the engine is then only asked again, without end
// until the time limit, and no other connection is suspected.
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

// handleLine takes one handleLine and reports whether the answer is whole.
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

// handleEnd checks the handleEnd marker.
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
