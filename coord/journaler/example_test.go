package journaler_test

import (
	"fmt"
	"os"

	"redwingstage.org/coord/journaler"
)

// The next process to open the folder finds the journal's snapshot and the records after it.
func Example() {
	folder, err := os.MkdirTemp("", "journal")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = os.RemoveAll(folder) }()
	cfg := journaler.Config{Folder: folder, Cluster: "tebing", Replica: 1, Random: func() uint32 { return 7 }}

	j, err := journaler.Open(journaler.OSFileSystem{}, cfg)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(j.Append([]byte("first"), []byte("second")), j.Checkpoint([]byte("state after both")), j.Append([]byte("third")))
	fmt.Println(j.Close())

	j, err = journaler.Open(journaler.OSFileSystem{}, cfg)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = j.Close() }()
	snapshot, err := j.ReadSnapshot(j.Generation(), 0, int(j.SnapshotSize()))
	fmt.Printf("%s, %s, %v\n", snapshot, j.Records(), err)
	// Output:
	// <nil> <nil> <nil>
	// <nil>
	// state after both, [third], <nil>
}
