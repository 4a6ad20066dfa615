// Package knownred_test checks that scripts/go-test.sh ignores the failures of
// the tests in KNOWN-RED.txt and no others.
package knownred_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestKnownRed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Known red")
}

// plain has a passing and a failing Go test, specs a passing and a failing spec.
const (
	plain = `package plain

import "testing"

func TestGreen(t *testing.T) {}
func TestRed(t *testing.T) { t.Fatal("red") }
`
	specs = `package specs

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSpecs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Specs")
}

var _ = Describe("a part (of it)", func() {
	It("is green", func() {})
	It("is red", func() { Fail("red") })
})
`
	plainEntry = "./plain | go:TestRed | go test ./plain | it fails | 1\n"
	specsEntry = "./specs | spec:Specs a part (of it) is red | go test ./specs | it fails | 1\n"
)

var _ = Describe("scripts/go-test.sh", func() {
	var dir string

	// write writes a file of the module that the script tests.
	write := func(name, text string) {
		file := filepath.Join(dir, name)
		Expect(os.MkdirAll(filepath.Dir(file), 0o700)).To(Succeed())
		Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	}

	// test runs the script with list as KNOWN-RED.txt and returns whether it
	// passed, and its output.
	test := func(list string) (bool, string) {
		write("KNOWN-RED.txt", list)
		script, err := filepath.Abs("../../scripts/go-test.sh")
		Expect(err).NotTo(HaveOccurred())
		command := exec.Command(script)
		command.Dir = dir
		out, err := command.CombinedOutput()
		return err == nil, string(out)
	}

	BeforeEach(func() {
		dir = GinkgoT().TempDir()
		for _, name := range []string{"go.mod", "go.sum"} {
			text, err := os.ReadFile("../../" + name)
			Expect(err).NotTo(HaveOccurred())
			write(name, string(text))
		}
		write("plain/plain_test.go", plain)
		write("green/green_test.go", "package green\n")
	})

	It("ignores the failures of both kinds of entries and prints the entries", func() {
		write("specs/specs_test.go", specs)
		passed, out := test("# a comment\n\n" + plainEntry + specsEntry)
		Expect(passed).To(BeTrue(), out)
		Expect(out).To(And(ContainSubstring(plainEntry), ContainSubstring(specsEntry)))
	})

	It("fails if an entry has only a part of the text of the failing spec", func() {
		write("specs/specs_test.go", specs)
		passed, out := test(plainEntry + "./specs | spec:a part (of it) is red | x | x | 1\n")
		Expect(passed).To(BeFalse(), out)
		Expect(out).To(ContainSubstring("FAIL: TestSpecs"))
	})

	DescribeTable("fails",
		func(list, message string) {
			passed, out := test(list)
			Expect(passed).To(BeFalse(), out)
			Expect(out).To(ContainSubstring(message))
		},
		Entry("without entries", "none\n", "FAIL: TestRed"),
		Entry("if an entry names the test in another package", "./green | go:TestRed | x | x | 1\n", "FAIL: TestRed"),
		Entry("if an entry names another test of the package", "./plain | go:TestGreen | x | x | 1\n", "FAIL: TestRed"),
		Entry("if an entry has only a part of the name", "./plain | go:TestRe | x | x | 1\n", "FAIL: TestRed"),
		Entry("if the package of an entry does not exist", "./gone | go:TestRed | x | x | 1\n", "does not exist: ./gone"),
		Entry("if an entry has no go: or spec: prefix", "./plain | TestRed | x | x | 1\n", "without go: or spec:"),
	)
})
