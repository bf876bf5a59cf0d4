package operator

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	egretmuxv1 "github.com/egretmux/egretmux/gen/egretmux/v1"
	"github.com/egretmux/egretmux/internal/contract"
	"github.com/egretmux/egretmux/internal/refusal"
)

// SHA-256 of the credentials "dixie-demo-credential" and "kalahari-demo-credential".
const (
	dixieHash    = "24c4d007ee3f27d97dbce7386487ffefd30e8a2bab33f2290aa00b6db0653ba1"
	operatorHash = "ed35f3dd07201e0e567f8b49905f57a9492d2196b1ec2a2adce3d1e92cb6ba4c"
)

type fakeLease bool

func (l fakeLease) Valid() bool { return bool(l) }

func TestIdentify(t *testing.T) {
	book := contract.NewBook()
	book.Apply(1, []*egretmuxv1.ContractVersion{{
		Customer: "dixie", CellVersion: 1,
		Text: "[contract]\ncustomer = dixie\nshare = 1\ncredential_sha256 = " + dixieHash + "\n[class.lookup]\n",
	}})
	tests := []struct {
		name, authorization string
		lease, open         bool
		want                Identity
		kind                refusal.Kind
	}{
		{"operator", "Bearer kalahari-demo-credential", true, false, Identity{Operator: true}, ""},
		{"operator without a lease", "Bearer kalahari-demo-credential", false, false, Identity{Operator: true}, ""},
		{"customer", "Bearer dixie-demo-credential", true, false, Identity{Customer: "dixie"}, ""},
		{"customer without a lease", "Bearer dixie-demo-credential", false, false, Identity{}, refusal.NoLease},
		{"unknown", "Bearer x", true, false, Identity{}, refusal.Unauthenticated},
		{"unknown without a lease", "Bearer x", false, false, Identity{}, refusal.NoLease},
		{"none", "", true, false, Identity{}, refusal.Unauthenticated},
		{"the hash itself", "Bearer " + operatorHash, true, false, Identity{}, refusal.Unauthenticated},
		{"open", "", true, true, Identity{Operator: true}, ""},
		{"open, customer", "Bearer dixie-demo-credential", true, true, Identity{Customer: "dixie"}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			access := &Access{OperatorSHA256: strings.ToUpper(operatorHash), Book: book, Lease: fakeLease(test.lease), Open: test.open}
			got, err := access.Identify(http.Header{"Authorization": {test.authorization}})
			require.Equal(t, test.want, got)
			if test.kind == "" {
				require.NoError(t, err)
				return
			}
			require.Equal(t, test.kind, refusal.Of(err).Kind)
		})
	}
}
