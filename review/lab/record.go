package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a case: what was sent, answered and run. It is safe for concurrent use.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	buf  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, buf: bufio.NewWriter(file)}, nil
}

// write adds a line with the time since the start of the case.
func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.buf, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.buf, format, args...)
	fmt.Fprintln(r.buf)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.buf.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	r.file.Close()
}
