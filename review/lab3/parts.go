package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// machineMemory is limits.memory_mb of the settings, in bytes.
	machineMemory = 284e6
	// partBytes is the length of the id of a prompt's first part.
	partBytes = 64 << 10
	// partSenders is how many prompts with such ids are in progress at once, partPause the time
	// between two of one sender, and partTime how long they come.
	partSenders = 8
	partPause   = 60 * time.Millisecond
	partTime    = 75 * time.Second
	// memoryInterval is the time between two looks at the memory of a process.
	memoryInterval = 100 * time.Millisecond
	// partEvents is the number of events of an answer.
	partEvents = 4
)

// engine answers prompts with a few events. It keeps the ids of those that it ran.
type engine struct {
	id     string
	server *httptest.Server
	runs   sync.Map // of struct{} by attempt id
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire["instance"], e.id)
	if want := r.Header.Get(wire["expect"]); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get(wire["attempt"])
	e.runs.Store(id, struct{}{})
	w.Header().Set(wire["attempt"], id)
	w.Header().Set(wire["seal"], "seal-of-"+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= partEvents; n++ {
		time.Sleep(5 * time.Millisecond)
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		_ = http.NewResponseController(w).Flush() // the host may have left
	}
}

// engineConfig adds a route to engines to the configuration.
var engineConfig = strings.Replace(strings.Replace(configText, `"routes":[`, `"routes":[
{"name":"chat","host":"shop.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":10000,"slo_ms":300,"gap_aim_ms":250,"service":"llm","max_attempts":2,"resumable":true,"sticky":true,"priority":1},`, 1),
	`"services":[`, `"services":[{"name":"llm","health_path":"/health","max_conns":354,"engine":{"slots":16,"kv_capacity":232000,"stride":43,"step_ms":1.02,"per_seq_ms":0.00226,"context_per_k":0.00431,"read_per_s":206000,"pairs_per_m":0.138,"chunk":2048,"hop_ms":0.075}},`, 1)

// playParts sends prompts whose first part has a long id, no two alike, and watches the memory
// of the host. As the users' pages say, a process beyond the memory of its machine is killed.
func playParts(l *lab) (bool, error) {
	f, err := newFleet(3, 200*time.Millisecond, false)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.put(wire["config"], []byte(strings.Replace(engineConfig, `"version":7`, `"version":9`, 1)))
	for i := range 3 {
		e := &engine{id: fmt.Sprint("engine-", i+1)}
		e.server = httptest.NewServer(e)
		defer e.server.Close()
		f.put(wire["targets"]+e.id, map[string]any{
			"service": "llm", "address": strings.TrimPrefix(e.server.URL, "http://"), "zone": zones[i], "version": "v1", "slots": 16,
			"state": "ready", "cold_left_ms": 0, "born": time.Now().UnixMilli(), "seq": 1,
		})
	}
	hosts, err := l.startHosts(f.views[0].addr)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), partTime)
	defer cancel()
	var group sync.WaitGroup
	var sent, answered, lost atomic.Int64
	length := partBytes
	if !l.trouble {
		length = 8 // as in the users' pages
	}
	for i := range partSenders {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				sent.Add(1)
				if sendPrompt(ctx, hosts[0], fmt.Sprintf("q%d-%d", i, n), length) == nil {
					answered.Add(1)
				}
				sleep(ctx, partPause)
			}
		})
	}
	callers := newCaller()
	for i := range 4 {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("o%d-%d", i, n)
				if a := callers.send(hosts[0], http.MethodPost, "/order/"+id, id); !a.success() && f.ran(id) > 0 {
					lost.Add(1)
					l.note("order %s has run, and its caller has no answer: status %d, %v", id, a.status, a.err)
				}
				sleep(ctx, 50*time.Millisecond)
			}
		})
	}
	peak := l.watchMemory(ctx, cancel, hosts[0], &sent, &answered)
	group.Wait()
	l.note("%d prompts sent, %d answered; the host held %d MB at most, of %d MB; %d orders ran and have no answer", sent.Load(), answered.Load(), peak/1e6, int64(machineMemory/1e6), lost.Load())
	return peak <= machineMemory, nil
}

// watchMemory returns the largest memory of a host until ctx ends. A host beyond the memory of
// its machine is killed.
func (l *lab) watchMemory(ctx context.Context, cancel context.CancelFunc, h *host, sent, answered *atomic.Int64) (peak int64) {
	notedAt := time.Now()
	for ctx.Err() == nil {
		sleep(ctx, memoryInterval)
		held, err := anonymousMemory(h.cmd.Process.Pid)
		if err != nil {
			l.note("memory of %s is not known: %v", h.name, err)
			cancel()
			return peak
		}
		peak = max(peak, held)
		if time.Since(notedAt) > 5*time.Second {
			notedAt = time.Now()
			l.note("%s holds %d MB; %d prompts sent, %d answered", h.name, held/1e6, sent.Load(), answered.Load())
		}
		if held > machineMemory {
			l.note("%s holds %d MB, more than its machine has: it is killed", h.name, held/1e6)
			h.kill()
			cancel()
		}
	}
	return peak
}

var errNoMemoryLine = errors.New("the system does not tell the memory of the process")

// anonymousMemory returns the memory of a process beside its files, in bytes.
func anonymousMemory(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kb << 10, err
		}
	}
	return 0, errNoMemoryLine
}

// sendPrompt sends a small prompt whose first part has an id of the given length.
func sendPrompt(ctx context.Context, h *host, id string, length int) error {
	part := fmt.Sprintf("%x", id)
	part += strings.Repeat("0", max(0, length-len(part)))
	return sendSharedPrompt(ctx, h, id, part)
}

// sendSharedPrompt sends a small prompt with the given first part.
func sendSharedPrompt(ctx context.Context, h *host, id, part string) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", h.callersAddr)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return err
	}
	request := "POST /chat/%s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 10000\r\nAuthorization: Token %s\r\n%s: 60,20\r\n%s: %s:40,%x:20\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi"
	if _, err := fmt.Fprintf(conn, request, id, wire["attempt"], id, wire["deadline"], callerKey, wire["tokens"], wire["prefix"], part, "s"+id); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || !strings.Contains(string(text), fmt.Sprintf("piece %d", partEvents))) {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return err
}
