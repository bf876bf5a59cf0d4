package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	routeHost    = "nony24.example"
	serviceName  = "huvo11a"
	clientWaitMs = 3000
)

// route is a queue of the configuration.
type route struct {
	prefix          string
	targetLatencyMs int
	priority        int
	attempts        int
	slackFactor     float64
}

// exchange makes one HTTP request. The status is 0 without an answer.
func exchange(method, url, host string, header map[string]string, message any, timeout time.Duration) (int, []byte) {
	var body io.Reader
	if message != nil {
		data, err := json.Marshal(message)
		if err != nil {
			return 0, nil
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		return 0, nil
	}
	if host != "" {
		req.Host = host
	}
	req.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := http.Client{Timeout: timeout}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// operator calls the control addresses, the next one after a failure.
type operator struct {
	rec      *record
	controls []string
	next     int
}

// call repeats a call at the next address until it is answered with 2xx or 4xx.
func (o *operator) call(method, path string, message any, limit time.Duration) (int, []byte) {
	deadline := time.Now().Add(limit)
	for pause := 100 * time.Millisecond; time.Now().Before(deadline); pause = min(pause*2, time.Second) {
		address := o.controls[o.next%len(o.controls)]
		status, body := exchange(method, "http://"+address+path, "", nil, message, time.Second)
		if status != 0 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout {
			o.rec.logf("operator: %s %s at %s -> %d %s", method, path, address, status, bytes.TrimSpace(body))
			return status, body
		}
		o.rec.logf("operator: %s %s at %s -> %d, trying the next", method, path, address, status)
		o.next++
		time.Sleep(pause)
	}
	return 0, nil
}

// putConfig sends a configuration with the routes.
func (o *operator) putConfig(version int, routes ...route) bool {
	var list []map[string]any
	for i, r := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": routeHost, "path_prefix": r.prefix, "type": "unsafe", "timeout_ms": 3000,
			"target_latency_ms": r.targetLatencyMs, "priority": r.priority, "service": serviceName, "attempts": r.attempts, "slack_factor": r.slackFactor,
		})
	}
	status, _ := o.call(http.MethodPost, "/Config.Put", map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{{"name": serviceName, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "rejects_overload": false, "standby": false}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}, 20*time.Second)
	return status == http.StatusOK
}

// startWave sends a wave of upkeep.
func (o *operator) startWave(number, maxCount int, durationS int, machines ...string) bool {
	status, _ := o.call(http.MethodPost, "/wave-start", map[string]any{"wave": number, "machines": machines, "duration_s": durationS, "max_count": maxCount}, 5*time.Second)
	return status == http.StatusOK
}

// waveCompleted asks whether a wave is completed.
func (o *operator) waveCompleted(number int) bool {
	_, body := o.call(http.MethodGet, "/wave-get/"+strconv.Itoa(number), nil, 3*time.Second)
	return strings.Contains(string(body), `"completed"`)
}

// phase is a step of a job, as the protocol has it.
type phase struct {
	Count         int     `json:"count"`
	CPU           int64   `json:"cpu"`
	MemMB         int64   `json:"mem_mb"`
	EstimatedMs   float64 `json:"estimated_ms,omitempty"`
	DependsOn     []int   `json:"depends_on,omitempty"`
	Checkpointing bool    `json:"checkpointing,omitempty"`
	Gang          bool    `json:"gang,omitempty"`
	LongRunning   bool    `json:"long_running,omitempty"`
	Image         string  `json:"image,omitempty"`
	TargetMs      float64 `json:"target_ms,omitempty"`
	Fills         bool    `json:"fills,omitempty"`
	MayMiss       int     `json:"may_miss,omitempty"`
	AntiAffinity  int     `json:"anti_affinity,omitempty"`
	RequiredLabel string  `json:"required_label,omitempty"`

	// What the runner knows from spec: how long a task takes, by how much the next task of the
	// step takes longer, and whether the tasks fail.
	length, spread time.Duration
	fails          bool
}

// job is a job that a client hands in.
type job struct {
	id, prefix string
	phases     []phase
	// A job with occurrences runs its steps repeats times, the first time at startAt.
	repeats    int
	startAt    time.Time
	intervalMs int
}

// client calls the frontends in turn.
type client struct {
	rec       *record
	frontends []string
	next      int
}

func (c *client) call(method string, path string, message any) (int, []byte) {
	address := c.frontends[c.next%len(c.frontends)]
	status, body := exchange(method, "http://"+address+path, routeHost, map[string]string{"Deadline-Ms": strconv.Itoa(clientWaitMs)}, message, clientWaitMs*time.Millisecond)
	c.rec.logf("client: %s %s at %s -> %d %s", method, path, address, status, bytes.TrimSpace(body))
	c.next++
	return status, body
}

// submit hands a job in until it is accepted, or refused for good.
func (c *client) submit(j *job) bool {
	for range 10 {
		body := map[string]any{"spec": "text of " + j.id, "phases": j.phases}
		if j.repeats > 0 {
			body["repeat_count"], body["start_at_ms"], body["interval_ms"] = j.repeats, j.startAt.UnixMilli(), j.intervalMs
		}
		status, _ := c.call(http.MethodPost, j.prefix+j.id, body)
		if status/100 == 2 {
			return true
		}
		if status/100 == 4 && status != http.StatusTooManyRequests {
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state returns the state of a job, or the status of the answer.
func (c *client) state(j *job) string {
	status, body := c.call(http.MethodGet, j.prefix+j.id, nil)
	var answer struct{ State string }
	if status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return fmt.Sprintf("status %d", status)
	}
	return answer.State
}
