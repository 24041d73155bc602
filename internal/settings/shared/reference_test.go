package shared_test

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/settings/agent"
	"github.com/mulberryspool/mulberryspool/internal/settings/decode"
	"github.com/mulberryspool/mulberryspool/internal/settings/entry"
)

// Checks that the operating manual lists every setting with its default, so
// that neither is added or changed without the manual.
func TestReferenceListsEverySetting(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "operating.md"))
	if err != nil {
		t.Fatal(err)
	}
	rows := make(map[string]string)
	for line := range strings.Lines(string(page)) {
		if cells := strings.Split(line, " | "); len(cells) == 3 {
			rows[strings.Trim(cells[0], "| `")] = cells[1]
		}
	}
	for role, defaults := range map[string]any{"entry": entry.Defaults(), "agent": agent.Defaults()} {
		checkRows(t, rows, role, "", reflect.ValueOf(defaults))
	}
}

// checkRows compares the fields of a settings section with the rows of the manual.
func checkRows(t *testing.T, rows map[string]string, role, prefix string, section reflect.Value) {
	t.Helper()
	for i := range section.NumField() {
		name, _, _ := strings.Cut(section.Type().Field(i).Tag.Get("yaml"), ",")
		key, value := prefix+name, section.Field(i)
		if value.Kind() == reflect.Struct {
			checkRows(t, rows, role, key+".", value)
			continue
		}
		documented, ok := rows[key]
		if !ok {
			t.Errorf("setting %s is not documented", key)
			continue
		}
		if !value.IsZero() && !matchesDefault(defaultForRole(documented, role), value.Interface()) {
			t.Errorf("setting %s has the default %v, documented is %s", key, value.Interface(), documented)
		}
	}
}

// defaultForRole returns the role's value from a text such as "4096 entry, 256
// agent". A text that names no roles is returned unchanged.
func defaultForRole(documented, role string) string {
	for part := range strings.SplitSeq(documented, ", ") {
		if value, found := strings.CutSuffix(part, " "+role); found {
			return value
		}
	}
	return documented
}

// matchesDefault reports whether the documented default equals the value.
func matchesDefault(documented string, value any) bool {
	switch v := value.(type) {
	case time.Duration:
		d, err := time.ParseDuration(documented)
		return err == nil && d == v
	case decode.Size:
		size, err := decode.ParseSize(documented)
		return err == nil && size == v
	case decode.Rate:
		rate, err := decode.ParseRate(documented)
		return err == nil && rate == v
	}
	return documented == fmt.Sprint(value)
}
