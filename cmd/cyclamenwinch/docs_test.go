package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	flag "github.com/jessevdk/go-flags"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/settings"
)

const root = "../../"

// page is a Markdown file of the documentation.
type page struct{ file, text string }

func pages() []page {
	var files []string
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/design/*.md"} {
		found, err := filepath.Glob(root + pattern)
		Expect(err).NotTo(HaveOccurred())
		files = append(files, found...)
	}
	Expect(len(files)).To(BeNumerically(">", 8))
	var all []page
	for _, file := range files {
		text, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		all = append(all, page{file, string(text)})
	}
	return all
}

// sources returns the concatenated Go source files, except tests.
func sources() string {
	var all strings.Builder
	for _, dir := range []string{"core", "internal", "cmd", "load", "platform", "standin"} {
		Expect(filepath.WalkDir(root+dir, func(path string, d os.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			all.Write(text)
			return err
		})).To(Succeed())
	}
	return all.String()
}

// codeSnippets returns the code spans and the indented code lines of a page.
func (p page) codeSnippets() []string {
	var found []string
	for _, m := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(p.text, -1) {
		found = append(found, strings.Join(strings.Fields(m[1]), " "))
	}
	for _, line := range strings.Split(p.text, "\n") {
		if strings.HasPrefix(line, "    ") {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}

// expectCommand checks that the command and the options of a command line of the
// tool exist. Other lines are ignored.
func expectCommand(parser *flag.Parser, line, file string) {
	fields := strings.Fields(strings.TrimSuffix(strings.TrimPrefix(line, "source <("), ")"))
	if len(fields) < 2 || fields[0] != "cyclamenwinch" {
		return
	}
	command := parser.Find(fields[1])
	Expect(command).NotTo(BeNil(), "%s: %s", file, line)
	for _, f := range fields[2:] {
		if option, ok := strings.CutPrefix(f, "--"); ok {
			Expect(command.FindOptionByLongName(option)).NotTo(BeNil(), "%s: %s", file, line)
		}
	}
}

var _ = Describe("the documentation", func() {
	It("uses only commands and options that exist", func() {
		parser := (&app{}).parser()
		for _, p := range pages() {
			for _, text := range p.codeSnippets() {
				expectCommand(parser, text, p.file)
			}
		}
	})

	It("mentions every command in the changelog", func() {
		text, err := os.ReadFile(root + "CHANGELOG.md")
		Expect(err).NotTo(HaveOccurred())
		for _, c := range (&app{}).parser().Commands() {
			Expect(string(text)).To(ContainSubstring("`" + c.Name + "`"))
		}
	})

	It("uses only names of settings, fields, events and metrics that exist", func() {
		source := sources()
		settingPaths := []string{}
		for _, f := range settings.Fields() {
			settingPaths = append(settingPaths, f.Path)
		}
		namePattern := regexp.MustCompile(`^[a-z]+(_[a-z]+)+(\{[a-z,="0-9]*\})?$`)
		for _, p := range pages() {
			for _, text := range p.codeSnippets() {
				if !namePattern.MatchString(text) {
					continue
				}
				name, _, _ := strings.Cut(text, "{")
				exists := slices.Contains(settingPaths, name) || regexp.MustCompile(`["\x60]`+name+`["\x60{,]`).MatchString(source)
				Expect(exists).To(BeTrue(), "%s names %s", p.file, text)
			}
		}
	})

	It("uses the right name for each result code", func() {
		codePattern := regexp.MustCompile(`\b([1-9][0-9]{3}) ([A-Z][a-z]+[A-Z][A-Za-z]+|Quarantined)\b`)
		for _, p := range pages() {
			for _, m := range codePattern.FindAllStringSubmatch(p.text, -1) {
				number, err := strconv.Atoi(m[1])
				Expect(err).NotTo(HaveOccurred())
				Expect(code.Code(number).String()).To(Equal(m[0]), p.file)
			}
		}
	})

	It("lists the tool's exit codes", func() {
		text, err := os.ReadFile(root + "docs/OPERATIONS.md")
		Expect(err).NotTo(HaveOccurred())
		_, table, found := strings.Cut(string(text), "| exit code of cyclamenwinch |")
		Expect(found).To(BeTrue())
		for exit := exitOK; exit <= exitDifferences; exit++ {
			Expect(table).To(ContainSubstring(fmt.Sprintf("\n| %d | ", exit)))
		}
	})

	It("mentions every package in the design overview", func() {
		text, err := os.ReadFile(root + "docs/DESIGN.md")
		Expect(err).NotTo(HaveOccurred())
		for _, pattern := range []string{"core/*", "internal/*"} {
			dirs, err := filepath.Glob(root + pattern)
			Expect(err).NotTo(HaveOccurred())
			Expect(dirs).NotTo(BeEmpty())
			for _, dir := range dirs {
				Expect(string(text)).To(ContainSubstring("`" + strings.TrimPrefix(dir, root) + "`"))
			}
		}
	})

	It("links to files that exist", func() {
		linkPattern := regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)
		for _, p := range pages() {
			for _, m := range linkPattern.FindAllStringSubmatch(p.text, -1) {
				_, err := os.Stat(filepath.Join(filepath.Dir(p.file), m[1]))
				Expect(err).NotTo(HaveOccurred(), p.file)
			}
		}
	})
})
