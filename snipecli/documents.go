package snipecli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/snipemoor/snipemoor/snipeconfig"
)

// documentPatterns returns the patterns of the document files in the directory of a
// deployment.
func documentPatterns() []string {
	return []string{"fleet.json", "templates/*.json", "teams/*.json", "drains/*.json"}
}

// readDocuments reads the documents that paths name, each of which is a file or the
// directory of a deployment. The error is a usage error.
func readDocuments(paths []string) ([]snipeconfig.File, error) {
	var files []snipeconfig.File
	for _, path := range paths {
		names := []string{path}
		info, err := os.Stat(path)
		if err != nil {
			return nil, withStatus(ExitUsage, fmt.Errorf("find documents: %w", err))
		}
		if info.IsDir() {
			if names, err = documentsIn(path); err != nil {
				return nil, err
			}
		}
		for _, name := range names {
			data, err := os.ReadFile(name)
			if err != nil {
				return nil, withStatus(ExitUsage, fmt.Errorf("read document: %w", err))
			}
			files = append(files, snipeconfig.File{Name: name, Data: data})
		}
	}
	return files, nil
}

// documentsIn returns the names of the document files in the directory of a
// deployment, or a usage error if there are none.
func documentsIn(directory string) ([]string, error) {
	var found []string
	for _, pattern := range documentPatterns() {
		names, err := filepath.Glob(filepath.Join(directory, pattern))
		if err != nil {
			return nil, withStatus(ExitUsage, fmt.Errorf("find documents: %w", err))
		}
		found = append(found, names...)
	}
	if len(found) == 0 {
		return nil, withStatus(ExitUsage, fmt.Errorf("directory %s holds no documents", directory))
	}
	return found, nil
}

// readDeployment reads all documents of a directory and checks them against each
// other.
func readDeployment(directory string) (*snipeconfig.Snapshot, error) {
	files, err := readDocuments([]string{directory})
	if err != nil {
		return nil, err
	}
	snapshot, err := snipeconfig.BuildFiles(1, "local", files)
	if err != nil {
		return nil, fmt.Errorf("check %s:\n%w", directory, err)
	}
	return snapshot, nil
}

// checkFiles returns the faults of documents. It checks them against each other if
// each has no fault of its own and one is a fleet document. The error is nil unless
// a check fails for another reason than faults.
func checkFiles(files []snipeconfig.File) (snipeconfig.Faults, error) {
	var faults snipeconfig.Faults
	var documents []*snipeconfig.Document
	hasFleet := false
	for _, file := range files {
		document, err := snipeconfig.ParseDocument(file.Name, file.Data)
		if err != nil {
			found, ok := snipeconfig.AsFaults(err)
			if !ok {
				return nil, fmt.Errorf("parse %s: %w", file.Name, err)
			}
			faults = append(faults, found...)
			continue
		}
		documents = append(documents, document)
		hasFleet = hasFleet || document.Ref().Kind == snipeconfig.KindFleet
	}
	if len(faults) > 0 || !hasFleet {
		return faults, nil
	}
	if _, err := snipeconfig.Build(1, "local", documents); err != nil {
		found, ok := snipeconfig.AsFaults(err)
		if !ok {
			return nil, fmt.Errorf("build configuration: %w", err)
		}
		return found, nil
	}
	return nil, nil
}

// validateResult is the output of validate.
type validateResult struct {
	Valid     bool        `json:"valid"`
	Documents int         `json:"documents"`
	Faults    []faultWire `json:"faults"`
}

// faultWire is the JSON form of a fault of a document.
type faultWire struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

func (r validateResult) writeText(w io.Writer) error {
	if !r.Valid {
		return nil
	}
	return printf(w, "%d documents are valid\n", r.Documents)
}

// Run implements the command.
func (c *validateCommand) Run(s *session) error {
	files, err := readDocuments(c.Paths)
	if err != nil {
		return err
	}
	faults, err := checkFiles(files)
	if err != nil {
		return err
	}
	result := validateResult{Valid: len(faults) == 0, Documents: len(files), Faults: []faultWire{}}
	for _, f := range faults {
		result.Faults = append(result.Faults, faultWire{f.File, f.Line, f.Column, f.Message})
	}
	if err := s.print(result); err != nil {
		return err
	}
	if len(faults) > 0 {
		return withStatus(ExitUsage, errors.New("documents are invalid:\n"+faults.String()))
	}
	return nil
}
