package thrift

// Writer writes a body field by field, for callers that make messages of their own. Errors there are none: what is
// written is what was said.
type Writer struct {
	w    writer
	last []int16 // ids before, by depth of structs
}

// NewWriter begins a message's struct.
func NewWriter(p Protocol) *Writer {
	return &Writer{w: writer{compact: p == Compact}, last: []int16{0}}
}

func (w *Writer) head(t Type, id int16) {
	at := len(w.last) - 1
	w.w.field(t, id, w.last[at])
	w.last[at] = id
}

// Begin opens a struct as a field; End closes the innermost that is open.
func (w *Writer) Begin(t Type, id int16) {
	w.head(t, id)
	w.last = append(w.last, 0)
}

// End closes the innermost struct.
func (w *Writer) End() {
	w.w.b = append(w.w.b, byte(Stop))
	w.last = w.last[:len(w.last)-1]
}

// Text writes a string, or bytes.
func (w *Writer) Text(id int16, text []byte) {
	w.head(String, id)
	w.w.size(len(text))
	w.w.b = append(w.w.b, text...)
}

// Int writes a whole number of a type.
func (w *Writer) Int(t Type, id int16, n int64) {
	w.head(t, id)
	w.w.int(t, n)
}

// Done closes the message's struct and returns it.
func (w *Writer) Done() []byte { return append(w.w.b, byte(Stop)) }
