package main

import (
	"errors"
	"os"
	"time"

	"pomelofork/core/burn"
	"pomelofork/io/chart"
	"pomelofork/io/scrape"
)

// burnHistory collects the burn rates of all objectives over time, for the chart.
type burnHistory struct {
	// window is the length of time before each point over which its burn rate is computed.
	window time.Duration
	// start is the time of the first round.
	start time.Time
	// points holds the burn rates of each objective, and objectives their order.
	points     map[burn.ID][]chart.Point
	objectives []burn.ID
}

// add appends the burn rates as of the last round that was added to the budgets.
func (h *burnHistory) add(budgets *scrape.Budgets) {
	now := budgets.Last()
	if h.points == nil {
		h.start, h.points = now, map[burn.ID][]chart.Point{}
	}
	for _, budget := range budgets.All() {
		id := budget.Objective().ID
		if len(h.points[id]) == 0 {
			h.objectives = append(h.objectives, id)
		}
		h.points[id] = append(h.points[id], chart.Point{X: now.Sub(h.start).Seconds(), Y: budget.Burn(now, h.window).Burn()})
	}
}

// writeChart writes the chart to a PNG file.
func (h *burnHistory) writeChart(path string) error {
	picture := chart.Picture{
		Title:           "Burn rate of the error budgets, over the last " + h.window.String(),
		XLabel:          "seconds",
		YLabel:          "burn rate (1 uses up the budget exactly)",
		HorizontalLines: []float64{1, burn.Rules()[0].Threshold},
	}
	for _, id := range h.objectives {
		picture.Series = append(picture.Series, chart.Series{Name: string(id), Points: h.points[id]})
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(picture.WritePNG(file), file.Close())
}
