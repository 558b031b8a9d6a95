package console

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// View is what a terminal shows of pictures. It does no I/O.
type View struct {
	Width, Height int

	pic    *Picture
	tab    int
	search string
	by     [tabs]int
	down   [tabs]bool
	top    [tabs]int
	rows   []Row // of the table shown, found and sorted
	how    layout
}

// NewView returns one that has nothing to show yet.
func NewView(width, height int) *View {
	v := &View{Width: width, Height: height}
	for i := range v.by {
		v.by[i] = -1 // as they come
	}
	return v
}

// Take shows a picture.
func (v *View) Take(p *Picture) {
	v.pic = p
	v.find()
}

// Resize takes another size.
func (v *View) Resize(width, height int) {
	v.Width, v.Height = width, height
	v.find()
}

// page is how many rows there is room for.
func (v *View) page() int { return max(1, v.Height-4) }

// Key takes a key by its name, or what was typed. over: the view is to end.
func (v *View) Key(name, typed string) (over bool) {
	top := &v.top[v.tab]
	switch name {
	case "ctrl+c", "ctrl+q":
		return true
	case "esc", "alt+esc":
		if v.search == "" {
			return true
		}
		v.search = ""
	case "tab", "right":
		v.tab = (v.tab + 1) % tabs
	case "shift+tab", "left":
		v.tab = (v.tab + tabs - 1) % tabs
	case "f1", "f2", "f3", "f4", "f5", "f6":
		v.tab = int(name[1] - '1')
	case "up":
		*top--
	case "down":
		*top++
	case "pgup":
		*top -= v.page()
	case "pgdown":
		*top += v.page()
	case "home":
		*top = 0
	case "end":
		*top = len(v.rows)
	case "ctrl+s":
		if v.by[v.tab]++; v.by[v.tab] >= len(v.how.widths) {
			v.by[v.tab] = -1
		}
	case "ctrl+r":
		v.down[v.tab] = !v.down[v.tab]
	case "backspace":
		if _, n := utf8.DecodeLastRuneInString(v.search); n > 0 {
			v.search = v.search[:len(v.search)-n]
		}
	default:
		if typed == "" || len(v.search)+len(typed) > 64 {
			return false
		}
		v.search += plain(typed)
		*top = 0
	}
	v.find()
	return false
}

// find finds and sorts the rows of the table that is shown.
func (v *View) find() {
	if v.pic == nil {
		return
	}
	t := &v.pic.Tables[v.tab]
	v.rows = v.rows[:0]
	want := strings.ToLower(v.search)
	for _, r := range t.Rows {
		if want == "" || strings.Contains(strings.ToLower(strings.Join(r.Cells, " ")), want) {
			v.rows = append(v.rows, r)
		}
	}
	if by := v.by[v.tab]; by >= 0 {
		slices.SortStableFunc(v.rows, func(a, b Row) int { return compareCells(a.Cells[by], b.Cells[by]) })
	}
	if v.down[v.tab] {
		slices.Reverse(v.rows)
	}
	v.how = t.lay(v.Width)
	v.top[v.tab] = max(0, min(v.top[v.tab], len(v.rows)-v.page()))
}

// compareCells compares numbers as such, and numbers before words.
func compareCells(a, b string) int {
	x, errA := strconv.ParseFloat(a, 64)
	y, errB := strconv.ParseFloat(b, 64)
	switch {
	case errA == nil && errB == nil:
		return cmp.Compare(x, y)
	case errA == nil:
		return -1
	case errB == nil:
		return 1
	}
	return cmp.Compare(a, b)
}

// Text is the screen: a line of tabs, one of the state, the head of the table, rows, and a line of what can be done.
func (v *View) Text() string {
	if v.pic == nil {
		return "lookout: asking"
	}
	t := &v.pic.Tables[v.tab]
	lines := make([]string, 0, v.Height)
	var names []string
	for i, x := range v.pic.Tables {
		n := x.Name
		if i == tabDisagreement && len(x.Rows) > 0 {
			n += " " + num(len(x.Rows))
		}
		if i == v.tab {
			n = "[" + n + "]"
		}
		names = append(names, n)
	}
	lines = append(lines, "lookout  "+strings.Join(names, "  "), v.pic.Summary())
	head := t.head(v.how)
	if by := v.by[v.tab]; by >= 0 || v.down[v.tab] {
		word := "as told"
		if by >= 0 {
			word = "by " + t.Cols[by].Name
		}
		if v.down[v.tab] {
			word += ", reversed"
		}
		lines[1] += "; sorted " + word
	}
	lines = append(lines, head)
	top := v.top[v.tab]
	shown := v.rows[top:min(len(v.rows), top+v.page())]
	for _, r := range shown {
		lines = append(lines, t.line(r.Mark, r.Cells, v.how))
	}
	if len(shown) == 0 {
		none := t.None
		if len(t.Rows) > 0 {
			none = "nothing found"
		}
		lines = append(lines, "  "+none)
	}
	for len(lines) < v.Height-1 {
		lines = append(lines, "")
	}
	where := "0 of 0"
	if len(shown) > 0 {
		where = fmt.Sprintf("%d-%d of %d", top+1, top+len(shown), len(v.rows))
	}
	lines = append(lines, fmt.Sprintf("search: %s_  %s  Tab table  ^S sort  ^R reverse  Esc back, quit", v.search, where))
	for i, l := range lines {
		if v.Width > 0 && utf8.RuneCountInString(l) > v.Width {
			lines[i] = fitCell(l, v.Width, false)
		}
	}
	return strings.Join(lines[:min(len(lines), max(1, v.Height))], "\n")
}
