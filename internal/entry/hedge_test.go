package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOnlyOneAttemptWritesTheAnswer(t *testing.T) {
	recorder := httptest.NewRecorder()
	race := &answerRace{target: recorder}
	first, second := &raceWriter{race: race, header: make(http.Header)}, &raceWriter{race: race, header: make(http.Header)}
	first.Header().Set("X-From", "first")
	second.Header().Set("X-From", "second")
	first.WriteHeader(http.StatusOK)
	second.WriteHeader(http.StatusTeapot)
	_, err := second.Write([]byte("second"))
	require.ErrorIs(t, err, errLostRace)
	_, err = first.Write([]byte("first"))
	require.NoError(t, err)
	require.Equal(t, "first", recorder.Body.String())
	require.Equal(t, "first", recorder.Header().Get("X-From"))
	require.Equal(t, http.StatusOK, recorder.Code)
}
