package proc_test

import (
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"pomelofork/bench/proc"
)

func TestUsageOfThisProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	for name, pid := range map[string]int{"self": os.Getpid(), "other-self": os.Getpid()} {
		g.Expect(os.WriteFile(filepath.Join(dir, name+".pid"), []byte(strconv.Itoa(pid)+"\n"), 0o600)).To(gomega.Succeed())
	}
	pids, err := proc.PIDs(dir, "sel*")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(pids).To(gomega.Equal(map[string]int{"self": os.Getpid()}))
	before, err := proc.ReadAll(pids)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(os.WriteFile(filepath.Join(dir, "data"), make([]byte, 1<<20), 0o600)).To(gomega.Succeed())
	after, err := proc.ReadAll(pids)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	samples := proc.Between(before, after, time.Second)
	g.Expect(samples).To(gomega.HaveLen(1))
	g.Expect(samples[0].WrittenPerS).To(gomega.BeNumerically(">=", 1<<20))
	g.Expect(samples[0].RSSBytes).To(gomega.BeNumerically(">", 1<<20))
}
