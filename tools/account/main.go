// Command account reads the logs of entry VMs from standard input and prints where the
// requests that were not served ended, by cause and service, and the seconds with most of
// them. It needs the lines of level info: one for each request whose first attempt did not
// succeed. Lines may begin with a time in seconds and the name of the VM, as the users'
// bench prints them.
//
//	go run ./tools/account < day.log
package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
)

// line is the log line of a request.
type line struct {
	Message  string    `json:"message"`
	Service  string    `json:"service"`
	Fault    string    `json:"fault"`
	Status   int       `json:"status"`
	Waited   float64   `json:"waited"` // For admission, in milliseconds.
	Attempts []attempt `json:"attempts"`
}

type attempt struct {
	Weight float64 `json:"weight"`
	Status int     `json:"status"`
	Fault  string  `json:"fault"`
}

const (
	// queuedFor is the time from which a request counts as having waited for admission, in
	// milliseconds.
	queuedFor = 10
	// soundWeight is the weight from which a server counts as sound when it was chosen, see
	// pick.MinReliableWeight.
	soundWeight = 0.5
	// worstShown is how many seconds are listed, those with most requests not served first.
	worstShown = 10
	// maxLineBytes bounds one line of the logs; longer ones end the run with an error.
	maxLineBytes = 1 << 20
)

// account counts requests.
type account struct {
	causes  map[[2]string]int // Not served, by cause and service.
	seconds map[int]int       // Not served, by second.
	retried int               // Served by a second attempt.
	read    int               // Lines of requests.
}

func main() {
	a, err := readAccount(os.Stdin)
	if err == nil {
		err = a.print(os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "account:", err)
		os.Exit(1)
	}
}

func readAccount(r io.Reader) (*account, error) {
	a := &account{causes: map[[2]string]int{}, seconds: map[int]int{}}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		prefix, text, ok := strings.Cut(lines.Text(), "{")
		if !ok {
			continue
		}
		var l line
		if json.Unmarshal([]byte("{"+text), &l) != nil {
			continue // Other output than logs may hold a brace.
		}
		a.add(prefix, l)
	}
	return a, lines.Err()
}

// add counts the line of a request. Requests that no route allows are not owed a service.
func (a *account) add(prefix string, l line) {
	served := l.Message == "request completed"
	if !served && l.Message != "request refused" || l.Service == "" {
		return
	}
	a.read++
	if served && l.Status < http.StatusInternalServerError {
		a.retried++
		return
	}
	a.causes[[2]string{l.cause(), l.Service}]++
	if fields := strings.Fields(prefix); len(fields) > 0 {
		if second, err := strconv.ParseFloat(fields[0], 64); err == nil {
			a.seconds[int(second)]++
		}
	}
}

// cause returns where a request that was not served ended.
func (l line) cause() string {
	if len(l.Attempts) == 0 {
		if l.Waited >= queuedFor {
			return "not sent, waited: " + l.Fault
		}
		return "not sent, refused at once: " + l.Fault
	}
	last := l.Attempts[len(l.Attempts)-1]
	end := cmp.Or(last.Fault, fmt.Sprint("status ", last.Status))
	if l.Fault != "" {
		end = l.Fault // "Timeout" of a request whose last attempt was abandoned.
	}
	server := "sound"
	if last.Weight < soundWeight {
		server = "doubtful"
	}
	tries := "one attempt"
	if len(l.Attempts) > 1 {
		tries = "all attempts"
	}
	return fmt.Sprintf("%s at a %s server: %s", tries, server, end)
}

func (a *account) print(w io.Writer) error {
	total := 0
	for _, n := range a.causes {
		total += n
	}
	out := &strings.Builder{}
	fmt.Fprintf(out, "%d requests not served, %d served by a second attempt, of %d with a line.\n\n", total, a.retried, a.read)
	fmt.Fprintf(out, "| cause | service | requests |\n|---|---|---|\n")
	keys := slices.SortedFunc(maps.Keys(a.causes), func(x, y [2]string) int {
		return cmp.Or(cmp.Compare(a.causes[y], a.causes[x]), slices.Compare(x[:], y[:]))
	})
	for _, k := range keys {
		fmt.Fprintf(out, "| %s | %s | %d |\n", k[0], k[1], a.causes[k])
	}
	fmt.Fprintf(out, "\n| second | requests not served |\n|---|---|\n")
	worst := slices.SortedFunc(maps.Keys(a.seconds), func(x, y int) int {
		return cmp.Or(cmp.Compare(a.seconds[y], a.seconds[x]), cmp.Compare(x, y))
	})
	for _, s := range worst[:min(worstShown, len(worst))] {
		fmt.Fprintf(out, "| %d | %d |\n", s, a.seconds[s])
	}
	_, err := io.WriteString(w, out.String())
	return err
}
