package share_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/coord/share"
)

func TestVanishedHostsCountForAWhile(t *testing.T) {
	g := gomega.NewWithT(t)
	m := share.Members{MissingHostTTL: time.Minute}
	m.Set(epoch, []string{"c", "b", "a"}, nil)
	g.Expect(m.Counted(epoch.Add(time.Hour))).To(gomega.Equal([]string{"a", "b", "c"}))
	gone := epoch.Add(time.Hour)
	m.Set(gone, []string{"a"}, []string{"c"})
	g.Expect(m.Counted(gone.Add(59 * time.Second))).To(gomega.Equal([]string{"a", "b"}))
	g.Expect(m.Counted(gone.Add(time.Minute))).To(gomega.Equal([]string{"a"}))
}

// Without a time to retire, the present list still counts later.
func TestListedHostsAlwaysCount(t *testing.T) {
	g := gomega.NewWithT(t)
	var m share.Members
	m.Set(epoch, []string{"a", "b"}, nil)
	g.Expect(m.Counted(epoch.Add(time.Nanosecond))).To(gomega.Equal([]string{"a", "b"}))
}
