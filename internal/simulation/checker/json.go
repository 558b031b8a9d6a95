package checker

import (
	"encoding/json"
	"reflect"
)

// sameJSON reports whether two texts say the same.
func sameJSON(a, b string) bool {
	var x, y any
	return json.Unmarshal([]byte(a), &x) == nil && json.Unmarshal([]byte(b), &y) == nil && reflect.DeepEqual(x, y)
}
