package trials_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// binDir is the directory with the built programs.
var binDir string

func TestTrials(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Trials Suite")
}

var _ = BeforeSuite(func() {
	dir, err := os.MkdirTemp("", "hornbeamwinch-trials-")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(os.RemoveAll, dir)
	binDir = dir
	for _, program := range []string{"hornbeamwinchd", "hornbeamwinch", "standin"} {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, program), "hornbeamwinch.example/cmd/"+program)
		output, err := build.CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(output))
	}
})
