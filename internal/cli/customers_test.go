package cli

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/gen/egretmux/v1/egretmuxv1connect"
	"github.com/egretmux/egretmux/internal/peer"
)

// fakeJobCell stands for an instance of a cell that runs jobs.
type fakeJobCell struct {
	egretmuxv1connect.UnimplementedJobCellServiceHandler
}

func (fakeJobCell) ShowCustomers(context.Context, *connect.Request[egretmuxv1.ShowCustomersRequest]) (*connect.Response[egretmuxv1.ShowCustomersResponse], error) {
	return connect.NewResponse(&egretmuxv1.ShowCustomersResponse{CatalogueVersion: 3, Customers: []*egretmuxv1.CustomerUsage{
		{
			Name: "dixie", Weight: 12, JobsPerSecond: 12, FairShare: 0.25, DominantShare: 0.125, Quota: &egretmuxv1.Resources{CpuMillis: 64000},
			InUse: &egretmuxv1.Resources{CpuMillis: 32000, MemoryMib: 2048}, OpenJobs: 9, WaitingTasks: 7, HeldByQuota: 5, OverRateJobs: 4,
			Refused: map[string]uint64{"over-rate": 3, "quota-exceeded": 2},
		},
		{Name: "kalahari"},
	}}), nil
}

func serveJobCell(t *testing.T, key string) string {
	mux := http.NewServeMux()
	mux.Handle(egretmuxv1connect.NewJobCellServiceHandler(fakeJobCell{}))
	server := httptest.NewUnstartedServer(peer.RequireKey(key, mux))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestCustomersShowsSharesAndWhatHoldsCustomersBack(t *testing.T) {
	var out bytes.Buffer
	code := Main([]string{"customers", "--cell", "127.0.0.1:1," + serveJobCell(t, "")}, &out, &out)
	require.Equal(t, ExitOK, code, out.String())
	var rows [][]string
	for line := range strings.Lines(out.String()) {
		rows = append(rows, strings.Fields(line))
	}
	require.Equal(t, [][]string{
		{"CUSTOMER", "WEIGHT", "FAIR", "SHARE", "RATE", "QUOTA", "IN_USE", "JOBS", "WAITING", "HELD_BY_QUOTA", "OVER_RATE", "REFUSED"},
		{"dixie", "12", "25.0%", "12.5%", "12", "64/0G/0", "32/2G/0", "9", "7", "5", "4", "over-rate:3,quota-exceeded:2"},
		{"kalahari", "0", "0.0%", "0.0%", "-", "-", "0/0G/0", "0", "0", "0", "0", "-"},
	}, rows)
}

func TestCustomersSendsTheSecretBetweenInstances(t *testing.T) {
	address := serveJobCell(t, "secret")
	var out bytes.Buffer
	require.Equal(t, ExitFailure, Main([]string{"customers", "--cell", address}, &out, &out), out.String())
	file := filepath.Join(t.TempDir(), "cell.key")
	require.NoError(t, os.WriteFile(file, []byte("secret\n"), 0o600))
	require.Equal(t, ExitOK, Main([]string{"customers", "--cell", address, "--cell-key-file", file, "-o", "json"}, &out, &out), out.String())
	require.Contains(t, out.String(), `"fair_share"`)
}
