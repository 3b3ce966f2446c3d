package config_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/apierror"
	"github.com/plantainrun/plantainrun/internal/config"
)

const operationsPage = "../../docs/OPERATIONS.md"

// settingsRows renders the settings table of the operations page from the flag
// definitions.
func settingsRows() []string {
	var s config.Settings
	var rows []string
	for _, group := range flags.NewParser(&s, flags.None).Groups()[0].Groups() {
		for _, o := range group.Options() {
			rows = append(rows, fmt.Sprintf("| `--%s` | `%s` | %s | %s |", o.LongName, o.EnvKeyWithNamespace(), strings.Join(o.Default, ","), o.Description))
		}
	}
	return rows
}

func TestOperationsPageHasAllSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile(operationsPage)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	rows := settingsRows()
	g.Expect(rows).NotTo(gomega.BeEmpty())
	for _, row := range rows {
		g.Expect(string(page)).To(gomega.ContainSubstring(row + "\n"))
	}
	g.Expect(strings.Count(string(page), "| `--")).To(gomega.Equal(len(rows)), "the page lists flags that do not exist")
}

func TestOperationsPageHasAllErrorKinds(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile(operationsPage)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, kind := range apierror.Kinds() {
		status := (&apierror.Error{Kind: kind}).HTTPStatus()
		g.Expect(string(page)).To(gomega.ContainSubstring(fmt.Sprintf("| `%s` | %d |", kind, status)))
	}
}
