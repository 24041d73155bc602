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

// Guards against settings and defaults that the reference leaves out or has wrong.
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
	for _, defaults := range []any{entry.Defaults(), agent.Defaults()} {
		checkRows(t, rows, "", reflect.ValueOf(defaults))
	}
}

func checkRows(t *testing.T, rows map[string]string, prefix string, section reflect.Value) {
	t.Helper()
	for i := range section.NumField() {
		name, _, _ := strings.Cut(section.Type().Field(i).Tag.Get("yaml"), ",")
		key, value := prefix+name, section.Field(i)
		if value.Kind() == reflect.Struct {
			checkRows(t, rows, key+".", value)
			continue
		}
		documented, ok := rows[key]
		if !ok {
			t.Errorf("setting %s is not documented", key)
			continue
		}
		if !value.IsZero() && !shows(documented, value.Interface()) {
			t.Errorf("setting %s has the default %v, documented is %s", key, value.Interface(), documented)
		}
	}
}

// shows reports whether the documented default is the value; a text such as
// "4096 entry, 256 agent" shows both.
func shows(documented string, value any) bool {
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
	return documented == fmt.Sprint(value) || strings.Contains(documented, fmt.Sprint(value)+" ")
}
