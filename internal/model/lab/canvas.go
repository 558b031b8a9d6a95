package lab

import (
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// newCanvas is a canvas with a margin, so that labels at its edge are whole.
func newCanvas(c vg.CanvasSizer) draw.Canvas {
	const margin = 6
	return draw.Crop(draw.New(c), margin, -margin, margin, -margin)
}
