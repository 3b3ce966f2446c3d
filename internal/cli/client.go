package cli

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/plantainrun/plantainrun/internal/operator"
)

const (
	requestTimeout   = 10 * time.Second
	maxResponseBytes = 16 << 20
)

// clientOptions are the flags of commands that call the operators' interface of a
// host.
type clientOptions struct {
	Addr string `long:"operators-addr" env:"PLANTAINRUN_OPERATORS_ADDR" default:"127.0.0.1:8082" description:"IP:port of the host's operators' interface"`
	Key  string `long:"operator-key" env:"PLANTAINRUN_OPERATOR_KEY" description:"bearer key of the operators' interface"`
	JSON bool   `long:"json" description:"print JSON"`
}

// call sends one request to the operators' interface and decodes the response
// body into out. It also returns the raw body.
func (o *clientOptions) call(method, path, operatorName string, out any) ([]byte, error) {
	addr, err := netip.ParseAddrPort(o.Addr)
	if err != nil {
		return nil, &usageError{eris.Errorf("--operators-addr: %q is not IP:port", o.Addr)}
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+o.Key)
	if operatorName != "" {
		req.Header.Set(operator.HeaderOperator, operatorName)
	}
	resp, err := httpc.DoRequest(req)
	if err != nil {
		return nil, eris.Wrapf(err, "cannot reach the host at %s, check --operators-addr", addr)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, eris.Wrapf(err, "cannot read the response of %s", addr)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, responseError(body, resp.StatusCode)
	}
	return body, json.Unmarshal(body, out)
}

func responseError(body []byte, status int) error {
	var f operator.ErrorResponse
	if err := json.Unmarshal(body, &f); err != nil || f.Kind == "" {
		return eris.Errorf("the host responded with HTTP status %d", status)
	}
	return eris.Errorf("%s: %s; %s", f.Kind, f.Message, f.Remedy)
}

func defaultOperatorName() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	return "operator"
}
