// Command worth prints a table of the standard days from the journal of the bench:
// the first and the last full score of each site, with what the largest prices took.
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

// run is one entry of the journal.
type run struct {
	Command string `json:"cmd"`
	Site    string `json:"site"`
	Reason  string `json:"why"`
	Days    []day  `json:"days"`
}

type day struct {
	Name        string             `json:"name"`
	Slot        string             `json:"slot"`
	Worth       float64            `json:"G"`
	Served      float64            `json:"served"`
	BrokenRules map[string]float64 `json:"rules"`
	Components  [][]any            `json:"parts"`  // Name, weight, value.
	Prices      [][]any            `json:"prices"` // Name, amount, worth that it took.
}

// drawn begins the names of days that were drawn for one run and are no standard days.
const drawn = "fresh-"

// pricesShown is how many prices a row names, the largest first.
const pricesShown = 3

func main() {
	if err := write(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "worth:", err)
		os.Exit(1)
	}
}

func write(args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("want the folder of the journal")
	}
	files, err := filepath.Glob(filepath.Join(args[0], "*.json"))
	if err != nil {
		return err
	}
	slices.Sort(files) // Names begin with the time.
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
		if r.Command != "score" || len(r.Days) == 0 {
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
		table(site, first[site], last[site])
	}
	return nil
}

func table(site string, first, last run) {
	fmt.Printf("\n## %s\n\nLast run: %s.\n\n", site, cmp.Or(last.Reason, "no reason given"))
	fmt.Println("| day | worth, first | worth, last | served | rules broken | binds most | largest prices |")
	fmt.Println("|---|---|---|---|---|---|---|")
	before := map[string]float64{}
	for _, d := range first.Days {
		before[d.Name] = d.Worth
	}
	sum, days := 0.0, 0
	for _, d := range last.Days {
		earlier := "-"
		if w, ok := before[d.Name]; ok {
			earlier = fmt.Sprintf("%.3f", w)
		}
		fmt.Printf("| %s | %s | %.3f | %.3f | %s | %s | %s |\n",
			d.Name, earlier, d.Worth, d.Served, d.broken(), d.weakest(), d.largest())
		if d.Slot != "quiet" && !strings.HasPrefix(d.Name, drawn) {
			sum += d.Worth
			days++
		}
	}
	if days > 0 {
		fmt.Printf("\nMean worth of the %d standard days with trouble: %.3f.\n", days, sum/float64(days))
	}
}

func (d day) broken() string {
	names := make([]string, 0, len(d.BrokenRules))
	for name := range d.BrokenRules {
		names = append(names, name)
	}
	slices.Sort(names)
	return cmp.Or(strings.Join(names, ", "), "none")
}

// weakest names the part that takes most off a full mark.
func (d day) weakest() string {
	worst, most := "", 0.0
	for _, p := range d.Components {
		name, weight, value := triple(p)
		if lost := weight * (1 - value); lost > most {
			worst, most = fmt.Sprintf("%s %.2f (-%.3f)", name, value, lost), lost
		}
	}
	return worst
}

func (d day) largest() string {
	prices := slices.Clone(d.Prices)
	slices.SortFunc(prices, func(a, b []any) int {
		_, _, x := triple(a)
		_, _, y := triple(b)
		return cmp.Compare(y, x)
	})
	var out []string
	for _, p := range prices[:min(pricesShown, len(prices))] {
		name, _, taken := triple(p)
		out = append(out, fmt.Sprintf("%s %.3f", name, taken))
	}
	return strings.Join(out, "; ")
}

// triple returns the fields of a row; a row of another form gives zero values.
func triple(row []any) (name string, a, b float64) {
	if len(row) != 3 {
		return "", 0, 0
	}
	name, _ = row[0].(string)
	a, _ = row[1].(float64)
	b, _ = row[2].(float64)
	return name, a, b
}
