package refusal

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// Every Kind constant must be in Kinds, so that its counter exists from the start.
func TestKindsIsComplete(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "refusal.go", nil, 0)
	require.NoError(t, err)
	var declared []Kind
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if name, ok := spec.Type.(*ast.Ident); ok && name.Name == "Kind" {
			value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			require.NoError(t, err)
			declared = append(declared, Kind(value))
		}
		return true
	})
	require.NotEmpty(t, declared)
	require.ElementsMatch(t, declared, Kinds())
}
