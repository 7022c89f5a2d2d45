package strictjson

import "fmt"

// ValidName reports whether a name has 1 to limit characters of a-z, 0-9 and '-',
// and begins and ends with a letter or digit.
func ValidName(name string, limit int) bool {
	if name == "" || len(name) > limit {
		return false
	}
	for _, b := range []byte(name) {
		if b != '-' && (b < '0' || b > '9') && (b < 'a' || b > 'z') {
			return false
		}
	}
	return name[0] != '-' && name[len(name)-1] != '-'
}

// NameRule returns the rule that ValidName checks, for messages.
func NameRule(limit int) string {
	return fmt.Sprintf("must be 1 to %d of a-z, 0-9 and '-', with a letter or digit at both ends", limit)
}
