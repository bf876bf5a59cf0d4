// Command egretmux-measure compares placement policies in simulated cells and prints
// a table for each cell and load.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/egretmux/egretmux/internal/measure"
)

func main() {
	var opts struct {
		Seed uint64    `long:"seed" default:"20261203" description:"seed of the load"`
		Cell string    `long:"cell" description:"one cell only: dixie, kalahari or two-year"`
		Load []float64 `long:"load" description:"load as a part of the cell's cpu capacity; may be repeated" default:"0.7" default:"0.9" default:"1.1"`
	}
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(1)
	}
	var cells []measure.Cell
	for _, c := range measure.Cells {
		if opts.Cell == "" || opts.Cell == c.Name {
			cells = append(cells, c)
		}
	}
	fmt.Printf("seed %d\n\n", opts.Seed)
	measure.Report(os.Stdout, cells, opts.Load, opts.Seed)
}
