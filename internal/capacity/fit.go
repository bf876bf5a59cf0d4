package capacity

import (
	"fmt"
	"io"
	"math"
	"sort"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Line is a straight line fitted to a quantity of a role over the sizes of a series.
type Line struct {
	Series   string
	Role     string
	Quantity Quantity
	Points   int
	Base     float64 // value at size 0
	Slope    float64 // growth per unit of size
	Residual float64 // root mean square distance from the line
	Largest  float64 // largest size measured
}

type lineKey struct {
	series, role string
	quantity     Quantity
}

// Fit fits a line for each series, role and quantity with two points or more.
func Fit(rows []Row) []Line {
	xs := make(map[lineKey][]float64)
	ys := make(map[lineKey][]float64)
	var keys []lineKey
	for _, r := range rows {
		k := lineKey{r.Series, r.Role, r.Quantity}
		if xs[k] == nil {
			keys = append(keys, k)
		}
		xs[k] = append(xs[k], r.Size)
		ys[k] = append(ys[k], r.Value)
	}
	var lines []Line
	for _, k := range keys {
		if len(xs[k]) < 2 {
			continue
		}
		base, slope := stat.LinearRegression(xs[k], ys[k], nil, false)
		l := Line{Series: k.series, Role: k.role, Quantity: k.quantity, Points: len(xs[k]), Base: base, Slope: slope}
		for i, x := range xs[k] {
			l.Residual += math.Pow(ys[k][i]-base-slope*x, 2)
			l.Largest = max(l.Largest, x)
		}
		l.Residual = math.Sqrt(l.Residual / float64(len(xs[k])))
		lines = append(lines, l)
	}
	return lines
}

// Print writes the lines as a table.
func Print(w io.Writer, lines []Line) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "SERIES\tROLE\tQUANTITY\tPOINTS\tBASE\tSLOPE\tRESIDUAL\tLARGEST")
	for _, l := range lines {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.2f\t%.5f\t%.2f\t%g\n", l.Series, l.Role, l.Quantity, l.Points, l.Base, l.Slope, l.Residual, l.Largest)
	}
	return t.Flush()
}

// Plot draws one quantity of one role over size into a file, with a line for each
// series. Sizes are scaled to the largest of their series.
func Plot(rows []Row, role string, quantity Quantity, file string) error {
	figure := plot.New()
	figure.Title.Text = string(quantity) + " of the " + role
	figure.X.Label.Text = "part of the largest size measured"
	figure.Y.Label.Text = string(quantity)
	figure.Legend.Top = true
	figure.Legend.Left = true
	series := make(map[string]plotter.XYs)
	largest := make(map[string]float64)
	for _, r := range rows {
		if r.Role == role && r.Quantity == quantity {
			series[r.Series] = append(series[r.Series], plotter.XY{X: r.Size, Y: r.Value})
			largest[r.Series] = max(largest[r.Series], r.Size)
		}
	}
	names := make([]string, 0, len(series))
	for n := range series {
		names = append(names, n)
	}
	sort.Strings(names)
	var args []any
	for _, n := range names {
		for i := range series[n] {
			series[n][i].X /= largest[n]
		}
		args = append(args, fmt.Sprintf("%s (to %g)", n, largest[n]), series[n])
	}
	if err := plotutil.AddLinePoints(figure, args...); err != nil {
		return err
	}
	const width, height = 7 * vg.Inch, 4.5 * vg.Inch
	return figure.Save(width, height, file)
}
