package durable

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// manifestName is the name of the file that lists the snapshots of a directory. The file has one line of JSON and one
// line with the xxhash64 of the first line in hexadecimal.
const manifestName = "MANIFEST"

// ManifestEntry describes one snapshot in the manifest. The manifest lists the newest snapshot first.
type ManifestEntry struct {
	File     string `json:"file"`
	Revision int64  `json:"revision"`
	Size     int    `json:"size"` // size of the snapshot's data in bytes, without the record's header
}

// encodeManifest returns the contents of the manifest file.
func encodeManifest(entries []ManifestEntry) ([]byte, error) {
	list, err := json.Marshal(entries)
	if err != nil {
		return nil, err
	}
	sum := strconv.FormatUint(xxhash.Sum64(list), 16)
	return append(list, "\n"+sum+"\n"...), nil
}

// decodeManifest returns the entries of a manifest, or its damage if the checksum or the JSON is invalid.
func decodeManifest(text []byte) ([]ManifestEntry, *Damage) {
	list, sum, ok := bytes.Cut(bytes.TrimSuffix(text, []byte("\n")), []byte("\n"))
	want, err := strconv.ParseUint(string(sum), 16, 64)
	if !ok || err != nil || xxhash.Sum64(list) != want {
		return nil, &Damage{File: manifestName, Offset: 0, Reason: "the checksum line is missing or does not match"}
	}
	var entries []ManifestEntry
	if err := json.Unmarshal(list, &entries); err != nil {
		return nil, &Damage{File: manifestName, Offset: 0, Reason: err.Error()}
	}
	return entries, nil
}
