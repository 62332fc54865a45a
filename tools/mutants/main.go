// Mutants is a mutation test runner. For each mutant in mutants.json, it removes
// one mechanism from a scratch copy of the repository and runs the test that must
// fail without it.
//
// # Usage
//
//	cd tools && GOWORK=off go run ./mutants -repo .. [-only NAME]
//
// It exits with 1 if a test passes without the mechanism, if a mutant no longer
// applies to the code, or if a command fails without a failed test.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// mutant is a change of a source file that removes one mechanism.
type mutant struct {
	Name string `json:"name"`
	File string `json:"file"`
	// Old is replaced by New. It must occur in the file exactly once.
	Old string `json:"old"`
	New string `json:"new"`
	// Test is the command that must fail, with its arguments.
	Test []string `json:"test"`
}

func main() {
	repo := flag.String("repo", "..", "repository")
	only := flag.String("only", "", "run only the mutant of this name")
	flag.Parse()
	mutants, err := load(filepath.Join(*repo, "tools", "mutants", "mutants.json"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	failed := false
	for _, m := range mutants {
		if *only != "" && m.Name != *only {
			continue
		}
		start := time.Now()
		result, err := runTest(*repo, m)
		if err != nil {
			result = err.Error()
		}
		failed = failed || err != nil
		fmt.Printf("%-46s %4.0f s  %s\n", m.Name, time.Since(start).Seconds(), result)
	}
	if failed {
		os.Exit(1)
	}
}

func load(file string) ([]mutant, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var mutants []mutant
	return mutants, json.Unmarshal(text, &mutants)
}

var (
	errSurvived = errors.New("SURVIVED: the test passes without the mechanism")
	errStale    = errors.New("STALE: the text to replace is not in the file exactly once")
)

// runTest applies m to a scratch copy of the repository and runs its test. It
// returns the first failure of the test, or an error if no test failed.
func runTest(repo string, m mutant) (string, error) {
	scratch, err := os.MkdirTemp("", "mutant-")
	if err != nil {
		return "", err
	}
	defer func() { _ = os.RemoveAll(scratch) }()
	copyFiles := exec.Command("sh", "-c", "git ls-files -z | xargs -0 cp --parents -t "+scratch)
	copyFiles.Dir = repo
	if output, err := copyFiles.CombinedOutput(); err != nil {
		return "", fmt.Errorf("copy repository: %w: %s", err, output)
	}
	if err := apply(scratch, m); err != nil {
		return "", err
	}
	test := exec.Command(m.Test[0], m.Test[1:]...)
	test.Dir = scratch
	test.Env = append(os.Environ(), "GOWORK="+filepath.Join(scratch, "go.work"))
	output, err := test.CombinedOutput()
	if err == nil {
		return "", errSurvived
	}
	failure, ok := firstFailure(string(output))
	if !ok {
		return "", fmt.Errorf("BROKEN: no test failed, but the command did: %s", output)
	}
	return "red: " + failure, nil
}

func apply(scratch string, m mutant) error {
	file := filepath.Join(scratch, m.File)
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if strings.Count(string(text), m.Old) != 1 {
		return errStale
	}
	changed := strings.Replace(string(text), m.Old, m.New, 1)
	return os.WriteFile(file, []byte(changed), 0o600)
}

// firstFailure returns the first line of output that names a failed test. A
// command that fails without such a line, for example because the build failed,
// does not show that the test detects the mutant.
func firstFailure(output string) (string, bool) {
	const width = 160
	for _, line := range strings.Split(output, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[FAIL]") {
			return line[:min(len(line), width)], true
		}
	}
	return "", false
}
