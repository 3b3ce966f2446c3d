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
	reasonStop   = "stop"
	reasonLength = "length"
	reasonError  = "error"
)

const longestLine = 1 << 20 // bytes

// consume passes the tokens of one connection on. It returns nil when the
// answer is whole, an *Error when the attempt has ended, and otherwise a fault.
// Once the attempt is over no token is passed on, not even one that came before.
func (a *attempt) consume(ctx context.Context, x *exchange) error {
	lines := bufio.NewScanner(x.resp.Body)
	lines.Buffer(nil, longestLine)
	lines.Split(wholeLine)
	before := a.result.Tokens
	for {
		x.expect(a.client.bounds.Token(a.remaining()))
		ok := lines.Scan()
		x.rest()
		if !ok || a.over(ctx) {
			return a.readEnded(x, lines.Err(), a.result.Tokens > before)
		}
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		done, err := a.line(line)
		if err != nil {
			x.abandon()
			return err
		}
		if done {
			x.finish()
			return nil
		}
	}
}

// wholeLine is a bufio.SplitFunc of lines that leaves out a last line without
// its newline.
func wholeLine(data []byte, _ bool) (int, []byte, error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, data[:i], nil
	}
	return 0, nil, nil
}

// readEnded classifies the end of a connection before the end marker. A
// connection that brought the header but no token yet may be waiting for a long
// prefill or a slow engine: the engine is then only asked again, without end
// until the time limit, and no other connection is suspected.
func (a *attempt) readEnded(x *exchange, err error, flowed bool) error {
	silent := x.silent()
	x.abandon()
	switch {
	case silent && !flowed:
		a.faults = 0
		return faultSilent
	case silent:
		a.noteSilent(x)
		return faultSilent
	case err == nil:
		return faultTruncated
	default:
		return faultClosed
	}
}

// line takes one line and reports whether the answer is whole.
func (a *attempt) line(line []byte) (bool, error) {
	var chunk engineapi.Chunk
	if err := json.Unmarshal(line, &chunk); err != nil {
		return false, faultFormat
	}
	switch {
	case chunk.ID != a.id:
		return false, faultCrossed
	case chunk.End:
		return a.end(chunk)
	case chunk.Offset < a.result.Tokens:
		return false, faultDuplicate
	case chunk.Offset > a.result.Tokens:
		return false, faultGap
	}
	if err := a.sink(chunk); err != nil {
		return false, &Error{Kind: KindSink, Outcome: outcome.Unknown, Target: a.target.ID, Cause: err}
	}
	a.result.Tokens++
	a.faults = 0
	return false, nil
}

// end checks the end marker.
func (a *attempt) end(chunk engineapi.Chunk) (bool, error) {
	if chunk.Count != a.result.Tokens {
		return false, faultCount
	}
	if chunk.Usage != nil {
		a.result.Usage = *chunk.Usage
	}
	switch chunk.FinishReason {
	case reasonStop, reasonLength:
		a.ended = true
		a.result.FinishReason = chunk.FinishReason
		return true, nil
	case reasonError:
		a.ended = true
		return false, &Error{Kind: KindFailed, Outcome: outcome.Failed, Target: a.target.ID, Detail: chunk.Error}
	default:
		a.ended = true
		return false, &Error{Kind: KindDropped, Outcome: outcome.Failed, Target: a.target.ID, Detail: "ended as " + chunk.FinishReason}
	}
}
