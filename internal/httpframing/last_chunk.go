package httpframing

import "strings"

// EndsWithLastChunk reports whether data, the last bytes that have arrived of a chunked body, ends with the last chunk
// (RFC 9112, section 7.1): a line with the size 0, trailer fields if there are any, and an empty line. The result is
// false if the line before the last chunk is not in data.
func EndsWithLastChunk(data []byte) bool {
	lines := strings.Split(strings.ReplaceAll(string(data), "\r\n", "\n"), "\n")
	last := len(lines) - 1
	if last < 2 || lines[last] != "" || lines[last-1] != "" {
		return false
	}
	for i := last - 2; i > 0; i-- { // the first element may be the end of a longer line
		if isLastChunkSize(lines[i]) {
			return true
		}
		if strings.IndexByte(lines[i], ':') <= 0 {
			return false // not a trailer field
		}
	}
	return false
}

// isLastChunkSize reports whether a line gives the size 0 of a chunk, with or without chunk extensions.
func isLastChunkSize(line string) bool {
	size, _, _ := strings.Cut(line, ";")
	size = strings.Trim(size, " \t")
	return size != "" && strings.Trim(size, "0") == ""
}
