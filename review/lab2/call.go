package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/plantainrun/plantainrun/review/lab2/wire"
)

// callTimeout limits an ordinary call.
const callTimeout = 6 * time.Second

// call sends a request on a connection of its own and returns its status and body; the error
// says that no whole answer came.
func call(front string, c wire.Call, body string) (int, string, error) {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(callTimeout))
	c.Length = len(body)
	if _, err := io.WriteString(conn, c.Head()+body); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// outcome describes an answer in the record.
func outcome(status int, body string, err error) string {
	if err != nil {
		return "no answer: " + err.Error()
	}
	return fmt.Sprintf("%d %q", status, body)
}
