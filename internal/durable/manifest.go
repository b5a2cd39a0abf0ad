package durable

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// manifestName is the file that lists a folder's snapshots: a line of JSON and a line with its xxhash64 in hexadecimal.
const manifestName = "MANIFEST"

// ManifestEntry is one snapshot of the manifest, which has the newest first.
type ManifestEntry struct {
	File     string `json:"file"`
	Revision int64  `json:"revision"`
	Size     int    `json:"size"` // bytes of data
}

func encodeManifest(entries []ManifestEntry) ([]byte, error) {
	list, err := json.Marshal(entries)
	if err != nil {
		return nil, err
	}
	sum := strconv.FormatUint(xxhash.Sum64(list), 16)
	return append(list, "\n"+sum+"\n"...), nil
}

// decodeManifest returns the entries of a manifest, or why it can't be trusted.
func decodeManifest(text []byte) ([]ManifestEntry, *Damage) {
	list, sum, ok := bytes.Cut(bytes.TrimSuffix(text, []byte("\n")), []byte("\n"))
	want, err := strconv.ParseUint(string(sum), 16, 64)
	if !ok || err != nil || xxhash.Sum64(list) != want {
		return nil, &Damage{File: manifestName, Offset: 0, Reason: "checksum line missing or not matching"}
	}
	var entries []ManifestEntry
	if err := json.Unmarshal(list, &entries); err != nil {
		return nil, &Damage{File: manifestName, Offset: 0, Reason: err.Error()}
	}
	return entries, nil
}
