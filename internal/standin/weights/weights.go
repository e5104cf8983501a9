// Package weights is a small fake of the store of model weights. All downloads
// share one total rate.
//
// GET /v1/weights/{model}/{version} returns the bytes with a
// Content-Length; 404 if the weights are unknown, 429 with Retry-After if too
// many downloads are running.
package weights

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Settings configures a weight store. Zero fields take their defaults.
type Settings struct {
	// Sizes holds the size in bytes by "model/version".
	Sizes map[string]int64
	// BytesPerSecond is the total rate of all downloads; default 10 MiB/s.
	BytesPerSecond int
	// MaxDownloads is the largest number of downloads at a time; default 8.
	MaxDownloads int
	// RetryAfter is the Retry-After of a rejected download; default 5 s.
	RetryAfter time.Duration
}

// chunkBytes is the size of the chunks in which downloads draw on the shared rate
// limit, and the burst of that limit.
const chunkBytes = 64 << 10

// maxDownloadsKept is the largest number of downloads that Downloads returns.
const maxDownloadsKept = 10000

// Download records one started download for tests.
type Download struct {
	// Name is "model/version".
	Name      string
	StartedAt time.Time
	// EndedAt is zero while the download runs.
	EndedAt time.Time
	// Bytes is the number of bytes sent so far.
	Bytes int64
}

// Server is a weight store. It implements http.Handler and has no background
// work.
type Server struct {
	settings Settings
	limiter  *rate.Limiter
	mux      *http.ServeMux

	mu        sync.Mutex
	running   int
	refused   int
	downloads []*Download
}

// New returns a weight store.
func New(settings Settings) *Server {
	if settings.BytesPerSecond == 0 {
		settings.BytesPerSecond = 10 << 20
	}
	if settings.MaxDownloads == 0 {
		settings.MaxDownloads = 8
	}
	if settings.RetryAfter == 0 {
		settings.RetryAfter = 5 * time.Second
	}
	s := &Server{settings: settings, mux: http.NewServeMux()}
	s.limiter = rate.NewLimiter(rate.Limit(settings.BytesPerSecond), chunkBytes)
	s.mux.HandleFunc("GET /v1/weights/{model}/{version}", s.serveWeights)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Downloads returns a copy of the records of started downloads, oldest first.
func (s *Server) Downloads() []Download {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Download, 0, len(s.downloads))
	for _, d := range s.downloads {
		out = append(out, *d)
	}
	return out
}

// Refused returns the number of downloads rejected with 429.
func (s *Server) Refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

func (s *Server) serveWeights(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("model") + "/" + r.PathValue("version")
	size, ok := s.settings.Sizes[name]
	if !ok {
		http.Error(w, "weights are unknown", http.StatusNotFound)
		return
	}
	d, ok := s.begin(name)
	if !ok {
		w.Header().Set("Retry-After", strconv.Itoa(int(s.settings.RetryAfter.Seconds())))
		http.Error(w, "too many downloads", http.StatusTooManyRequests)
		return
	}
	defer s.finish(d)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	s.send(w, r, d, size)
}

// send writes size bytes as fast as the shared rate limit allows.
func (s *Server) send(w http.ResponseWriter, r *http.Request, d *Download, size int64) {
	chunk := make([]byte, chunkBytes)
	for left := size; left > 0; {
		n := int(min(left, chunkBytes))
		if err := s.limiter.WaitN(r.Context(), n); err != nil {
			return
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		left -= int64(n)
		s.mu.Lock()
		d.Bytes += int64(n)
		s.mu.Unlock()
	}
}

func (s *Server) begin(name string) (*Download, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.settings.MaxDownloads {
		s.refused++
		return nil, false
	}
	s.running++
	d := &Download{Name: name, StartedAt: time.Now()}
	if len(s.downloads) >= maxDownloadsKept {
		s.downloads = s.downloads[1:]
	}
	s.downloads = append(s.downloads, d)
	return d, true
}

func (s *Server) finish(d *Download) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	d.EndedAt = time.Now()
}
