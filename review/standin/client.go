package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const hostName = "pule25.example"

// client is a caller: it sends each request again, at another host, after no answer, a 502 or a 504.
type client struct {
	hosts []*host
	http  http.Client
	rec   *record
	next  int
}

func newClient(hosts []*host, rec *record) *client {
	return &client{hosts: hosts, rec: rec, http: http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// tries is how often a client sends a request: once, and four retries.
const tries = 5

// call sends a request and returns the last answer; status 0: there was none.
func (c *client) call(method, path string, body any) (status int, answer map[string]any) {
	for try := range tries {
		h := c.hosts[c.next%len(c.hosts)]
		c.next++
		status, answer = c.once(h, method, path, body)
		c.rec.note("client: %s %s at %s: %d %v", method, path, h.name, status, answer)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status, answer
		}
		time.Sleep(time.Duration(200*(try+1)) * time.Millisecond)
	}
	return status, answer
}

func (c *client) once(h *host, method, path string, body any) (int, map[string]any) {
	var b bytes.Buffer
	if body != nil {
		_ = json.NewEncoder(&b).Encode(body)
	}
	req, err := http.NewRequest(method, "http://"+h.frontend()+path, &b)
	if err != nil {
		return 0, nil
	}
	req.Host = hostName
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Sapphiregauge-Deadline-Ms", "3000")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	var out map[string]any
	_ = json.Unmarshal(raw, &out)
	return resp.StatusCode, out
}

// submit hands a job in until it is accepted.
func (c *client) submit(path string, job any) bool {
	for range 20 {
		if status, _ := c.call(http.MethodPost, path, job); status == http.StatusOK {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

func (c *client) state(path string) string {
	status, answer := c.call(http.MethodGet, path, nil)
	if s, ok := answer["state"].(string); ok && status == http.StatusOK {
		return s
	}
	return fmt.Sprint(status)
}

// awaitServing waits until each host answers for each queue.
func (c *client) awaitServing(prefixes []string, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, h := range c.hosts {
		for _, prefix := range prefixes {
			for {
				status, _ := c.once(h, http.MethodGet, prefix, nil)
				if status == http.StatusOK {
					break
				}
				if time.Now().After(end) {
					return false
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	return true
}
