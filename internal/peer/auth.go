package peer

import (
	"crypto/subtle"
	"net/http"

	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/telemetry"
)

// RequireKey lets only calls with the cell key through. With an empty key
// everything passes.
func RequireKey(key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		shown := r.Header.Get(keyHeader)
		if key != "" && subtle.ConstantTimeCompare([]byte(shown), []byte(key)) != 1 {
			telemetry.CountRefusal(refusal.New(refusal.Unauthenticated, "", ""))
			http.Error(w, "wrong cell key; give every instance the same key_file", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
