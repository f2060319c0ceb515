package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

const (
	clientTimeout = 3 * time.Second
	clientRetries = 4
)

// job is a job as its client knows it.
type job struct {
	id    string
	steps []map[string]any
	// accepted is when a 2xx answer arrived.
	accepted time.Time

	mu    sync.Mutex
	state string
}

func newJob(steps ...map[string]any) *job {
	return &job{id: fmt.Sprintf("%016x", rand.Uint64()), steps: steps}
}

// call sends one request to a host and returns the status, 0 for none.
func (w *world) call(h *host, method, id string, body any) (int, []byte) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s%s", h.ip, frontendPort, queuePrefix, id), bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = queueHost
	req.Header.Set("X-Api-Key", apiKey)
	req.Header.Set("Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// submit hands a job in, with the retries of a client, each at a host that is
// in rotation.
func (w *world) submit(j *job, spec string, hosts []*host) {
	body := map[string]any{"spec": spec, "steps": j.steps}
	for attempt := range 1 + clientRetries {
		h := hosts[rand.Intn(len(hosts))]
		status, _ := w.call(h, http.MethodPost, j.id, body)
		w.note("client POST %s at %s, attempt %d: %d", j.id, h.name, attempt+1, status)
		if status/100 == 2 {
			j.accepted = time.Now()
			return
		}
		if status == http.StatusNotFound || status == http.StatusUnauthorized || status == http.StatusBadRequest {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// ask asks for the state of a job and returns it, or the status if that is not
// 200.
func (w *world) ask(j *job, hosts []*host) string {
	h := hosts[rand.Intn(len(hosts))]
	status, answer := w.call(h, http.MethodGet, j.id, nil)
	state := fmt.Sprintf("status %d", status)
	if status == http.StatusOK {
		var body struct {
			State string `json:"state"`
		}
		if json.Unmarshal(answer, &body) == nil {
			state = body.State
		}
	}
	j.mu.Lock()
	if state != j.state {
		w.note("client GET %s at %s: %s", j.id, h.name, state)
	}
	j.state = state
	j.mu.Unlock()
	return state
}
