// Mutants shows that the tests fail without the mechanisms that they prove. It
// takes one mechanism at a time out of a scratch copy of the repository and
// runs the test that has to notice.
//
// # Usage
//
//	cd tools && GOWORK=off go run ./mutants -repo .. [-only NAME]
//
// It exits with 1 if a test passes without its mechanism, or if a mutant no
// longer fits the code.
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

// mutant takes one mechanism away.
type mutant struct {
	Name string `json:"name"`
	File string `json:"file"`
	// Old is replaced by New, once.
	Old string `json:"old"`
	New string `json:"new"`
	// Test is the command that has to fail.
	Test []string `json:"test"`
}

func main() {
	repo := flag.String("repo", "..", "repository")
	only := flag.String("only", "", "run this mutant only")
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
		began := time.Now()
		verdict, err := try(*repo, m)
		if err != nil {
			verdict = err.Error()
		}
		failed = failed || err != nil
		fmt.Printf("%-46s %4.0f s  %s\n", m.Name, time.Since(began).Seconds(), verdict)
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

// try applies m to a scratch copy and runs its test.
func try(repo string, m mutant) (string, error) {
	scratch, err := os.MkdirTemp("", "mutant-")
	if err != nil {
		return "", err
	}
	defer func() { _ = os.RemoveAll(scratch) }()
	export := exec.Command("sh", "-c", "git ls-files -z | xargs -0 cp --parents -t "+scratch)
	export.Dir = repo
	if output, err := export.CombinedOutput(); err != nil {
		return "", fmt.Errorf("copy: %w: %s", err, output)
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
	failure, found := firstFailure(string(output))
	if !found {
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
// command that fails without one, for example in a build, proves nothing.
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
