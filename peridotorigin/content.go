package peridotorigin

import "strings"

// contentPrefix begins the versions that are recorded for a content, so that all who
// receive one know that it may become Mixed.
const contentPrefix = "\x00"

// Mixed is the version of a content of which streams began at several versions.
const Mixed = contentPrefix

// ContentKeyOf returns the key of all streams whose requests have the given content. A
// caller that resumes a stream repeats its request.
func ContentKeyOf(content string) Key {
	return KeyOf(contentPrefix + content)
}

// ContentVersion returns the text to record for a content of which a stream began at the
// given version, which must not be empty.
func ContentVersion(version string) string {
	return contentPrefix + version
}

// isContentVersion reports whether a version was recorded for a content.
func isContentVersion(version string) bool {
	return strings.HasPrefix(version, contentPrefix)
}

// Merge returns the version of a key for which two were recorded. That of a request is
// the first; that of a content is Mixed unless both are equal, in any order.
func Merge(first, second string) string {
	if first != second && (isContentVersion(first) || isContentVersion(second)) {
		return Mixed
	}
	return first
}

// Finding is what is known of a key. Its Version is valid only if it is Known.
type Finding struct {
	Version string
	Known   bool
}

// Agreement says whether findings prove at which version a stream goes on.
type Agreement int

// Agreements of findings.
const (
	// Unproven means that something is unknown.
	Unproven Agreement = iota
	// Agreed means that the stream goes on at one version.
	Agreed
	// Conflicting means that the stream may have begun at several versions.
	Conflicting
)

// Agree returns the version at which a stream goes on whose content has the given finding.
// name is the finding of the request that its caller names, which may have been another
// attempt, or nil if the caller names none. The content alone proves nothing: of two attempts,
// the one that the caller goes on with may be known to nobody.
func Agree(content Finding, name *Finding) (string, Agreement) {
	switch {
	case content.Known && content.Version == Mixed:
		return "", Conflicting
	case !content.Known || name == nil || !name.Known:
		return "", Unproven
	case name.Version != strings.TrimPrefix(content.Version, contentPrefix):
		return "", Conflicting
	}
	return name.Version, Agreed
}

// Single returns the version of a content at which all streams known to have it began, and
// false if there is none.
func Single(content Finding) (string, bool) {
	if !content.Known || content.Version == Mixed {
		return "", false
	}
	return strings.TrimPrefix(content.Version, contentPrefix), true
}
