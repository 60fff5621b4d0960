package burn

import (
	"encoding/xml"
	"fmt"
	"io"
	"math"
	"time"
)

// Layout of the plot in pixels.
const (
	labelWidth   = 340
	plotWidth    = 520
	barHeight    = 10
	rowGap       = 10
	headerHeight = 64
	valueMargin  = 70
	fontSize     = 11
)

const axisStep = 2.0 // the axis ends at a multiple of this burn rate

var windowColors = []string{"#b2182b", "#ef8a62", "#67a9cf", "#2166ac", "#762a83", "#1b7837"}

type svgPlot struct {
	XMLName xml.Name  `xml:"http://www.w3.org/2000/svg svg"`
	Width   int       `xml:"width,attr"`
	Height  int       `xml:"height,attr"`
	Font    string    `xml:"font-family,attr"`
	Size    int       `xml:"font-size,attr"`
	Rects   []svgRect `xml:"rect"`
	Lines   []svgLine `xml:"line"`
	Texts   []svgText `xml:"text"`
}

type svgRect struct {
	X      float64 `xml:"x,attr"`
	Y      float64 `xml:"y,attr"`
	Width  float64 `xml:"width,attr"`
	Height float64 `xml:"height,attr"`
	Fill   string  `xml:"fill,attr"`
}

type svgLine struct {
	X1     float64 `xml:"x1,attr"`
	Y1     float64 `xml:"y1,attr"`
	X2     float64 `xml:"x2,attr"`
	Y2     float64 `xml:"y2,attr"`
	Stroke string  `xml:"stroke,attr"`
}

type svgText struct {
	X      float64 `xml:"x,attr"`
	Y      float64 `xml:"y,attr"`
	Anchor string  `xml:"text-anchor,attr"`
	Text   string  `xml:",chardata"`
}

// WriteSVG writes a bar chart of the burn rates, with one bar for each row and window. One vertical line marks a burn rate
// of 1 and another the threshold, unless it is 0.
func WriteSVG(w io.Writer, rows []Row, windows []time.Duration, threshold float64) error {
	rowHeight := len(windows)*barHeight + rowGap
	plot := svgPlot{
		Width:  labelWidth + plotWidth + valueMargin,
		Height: headerHeight + len(rows)*rowHeight + rowGap,
		Font:   "sans-serif",
		Size:   fontSize,
	}
	plot.Rects = append(plot.Rects, svgRect{Width: float64(plot.Width), Height: float64(plot.Height), Fill: "#ffffff"})
	plot.drawLegend(windows)
	scale := plotWidth / axisMax(rows, threshold)
	for i, row := range rows {
		plot.drawRow(row, float64(headerHeight+i*rowHeight), scale)
	}
	plot.drawReferenceLine(1, scale, "#444444", "budget spent at the window's end")
	if threshold > 0 {
		plot.drawReferenceLine(threshold, scale, "#b2182b", "threshold")
	}
	if _, err := io.WriteString(w, xml.Header); err != nil {
		return err
	}
	return xml.NewEncoder(w).Encode(plot)
}

// axisMax returns the burn rate at the end of the axis.
func axisMax(rows []Row, threshold float64) float64 {
	highest := max(1, threshold)
	for _, row := range rows {
		highest = max(highest, row.MaxBurn())
	}
	return math.Ceil(highest/axisStep) * axisStep
}

func (p *svgPlot) drawLegend(windows []time.Duration) {
	p.text(rowGap, 18, "start", "Burn rate of each objective's budget")
	x := float64(labelWidth)
	for i, window := range windows {
		p.Rects = append(p.Rects, svgRect{X: x, Y: 9, Width: barHeight, Height: barHeight, Fill: windowColor(i)})
		p.text(x+barHeight+4, 18, "start", FormatWindow(window))
		x += 70
	}
}

func (p *svgPlot) drawRow(row Row, top, scale float64) {
	label := fmt.Sprintf("%s / %s: %s, %s", row.Service, row.Workspace, row.Objective, row.Target)
	baseline := top + float64(len(row.Rates)*barHeight)/2 + fontSize/2 - 1
	p.text(labelWidth-8, baseline, "end", label)
	for i, rate := range row.Rates {
		y := top + float64(i*barHeight)
		length := rate.Burn * scale
		p.Rects = append(p.Rects, svgRect{X: labelWidth, Y: y, Width: length, Height: barHeight - 1, Fill: windowColor(i)})
		p.text(labelWidth+length+4, y+barHeight-1, "start", formatRate(rate))
	}
}

func (p *svgPlot) drawReferenceLine(rate, scale float64, stroke, label string) {
	x := labelWidth + rate*scale
	p.Lines = append(p.Lines, svgLine{X1: x, Y1: headerHeight - 8, X2: x, Y2: float64(p.Height), Stroke: stroke})
	labelY := 34.0
	if label == "threshold" {
		labelY = 50
	}
	p.text(x, labelY, "middle", fmt.Sprintf("%s (%g)", label, rate))
}

func (p *svgPlot) text(x, y float64, anchor, text string) {
	p.Texts = append(p.Texts, svgText{X: x, Y: y, Anchor: anchor, Text: text})
}

func windowColor(i int) string { return windowColors[i%len(windowColors)] }

func formatRate(rate Rate) string {
	if rate.Total == 0 {
		return "no data"
	}
	return fmt.Sprintf("%.2f", rate.Burn)
}

// FormatWindow formats the duration of a window as operators write it, such as 10m or 6h.
func FormatWindow(window time.Duration) string {
	if window%time.Hour == 0 {
		return fmt.Sprintf("%dh", window/time.Hour)
	}
	if window%time.Minute == 0 {
		return fmt.Sprintf("%dm", window/time.Minute)
	}
	return window.String()
}
