// Command worth prints, for each site, a table of the worth of the standard days: the first
// and the last full score in the journal of the bench, with the largest prices.
//
//	go run ./tools/worth journal > docs/worth.md
package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// run is a journal entry of one run of the bench.
type run struct {
	Command   string   `json:"cmd"`
	Arguments []string `json:"argv"`
	Site      string   `json:"site"`
	Reason    string   `json:"why"`
	Days      []day    `json:"days"`
}

// smallFlag marks a score of days at a small size, which has other marks.
const smallFlag = "--small"

// day is the score of one simulated day.
type day struct {
	Name        string             `json:"name"`
	Slot        string             `json:"slot"`
	Worth       float64            `json:"G"`
	Served      float64            `json:"served"`
	BrokenRules map[string]float64 `json:"rules"`
	Components  [][]any            `json:"parts"`  // Name, weight, value.
	Prices      [][]any            `json:"prices"` // Name, amount, worth that it cost.
}

// randomDayPrefix begins the names of days that were drawn at random for one run. They are
// not standard days and not part of the mean.
const randomDayPrefix = "fresh-"

// maxPricesShown is how many prices a row lists, the largest first.
const maxPricesShown = 3

func main() {
	if err := printTables(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "worth:", err)
		os.Exit(1)
	}
}

// printTables prints the tables of all sites, from the journal in the directory args[0].
func printTables(args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("want the folder of the journal")
	}
	files, err := filepath.Glob(filepath.Join(args[0], "*.json"))
	if err != nil {
		return err
	}
	slices.Sort(files) // File names begin with the time of the run.
	first, last := map[string]run{}, map[string]run{}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		var r run
		if err := json.Unmarshal(data, &r); err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		if r.Command != "score" || len(r.Days) == 0 || slices.Contains(r.Arguments, smallFlag) {
			continue
		}
		if _, known := first[r.Site]; !known {
			first[r.Site] = r
		}
		last[r.Site] = r
	}
	fmt.Print("# Worth of the standard days\n\nMade by `go run ./tools/worth journal > docs/worth.md` from the " +
		"journal: the first and\nthe last score of each site.\n")
	sites := make([]string, 0, len(last))
	for site := range last {
		sites = append(sites, site)
	}
	slices.Sort(sites)
	for _, site := range sites {
		printTable(site, first[site], last[site])
	}
	return nil
}

// printTable prints the table of one site and the mean worth of its standard days that have
// trouble.
func printTable(site string, first, last run) {
	fmt.Printf("\n## %s\n\nLast run: %s.\n\n", site, cmp.Or(last.Reason, "no reason given"))
	fmt.Println("| day | worth, first | worth, last | served | rules broken | binds most | largest prices |")
	fmt.Println("|---|---|---|---|---|---|---|")
	firstWorth := map[string]float64{}
	for _, d := range first.Days {
		firstWorth[d.Name] = d.Worth
	}
	sum, days := 0.0, 0
	for _, d := range last.Days {
		worthBefore := "-"
		if w, ok := firstWorth[d.Name]; ok {
			worthBefore = fmt.Sprintf("%.3f", w)
		}
		fmt.Printf("| %s | %s | %.3f | %.3f | %s | %s | %s |\n",
			d.Name, worthBefore, d.Worth, d.Served, d.formatBrokenRules(), d.formatWorstComponent(), d.formatLargestPrices())
		if d.Slot != "quiet" && !strings.HasPrefix(d.Name, randomDayPrefix) {
			sum += d.Worth
			days++
		}
	}
	if days > 0 {
		fmt.Printf("\nMean worth of the %d standard days with trouble: %.3f.\n", days, sum/float64(days))
	}
}

func (d day) formatBrokenRules() string {
	names := make([]string, 0, len(d.BrokenRules))
	for name := range d.BrokenRules {
		names = append(names, name)
	}
	slices.Sort(names)
	return cmp.Or(strings.Join(names, ", "), "none")
}

// formatWorstComponent returns the component that costs most of the full score, with its
// value and cost, or "" if none costs any.
func (d day) formatWorstComponent() string {
	worst, maxLoss := "", 0.0
	for _, p := range d.Components {
		name, weight, value := rowFields(p)
		if loss := weight * (1 - value); loss > maxLoss {
			worst, maxLoss = fmt.Sprintf("%s %.2f (-%.3f)", name, value, loss), loss
		}
	}
	return worst
}

func (d day) formatLargestPrices() string {
	prices := slices.Clone(d.Prices)
	slices.SortFunc(prices, func(a, b []any) int {
		_, _, x := rowFields(a)
		_, _, y := rowFields(b)
		return cmp.Compare(y, x)
	})
	var out []string
	for _, p := range prices[:min(maxPricesShown, len(prices))] {
		name, _, cost := rowFields(p)
		out = append(out, fmt.Sprintf("%s %.3f", name, cost))
	}
	return strings.Join(out, "; ")
}

// rowFields returns the fields of a row, or zero values if the row does not have three fields.
func rowFields(row []any) (name string, a, b float64) {
	if len(row) != 3 {
		return "", 0, 0
	}
	name, _ = row[0].(string)
	a, _ = row[1].(float64)
	b, _ = row[2].(float64)
	return name, a, b
}
