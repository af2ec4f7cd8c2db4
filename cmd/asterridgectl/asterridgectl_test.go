package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"asterridge/golden"
)

// Each command line parses to the recorded query, order or syntax error.
func TestCommandsParseAsRecorded(t *testing.T) {
	var out strings.Builder
	for _, line := range []string{
		`show holds`, `show holds where scope = "x y" and remaining_ms > 500`, `show backlog where waiting != 0`, `why request ABC`, `why hold a`,
		`create tenant b`, `create tenant b walled = true, weight = 3`, `set path x deadline_ms = 500, model = "7"`, `set hold cap_ms=2000`,
		`remove pool p`, `accept weights w2 for p`, `grant key k to a`, `revoke key "k 2" of a`, `apply f.json expect 7`, `merge f.json`, `admit core core-5`, `retire core core-3`, `admit agent x`, `help`,
		``, `shows`, `show`, `show clouds`, `show holds were a = 1`, `show holds where a`, `show holds where a ~ 1`, `show holds where a = `, `why`,
		`why tenant a`, `create hold x = 1`, `create tenant`, `set tenant a`, `set tenant a weight`, `set tenant a weight = ,`, `create tenant a b`,
		`accept weights w2`, `accept weights w2 for p now`, `apply f expect many`, `grant key "k`, `show holds where a ! 1`, `remove tenant a, b`,
		`create adapter huts base = ridge-1`, `set adapter huts base = ridge-2`, `remove adapter huts`, `accept build b2 of huts for ridge-2`, `retire model ridge-1 for ridge-2`,
		`undo retirement`, `undo retirement of ridge-1`, `show retirement where kind = replica`, `show adapters`, `accept build b2 for ridge-2`, `retire model ridge-1`, `admit model x`, `undo model`,
	} {
		c, err := parse(line)
		fmt.Fprintf(&out, "%s\n", line)
		switch {
		case err != nil:
			fmt.Fprintf(&out, "  %v\n", err)
		case c.query != nil:
			raw, _ := json.Marshal(c.query)
			fmt.Fprintf(&out, "  query %s\n", raw)
		case c.help || c.quit:
			fmt.Fprintf(&out, "  help\n")
		default:
			raw, _ := json.Marshal(c.body)
			fmt.Fprintf(&out, "  order %s %s%s\n", c.order, raw, c.file)
		}
	}
	golden.Compare(t, "testdata/commands.txt", out.String())
}

// parse returns on any input without a panic.
func FuzzParse(f *testing.F) {
	f.Add(`show holds where scope = "x" and a > 1`)
	f.Add(`set tenant a weight = 3, walled = true`)
	f.Fuzz(func(_ *testing.T, line string) { _, _ = parse(line) }) // only a panic or a hang fails this test
}
