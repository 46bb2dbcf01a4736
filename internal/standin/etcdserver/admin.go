package etcdserver

import (
	"encoding/json"
	"net/http"
)

// addAdmin serves the faults over HTTP: GET and PUT /faults with the JSON of
// Settings, POST /lapse?key=KEY, POST /snapshot, POST /restore, which returns the
// store to the last snapshot, and GET /calls.
func (s *Server) addAdmin(mux *http.ServeMux) {
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.faults.Settings()) })
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var settings Settings
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&settings); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.faults.Set(settings)
		reply(w, settings)
	})
	mux.HandleFunc("POST /lapse", func(w http.ResponseWriter, r *http.Request) {
		if err := s.faults.Lapse(r.Context(), r.URL.Query().Get("key")); err != nil {
			http.Error(w, err.Error(), http.StatusNotFound)
			return
		}
		reply(w, map[string]bool{"lapsed": true})
	})
	mux.HandleFunc("POST /snapshot", func(w http.ResponseWriter, _ *http.Request) {
		s.faults.TakeSnapshot()
		reply(w, map[string]bool{"taken": true})
	})
	mux.HandleFunc("POST /restore", func(w http.ResponseWriter, _ *http.Request) {
		if err := s.faults.Restore(); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		reply(w, map[string]bool{"restored": true})
	})
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.faults.Calls()) })
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A client that went away needs no answer.
	_ = json.NewEncoder(w).Encode(value)
}
