package scale

import (
	"fmt"
	"math"
)

// Point is one measured value at one size.
type Point struct {
	Size  float64
	Value float64
}

// Line is a straight line fitted to measured values by least squares.
type Line struct {
	Name      string  `json:"name"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	Residual  float64 `json:"residual"` // largest deviation of a value from the line, relative to the largest value
}

// FitLine fits a straight line to points, which must cover at least two different sizes.
func FitLine(name string, points []Point) Line {
	var sumSize, sumValue, sumSquare, sumProduct float64
	for _, p := range points {
		sumSize += p.Size
		sumValue += p.Value
		sumSquare += p.Size * p.Size
		sumProduct += p.Size * p.Value
	}
	n := float64(len(points))
	slope := (n*sumProduct - sumSize*sumValue) / (n*sumSquare - sumSize*sumSize)
	line := Line{Name: name, Slope: slope, Intercept: (sumValue - slope*sumSize) / n}
	largest, largestDistance := 0.0, 0.0
	for _, p := range points {
		largest = math.Max(largest, math.Abs(p.Value))
		largestDistance = math.Max(largestDistance, math.Abs(p.Value-line.At(p.Size)))
	}
	if largest > 0 {
		line.Residual = largestDistance / largest
	}
	return line
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// String returns the line's equation and its residual in percent.
func (l Line) String() string {
	return fmt.Sprintf("%s: %.4g + %.4g x size, residual %.1f%%", l.Name, l.Intercept, l.Slope, 100*l.Residual)
}
