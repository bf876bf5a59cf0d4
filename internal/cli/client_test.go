package cli

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
)

const contractFileText = `[contract]
customer = dixie
share = 0.5
credential_sha256 = 24c4d007ee3f27d97dbce7386487ffefd30e8a2bab33f2290aa00b6db0653ba1
[class.lookup]
`

// fakeCell stands for the instances of a cell that share their state.
type fakeCell struct {
	egretmuxv1connect.UnimplementedOperatorServiceHandler
	mu       sync.Mutex
	changes  []string // change ids in the order of their arrival
	tokens   map[string]bool
	behind   []string // instances that ForceStatus reports as behind, one for each call
	applyErr error
}

func (f *fakeCell) GetContract(_ context.Context, req *connect.Request[egretmuxv1.GetContractRequest]) (*connect.Response[egretmuxv1.GetContractResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tokens[req.Header().Get("Authorization")] = true
	return nil, refusalrpc.Error(refusal.New(refusal.NotFound, "", "none"))
}

func (f *fakeCell) ListContracts(context.Context, *connect.Request[egretmuxv1.ListContractsRequest]) (*connect.Response[egretmuxv1.ListContractsResponse], error) {
	otherText := strings.Replace(strings.Replace(contractFileText, "dixie", "other", 1), "0.5", "0.7", 1)
	return connect.NewResponse(&egretmuxv1.ListContractsResponse{Contracts: []*egretmuxv1.ContractVersion{
		{Customer: "dixie", Text: contractFileText}, {Customer: "other", Text: otherText},
	}}), nil
}

func (f *fakeCell) ApplyContract(_ context.Context, req *connect.Request[egretmuxv1.ApplyContractRequest]) (*connect.Response[egretmuxv1.ApplyContractResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes = append(f.changes, req.Msg.GetChangeId())
	if f.applyErr != nil {
		return nil, f.applyErr
	}
	return connect.NewResponse(&egretmuxv1.ApplyContractResponse{Contract: &egretmuxv1.ContractVersion{
		Customer: "dixie", Version: 1, CellVersion: 7, ChangeId: req.Msg.GetChangeId(), Text: req.Msg.GetText(),
	}}), nil
}

func (f *fakeCell) ForceStatus(context.Context, *connect.Request[egretmuxv1.ForceStatusRequest]) (*connect.Response[egretmuxv1.ForceStatusResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.behind) == 0 {
		return connect.NewResponse(&egretmuxv1.ForceStatusResponse{Everywhere: true, Instances: 3}), nil
	}
	name := f.behind[0]
	f.behind = f.behind[1:]
	return connect.NewResponse(&egretmuxv1.ForceStatusResponse{Instances: 3, Behind: []*egretmuxv1.InstanceStatus{
		{Instance: &egretmuxv1.Instance{Id: name}, ContractVersion: 6},
	}}), nil
}

// startInstance serves the cell and returns the address. If losesAnswers is set,
// the instance applies a change and then breaks the connection.
func (f *fakeCell) startInstance(t *testing.T, losesAnswers bool) string {
	path, handler := egretmuxv1connect.NewOperatorServiceHandler(f)
	mux := http.NewServeMux()
	mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		if losesAnswers && strings.HasSuffix(r.URL.Path, "ApplyContract") {
			handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func runApply(t *testing.T, servers string, more ...string) (int, string) {
	folder := t.TempDir()
	file, token := filepath.Join(folder, "dixie.ini"), filepath.Join(folder, "token")
	require.NoError(t, os.WriteFile(file, []byte(contractFileText), 0o600))
	require.NoError(t, os.WriteFile(token, []byte("secret\n"), 0o600))
	var out bytes.Buffer
	args := append([]string{"--server", servers, "--token-file", token, "contract", "apply", file}, more...)
	return Main(args, &out, &out), out.String()
}

// A change whose answer is lost is sent to the next instance with the same change id.
func TestLostAnswerIsResentWithItsChangeID(t *testing.T) {
	cell := &fakeCell{tokens: make(map[string]bool)}
	code, out := runApply(t, cell.startInstance(t, true)+","+cell.startInstance(t, false))
	require.Equal(t, ExitOK, code, out)
	require.GreaterOrEqual(t, len(cell.changes), 2)
	for _, id := range cell.changes {
		require.NotEmpty(t, id)
		require.Equal(t, cell.changes[0], id)
	}
	require.Equal(t, map[string]bool{"Bearer secret": true}, cell.tokens)
	require.Contains(t, out, "warning: the shares of all contracts add up to 1.200")
}

func TestApplyNamesInstancesThatAreBehind(t *testing.T) {
	cell := &fakeCell{tokens: make(map[string]bool), behind: []string{"a2", "a2", "a3"}}
	code, out := runApply(t, cell.startInstance(t, false))
	require.Equal(t, ExitOK, code, out)
	require.Contains(t, out, "behind: a2 (version 6)\nbehind: a3 (version 6)\nin force on all 3 instances\n")
}

func TestExitCodes(t *testing.T) {
	tests := map[refusal.Kind]int{
		refusal.VersionConflict: ExitConflict, refusal.KeyConflict: ExitConflict, refusal.NotFound: ExitNotFound,
		refusal.Invalid: ExitRefused, refusal.Forbidden: ExitRefused, refusal.Unauthenticated: ExitRefused,
		refusal.TooLarge: ExitRefused, refusal.QuotaExceeded: ExitRefused, refusal.Internal: ExitFailure,
	}
	for kind, want := range tests {
		cell := &fakeCell{tokens: make(map[string]bool), applyErr: refusalrpc.Error(refusal.New(kind, "", "refused"))}
		code, out := runApply(t, cell.startInstance(t, false), "--change-id", "one")
		require.Equal(t, want, code, "%s: %s", kind, out)
		require.Equal(t, []string{"one"}, cell.changes)
	}
}
