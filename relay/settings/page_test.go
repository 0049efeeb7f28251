package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"
)

// Guards against a setting that docs/settings.md lacks or lists with another
// default.
func TestSettingsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	require.NoError(t, err)
	s := Defaults()
	for _, flag := range Flags(&s) {
		documented := flag.(cli.DocGenerationFlag)
		name := flag.Names()[0]
		require.Contains(t, string(page), fmt.Sprintf("| `--%s` | `%s` | %s |", name, EnvVar(name), strings.Trim(documented.GetValue(), `"`)), name)
	}
}
