package snipeconfig

// File is the content of a document file and the name that faults state.
type File struct {
	Name string
	Data []byte
}

// BuildFiles parses files and builds a snapshot of them. The error, if any, is
// a *FaultsError with the faults of all files, or, if no file has a fault of its
// own, with the faults that Build finds between documents.
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
