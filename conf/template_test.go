package conf

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"
)

// platformFields are the fields from which the platform fills in the template of the
// settings. Numbers are fractions where the platform may hand out any number.
const platformFields = `{
"node":"edge-1","zone":"north-b","ip":"10.0.0.1",
"listen":{"front":"10.0.0.1:8144","ready":"10.0.0.1:8140","control":"10.0.0.1:8146","directory":"10.0.0.1:8143"},
"internal-ports":[7660,7675],"seeds":["10.0.0.1:8146","10.0.0.2:8146"],"zones":{"north-a":"north","north-b":"north"},
"platform":{"address":"10.9.0.1:8142"},"heartbeat":"1500ms",
"limits":{"memory-mb":%s},
"bounds":{"retry-budget-ratio":%s,"retry-budget-slack":%s,"floor-share":%s,"grace":%q,"config-apply":"2000ms","drain":"2500ms"}}`

var (
	sectionPattern     = regexp.MustCompile(`\{\{#([^}]+)\}\}(.*?)\{\{/[^}]+\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`)
)

// renderTemplate fills in the template of deploy/settings.json as the platform does, for
// the placeholders that it uses.
func renderTemplate(t *testing.T, fields string) []byte {
	t.Helper()
	text, err := os.ReadFile("../deploy/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	var root map[string]any
	decoder := json.NewDecoder(strings.NewReader(fields))
	decoder.UseNumber()
	if err := decoder.Decode(&root); err != nil {
		t.Fatal(err)
	}
	lookUp := func(path string) any {
		var v any = root
		for name := range strings.SplitSeq(path, ".") {
			switch node := v.(type) {
			case map[string]any:
				v = node[name]
			case []any:
				v = node[0] // The template uses the first entry only.
			}
		}
		return v
	}
	filled := sectionPattern.ReplaceAllStringFunc(string(text), func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		var items []string
		add := func(key string, value any) {
			encoded, _ := json.Marshal(value)
			items = append(items, strings.NewReplacer("{{@}}", key, "{{.|json}}", string(encoded), "{{.}}", fmt.Sprint(value), "{{,}}", "").Replace(parts[2]))
		}
		switch list := lookUp(parts[1]).(type) {
		case []any:
			for i, value := range list {
				add(fmt.Sprint(i), value)
			}
		case map[string]any:
			for key, value := range list {
				add(key, value)
			}
		case json.Number:
			add("", list)
		}
		return strings.Join(items, ",")
	})
	return []byte(placeholderPattern.ReplaceAllStringFunc(filled, func(p string) string {
		parts := placeholderPattern.FindStringSubmatch(p)
		value := lookUp(parts[1])
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, _ := json.Marshal(value)
		return string(encoded)
	}))
}

// Guards against settings that no VM starts with because the platform states a bound as a
// fraction, and against a shutdown that takes longer than the platform waits.
func TestTemplateAcceptsAnyNumber(t *testing.T) {
	for _, c := range []struct {
		memory, ratio, slack, floor, grace string
		stay, deadline                     time.Duration
	}{
		{"648", "0.2", "62", "0.7", "6s", 3 * time.Second, 2600 * time.Millisecond},
		{"418.46153846153846", "0.215", "48.46153846153846", "0.705", "6000ms", 3 * time.Second, 2600 * time.Millisecond},
		{"null", "0.2", "6.3e2", "1", "10s", 3 * time.Second, 6600 * time.Millisecond},
		{"6.48e2", "0", "0", "0", "1.5s", 750 * time.Millisecond, 500 * time.Millisecond},
	} {
		s, err := Parse(renderTemplate(t, fmt.Sprintf(platformFields, c.memory, c.ratio, c.slack, c.floor, c.grace)))
		if err != nil {
			t.Errorf("bounds %s, %s, %s, %s: %v", c.ratio, c.slack, c.floor, c.grace, err)
			continue
		}
		if stay, deadline := s.Drain.ServeTime.Std(), s.Drain.Timeout.Std(); !near(stay, c.stay) || !near(deadline, c.deadline) {
			t.Errorf("grace %s: serves for %v and waits for %v, want %v and %v", c.grace, stay, deadline, c.stay, c.deadline)
		}
		if total := (s.Drain.ServeTime + s.Drain.Timeout).Std(); total >= s.Drain.KillAfter.Std() {
			t.Errorf("grace %s: no time is left for the exit after %v", c.grace, total)
		}
	}
}

func near(a, b time.Duration) bool { return (a - b).Abs() < time.Millisecond }
