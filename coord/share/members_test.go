package share_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/share"
)

func TestMissingHostsCountUntilTTL(t *testing.T) {
	g := gomega.NewWithT(t)
	m := share.Members{MissingHostTTL: time.Minute}
	m.Set(epoch, []string{"c", "b", "a"}, nil)
	g.Expect(m.Counted(epoch.Add(time.Hour))).To(gomega.Equal([]string{"a", "b", "c"}))
	missingAt := epoch.Add(time.Hour)
	m.Set(missingAt, []string{"a"}, []string{"c"})
	g.Expect(m.Counted(missingAt.Add(59 * time.Second))).To(gomega.Equal([]string{"a", "b"}))
	g.Expect(m.Counted(missingAt.Add(time.Minute))).To(gomega.Equal([]string{"a"}))
}

// With a zero MissingHostTTL, listed hosts still count.
func TestListedHostsAlwaysCount(t *testing.T) {
	g := gomega.NewWithT(t)
	var m share.Members
	m.Set(epoch, []string{"a", "b"}, nil)
	g.Expect(m.Counted(epoch.Add(time.Nanosecond))).To(gomega.Equal([]string{"a", "b"}))
}
