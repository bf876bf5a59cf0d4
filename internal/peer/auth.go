package peer

import (
	"crypto/subtle"
	"net/http"

	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// RequireKey rejects calls without the cell key. An empty key disables the check.
func RequireKey(key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		presented := r.Header.Get(cellKeyHeader)
		if key != "" && subtle.ConstantTimeCompare([]byte(presented), []byte(key)) != 1 {
			telemetry.CountRefusal(refusal.New(refusal.Unauthenticated, "", ""))
			http.Error(w, "wrong cell key; give every instance the same key_file", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
