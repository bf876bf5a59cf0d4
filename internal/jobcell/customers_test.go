package jobcell

import (
	"context"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/peer"
	"github.com/egretmux/egretmux/internal/refusal"
	"github.com/egretmux/egretmux/internal/refusal/refusalrpc"
)

func (f *fakeLeader) ShowCustomers(_ context.Context, req *connect.Request[egretmuxv1.ShowCustomersRequest]) (*connect.Response[egretmuxv1.ShowCustomersResponse], error) {
	if req.Header().Get(forwardedHeader) == "" {
		return nil, refusalrpc.Error(refusal.New(refusal.Invalid, "", "the call is not marked as forwarded"))
	}
	return connect.NewResponse(&egretmuxv1.ShowCustomersResponse{CatalogueVersion: 7}), nil
}

func showCustomers(t *testing.T, address string) (*egretmuxv1.ShowCustomersResponse, error) {
	t.Helper()
	dialer, err := peer.NewDialer("", "")
	require.NoError(t, err)
	resp, err := dialer.Clients(address).Jobs.ShowCustomers(t.Context(), connect.NewRequest(&egretmuxv1.ShowCustomersRequest{}))
	if err != nil {
		refused, _ := refusalrpc.From(err)
		return nil, refused
	}
	return resp.Msg, nil
}

func TestCustomersAreShownByTheLeaderThroughAnyInstance(t *testing.T) {
	address := serveLeader(t, &fakeLeader{})
	c := newCellWithLeader(t, address)
	meetLeader(c, address)
	resp, err := showCustomers(t, strings.TrimPrefix(serveCell(t, c).URL, "http://"))
	require.NoError(t, err)
	require.Equal(t, uint64(7), resp.GetCatalogueVersion())
}

// Failure: two instances take each other for the leader.
func TestCallForTheCustomersIsForwardedOnce(t *testing.T) {
	other := newCellWithLeader(t, unreachable)
	address := strings.TrimPrefix(serveCell(t, other).URL, "http://")
	c := newCellWithLeader(t, address)
	meetLeader(c, address)
	own := strings.TrimPrefix(serveCell(t, c).URL, "http://")
	meetLeader(other, own)
	_, err := showCustomers(t, own)
	require.Equal(t, refusal.NoLeader, refusal.Of(err).Kind)
}
