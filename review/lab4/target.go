package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() {
	cases["target"] = playTarget
	cases["options"] = playOptions
}

const rawTimeout = 10 * time.Second

// rawCall sends a request with a request target as it stands, without a body.
func rawCall(l *lab, h *host, method, target, id string) (answer, error) {
	conn, err := net.Dial("tcp", h.front)
	if err != nil {
		return answer{}, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(rawTimeout)); err != nil {
		return answer{}, err
	}
	l.rec.add("client sends request %s to %s: %s %s", id, h.name, method, target)
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\n%s: %s\r\n%s: 4000\r\nAuthorization: Token %s\r\nContent-Length: 0\r\n\r\n",
		method, target, names["attempt"], id, names["deadline"], apiKey)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	l.rec.add("client gets %d to request %s, seal %q, %d bytes", resp.StatusCode, id, resp.Header.Get(names["seal"]), len(body))
	return answer{id: id, status: resp.StatusCode, header: resp.Header, body: string(body)}, err
}

const rawRequests = 6

// playTarget: a client sends requests whose path begins with two slashes.
func playTarget(l *lab) ([]string, error) {
	if err := l.addServers(3, 0); err != nil {
		return nil, err
	}
	if err := l.startHosts(3); err != nil {
		return nil, err
	}
	path := "/puxa403/2f"
	if l.trouble {
		path = "/" + path
	}
	for i := range rawRequests {
		if _, err := rawCall(l, l.hosts[i%len(l.hosts)], http.MethodPost, path, newID()); err != nil {
			return nil, err
		}
	}
	var broken []string
	for _, r := range l.fleet.allRuns() {
		if sent := http.MethodPost + " " + path; r.target != sent {
			broken = append(broken, fmt.Sprintf("server %s ran request %s as %q, the client had sent %q", r.server, r.id, r.target, sent))
		}
	}
	return broken, nil
}

// playOptions: a client sends a request for no path.
func playOptions(l *lab) ([]string, error) {
	if err := l.addServers(3, 0); err != nil {
		return nil, err
	}
	if err := l.startHosts(3); err != nil {
		return nil, err
	}
	target := "/puxa403/2f"
	if l.trouble {
		target = "*"
	}
	var broken []string
	for i := range rawRequests {
		a, err := rawCall(l, l.hosts[i%len(l.hosts)], http.MethodOptions, target, newID())
		if err != nil {
			return nil, err
		}
		if a.status/100 == 2 && a.header.Get(names["seal"]) == "" {
			broken = append(broken, fmt.Sprintf("request %s got %d without a seal, no server ran it", a.id, a.status))
		}
	}
	return broken, nil
}
