package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeRow is a row of the store as PROTOCOL.md spells it.
type storeRow struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   []byte  `json:"value"`
	Version *uint64 `json:"schemaVersion,omitempty"`
}

// store plays the platform's store.
type store struct {
	mu      sync.Mutex
	began   time.Time
	rows    map[[3]string]storeRow
	version uint64
	// onTransact is called with the rows of each transaction that was made, before
	// it is answered.
	onTransact func(puts []storeRow)
}

func newStore() *store { return &store{rows: map[[3]string]storeRow{}, began: time.Now()} }

// put writes a row as the operator and the servers do.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	version := s.version
	s.rows[[3]string{table, "", key}] = storeRow{Table: table, Key: key, Value: data, Version: &version}
}

// setOnTransact sets the function that is called with the rows of each
// transaction that was made.
func (s *store) setOnTransact(f func(puts []storeRow)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onTransact = f
}

// remove deletes a row of the operator or of a server.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	delete(s.rows, [3]string{table, "", key})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/rows-get":
		s.get(w, r)
	case "/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	found := []storeRow{}
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to")) {
			found = append(found, row)
		}
	}
	version := s.version
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	more, size := false, 0
	for i := range found {
		size += len(found[i].Value)
		if i == limit || i > 0 && size > 1_000_000 {
			found, more = found[:i], true
			break
		}
	}
	reply(w, http.StatusOK, map[string]any{"rows": found, "hasMore": more, "schemaVersion": version, "nowMs": time.Since(s.began).Milliseconds()})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var body struct {
		Precondition []storeRow `json:"precondition"`
		Puts         []storeRow `json:"puts"`
		Remove       []storeRow `json:"remove"`
	}
	if len(data) > 1_400_000 || json.Unmarshal(data, &body) != nil || len(body.Precondition)+len(body.Puts)+len(body.Remove) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range body.Puts {
		if len(row.Value) > maxRowBytes {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	for _, c := range body.Precondition {
		have := uint64(0)
		if row, ok := s.rows[[3]string{c.Table, c.Part, c.Key}]; ok {
			have = *row.Version
		}
		if c.Version == nil || have != *c.Version {
			s.mu.Unlock()
			reply(w, http.StatusPreconditionFailed, map[string]any{"rows": []storeRow{}})
			return
		}
	}
	s.version++
	version := s.version
	for _, row := range body.Puts {
		row.Version = &version
		s.rows[[3]string{row.Table, row.Part, row.Key}] = row
	}
	for _, row := range body.Remove {
		delete(s.rows, [3]string{row.Table, row.Part, row.Key})
	}
	onTransact := s.onTransact
	s.mu.Unlock()
	if onTransact != nil {
		onTransact(body.Puts)
	}
	reply(w, http.StatusOK, map[string]any{"schemaVersion": version, "nowMs": time.Since(s.began).Milliseconds()})
}

// reply sends a JSON answer.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
