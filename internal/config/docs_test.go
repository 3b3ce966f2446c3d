package config_test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/outcome"
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
		status := (&apierror.Error{Kind: kind, Outcome: outcome.NotRun}).HTTPStatus()
		g.Expect(string(page)).To(gomega.ContainSubstring(fmt.Sprintf("| `%s` | %d |", kind, status)))
		mayHaveRun := (&apierror.Error{Kind: kind}).HTTPStatus()
		g.Expect(mayHaveRun).To(gomega.BeElementOf(status, http.StatusBadGateway), "as the page says above the table")
	}
	g.Expect(string(page)).To(gomega.ContainSubstring("where an error of such a kind ends a request that may have run, its status is 502"))
}
