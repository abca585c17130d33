// Command tally reads the output of "go test -json" and prints the output of the tests
// and packages that failed, followed by the numbers of tests that passed, failed and
// were skipped. Tests that the -known file lists may fail; their names are printed.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"strings"
)

// maxLineBytes is the maximum length of an input line.
const maxLineBytes = 16 << 20

// event is a line of the output of "go test -json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// testResult is the output of a test or package.
type testResult struct {
	name   string
	output strings.Builder
}

// summary counts the results of the tests and packages.
type summary struct {
	knownFailures  []string
	unfinished     map[string][]string // running tests, by package
	results        map[string]*testResult
	passed         int
	skipped        int
	failed         int
	knownFailed    int
	failedPackages int
}

func main() {
	path := flag.String("known", "", "the `file` that lists the tests that may fail, in lines \"test NAME\"")
	flag.Parse()
	known, err := readKnownFailures(*path)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	t := &summary{results: make(map[string]*testResult), unfinished: make(map[string][]string), knownFailures: known}
	lines := bufio.NewScanner(os.Stdin)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) == nil { // other lines are compiler output
			t.handleEvent(e)
		}
	}
	if err := lines.Err(); err != nil {
		fmt.Println("the tests' output cannot be read:", err)
		os.Exit(1)
	}
	if t.knownFailed > 0 {
		fmt.Printf("known red: %d\n", t.knownFailed)
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", t.passed, t.failed+t.failedPackages, t.skipped)
	if t.failed+t.failedPackages > 0 || t.passed == 0 {
		os.Exit(1)
	}
}

// readKnownFailures returns the names of the tests that the file lists, none if the
// file does not exist.
func readKnownFailures(path string) ([]string, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var names []string
	for line := range strings.Lines(string(data)) {
		if name, ok := strings.CutPrefix(strings.TrimSpace(line), "test "); ok {
			names = append(names, name)
		}
	}
	return names, nil
}

// handleEvent records the output or counts the result of a test or package.
func (t *summary) handleEvent(e event) {
	key := e.Package + " " + e.Test
	result := t.results[key]
	if result == nil {
		result = &testResult{name: e.Test}
		t.results[key] = result
	}
	switch e.Action {
	case "run":
		t.unfinished[e.Package] = append(t.unfinished[e.Package], e.Test)
	case "pass", "skip", "fail":
		t.unfinished[e.Package] = slices.DeleteFunc(t.unfinished[e.Package], func(name string) bool { return name == e.Test })
	}
	switch e.Action {
	case "output", "build-output":
		result.output.WriteString(e.Output)
	case "pass":
		if e.Test != "" {
			t.passed++
		}
	case "skip":
		if e.Test != "" {
			t.skipped++
		}
	case "fail", "build-fail":
		t.reportFailure(e, result)
	}
}

// reportFailure prints and counts a failure. A package fails when one of its tests
// fails, so a failed package counts only if none of its tests failed, or if it ended
// while tests were running.
func (t *summary) reportFailure(e event, result *testResult) {
	unfinished := t.unfinished[e.Package]
	switch {
	case e.Test == "" && len(unfinished) > 0:
		t.failedPackages++
		fmt.Printf("FAIL %s ended during %s\n", e.Package, strings.Join(unfinished, ", "))
	case e.Test == "" && t.hasFailedTest(e.Package):
		return
	case e.Test == "":
		t.failedPackages++
	case slices.Contains(t.knownFailures, e.Test):
		t.knownFailed++
		fmt.Printf("KNOWN RED %s %s\n", e.Package, e.Test)
		t.results[e.Package+" failed"] = result
		return
	default:
		t.failed++
		t.results[e.Package+" failed"] = result
	}
	fmt.Printf("FAIL %s %s\n%s", e.Package, e.Test, result.output.String())
}

// hasFailedTest reports whether a test of the package has failed.
func (t *summary) hasFailedTest(packageName string) bool {
	return t.results[packageName+" failed"] != nil
}
