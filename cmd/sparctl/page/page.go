// Package page renders a time line of events as one self-contained HTML page with a lane for each node.
package page

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"time"

	spar "sardinespar.example/spar"
)

//go:embed page.html
var pageHTML string

var compiled = template.Must(template.New("page").Parse(pageHTML))

// Dimensions of the drawing in pixels, and the number of intervals on its time axis.
const (
	leftMargin = 240
	width      = 1100
	laneHeight = 22
	topMargin  = 40
	gridLines  = 10
)

// The exported fields of the following types are used by page.html.

// mark is one event in the drawing.
type mark struct {
	X, Y  int
	Color string
	Kind  string
	Title string
}

// arrow is the move of a slot from one node to another.
type arrow struct {
	X1, Y1, X2, Y2 int
	Color          string
	Title          string
}

// lane is the row of one node. Text is the y coordinate of its label.
type lane struct {
	Node  spar.NodeID
	Zone  spar.Zone
	Y     int
	Shade string
	Text  int
}

// tick is a labeled vertical line: a time on the axis, or a change by operators.
type tick struct {
	X     int
	Label string
}

// legend is a kind of event with its color and number of events.
type legend struct {
	Kind  string
	Color string
	Count int
}

// row is one event in the table below the drawing.
type row struct {
	Time, Node, Kind, Text string
}

// drawing is the data of the page template.
type drawing struct {
	Width, Height, Left, Top, Bottom int
	From, To                         string
	Lanes                            []lane
	Marks                            []mark
	Arrows                           []arrow
	Ticks                            []tick
	// Bands are the changes by operators.
	Bands   []tick
	Legend  []legend
	Rows    []row
	Missing []spar.NodeID
}

// Write writes the page for events in causal order. Lanes are sorted by zone, then by node.
// Nodes in missing did not report their events.
func Write(w io.Writer, events []spar.Event, missing []spar.NodeID, zones map[spar.NodeID]spar.Zone) error {
	if err := compiled.Execute(w, newDrawing(events, missing, zones)); err != nil {
		return fmt.Errorf("render page: %w", err)
	}

	return nil
}

func newDrawing(events []spar.Event, missing []spar.NodeID, zones map[spar.NodeID]spar.Zone) drawing {
	lanes := newLanes(events, zones)
	d := drawing{
		Width: leftMargin + width + 20, Height: topMargin + laneHeight*len(lanes) + 20, Left: leftMargin, Top: topMargin,
		Bottom: topMargin + laneHeight*len(lanes), Lanes: lanes, Missing: missing,
	}

	if len(events) == 0 {
		return d
	}

	from, to := events[0].Timestamp.Wall, events[len(events)-1].Timestamp.Wall
	d.From, d.To = formatTime(from), formatTime(to)
	span := max(1, to-from)
	x := func(wall int64) int { return leftMargin + int((wall-from)*width/span) }

	for i := range gridLines + 1 {
		at := from + span*int64(i)/gridLines
		d.Ticks = append(d.Ticks, tick{X: x(at), Label: fmt.Sprintf("+%.1f s", float64(at-from)/1000)})
	}

	y := map[spar.NodeID]int{}
	for _, l := range lanes {
		y[l.Node] = l.Y + laneHeight/2
	}

	for _, e := range events {
		d.add(e, x(e.Timestamp.Wall), y)
	}

	return d
}

