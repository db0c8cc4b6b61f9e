package snipeconfig

// File is the content of a file with its name, which appears in faults.
type File struct {
	Name string
	Data []byte
}

// BuildFiles parses files and builds a snapshot of them. The error, if any, is
// a *FaultsError with the faults of all files, or, if each file is free of
// faults by itself, with those of the set.
func BuildFiles(generation uint64, operation string, files []File) (*Snapshot, error) {
	var faults Faults
	documents := make([]*Document, 0, len(files))
	for _, file := range files {
		d, err := ParseDocument(file.Name, file.Data)
		if err != nil {
			found, _ := AsFaults(err)
			faults = append(faults, found...)
			continue
		}
		documents = append(documents, d)
	}
	if err := faults.sorted().Err(); err != nil {
		return nil, err
	}
	return Build(generation, operation, documents)
}