// add draws one event: a mark in its node's lane, an arrow if a slot has a new owner, and a line across
// all lanes if it is a change by operators.
func (d *drawing) add(e spar.Event, x int, y map[spar.NodeID]int) {
	at, color, text := formatTime(e.Timestamp.Wall), colorOf(e.Kind), describe(e)
	d.Marks = append(d.Marks, mark{X: x, Y: y[e.Node], Color: color, Kind: string(e.Kind), Title: at + " " + text})
	d.Rows = append(d.Rows, row{Time: at, Node: string(e.Node), Kind: string(e.Kind), Text: text})

	if e.Peer != "" && (e.Kind == spar.EventMoved || e.Kind == spar.EventTakeover) {
		a := arrow{X1: x, Y1: y[e.Node], X2: x + 6, Y2: y[e.Peer], Color: color, Title: at + " " + text}
		if e.Kind == spar.EventTakeover {
			a.Y1, a.Y2 = a.Y2, a.Y1
		}

		d.Arrows = append(d.Arrows, a)
	}

	if e.Kind == spar.EventZone || e.Kind == spar.EventServer {
		d.Bands = append(d.Bands, tick{X: x, Label: e.Detail})
	}

	for i := range d.Legend {
		if d.Legend[i].Kind == string(e.Kind) {
			d.Legend[i].Count++

			return
		}
	}

	d.Legend = append(d.Legend, legend{Kind: string(e.Kind), Color: color, Count: 1})
}

// newLanes returns a lane for each node that is in zones or that an event names.
func newLanes(events []spar.Event, zones map[spar.NodeID]spar.Zone) []lane {
	known := map[spar.NodeID]bool{}

	for id := range zones {
		known[id] = true
	}

	for _, e := range events {
		known[e.Node] = true

		if e.Peer != "" {
			known[e.Peer] = true
		}
	}

	lanes := make([]lane, 0, len(known))
	for id := range known {
		lanes = append(lanes, lane{Node: id, Zone: zones[id]})
	}

	slices.SortFunc(lanes, func(a, b lane) int {
		if a.Zone != b.Zone {
			return strings.Compare(string(a.Zone), string(b.Zone))
		}

		return strings.Compare(string(a.Node), string(b.Node))
	})

	shades, next := map[spar.Zone]string{}, 0

	for i := range lanes {
		if _, ok := shades[lanes[i].Zone]; !ok {
			shades[lanes[i].Zone] = zoneShades[next%len(zoneShades)]
			next++
		}

		lanes[i].Y, lanes[i].Shade = topMargin+laneHeight*i, shades[lanes[i].Zone]
		lanes[i].Text = lanes[i].Y + laneHeight - 7
	}

	return lanes
}

var zoneShades = []string{"#eaf2fb", "#fdf3e4", "#eaf7ec", "#f6ecf8", "#f3f3f3"}

// colorOf returns the color for a kind of event: blue for changes of owners, red for failures, green for
// starts and recoveries, orange for load and refusals, and violet for changes by operators.
func colorOf(k spar.EventKind) string {
	switch k {
	case spar.EventAssigned, spar.EventMoveBegun, spar.EventMoved:
		return "#1f6fb2"
	case spar.EventTakeover, spar.EventLeaseLost, spar.EventSuspected, spar.EventFenced, spar.EventMoveFailed,
		spar.EventStoreDown:
		return "#c0392b"
	case spar.EventStarted, spar.EventRegistered, spar.EventLeaseHeld, spar.EventReturned, spar.EventStoreUp:
		return "#2e8b57"
	case spar.EventShed, spar.EventLimit, spar.EventEjected, spar.EventQuarantined:
		return "#d9822b"
	case spar.EventPreset, spar.EventZone, spar.EventServer:
		return "#8e44ad"
	default:
		return "#666666"
	}
}

// describe returns the content of an event, without its time, as text.
func describe(e spar.Event) string {
	text := string(e.Node) + " " + string(e.Kind)

	if e.Service != "" {
		text += " " + e.Service
	}

	if e.Slot != nil {
		text += fmt.Sprintf(" slot %d", *e.Slot)
	}

	if e.Epoch != 0 {
		text += fmt.Sprintf(" epoch %d", e.Epoch)
	}

	if e.Peer != "" {
		text += " peer " + string(e.Peer)
	}

	if e.Request != "" {
		text += " request " + e.Request
	}

	if e.Detail != "" {
		text += ": " + e.Detail
	}

	return text
}

func formatTime(ms int64) string {
	return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05.000Z")
}
