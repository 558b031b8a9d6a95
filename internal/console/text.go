package console

import (
	"strings"
	"unicode/utf8"
)

const (
	wide   = 2 // characters between columns, or one where there is no room
	narrow = 4 // no column is cut below
)

// layout is how a table is laid out: the widths of the columns that are shown, and what stands between them. The first two
// characters of a line are for its mark.
type layout struct {
	widths []int
	gap    int
}

// lay lays a table out in so many characters; 0: in as many as it takes.
func (t *Table) lay(width int) layout {
	gap := wide
	w := make([]int, len(t.Cols))
	for i, c := range t.Cols {
		w[i] = utf8.RuneCountInString(c.Name)
		for _, r := range t.Rows {
			w[i] = max(w[i], utf8.RuneCountInString(r.Cells[i]))
		}
		if c.Most > 0 {
			w[i] = min(w[i], c.Most)
		}
	}
	if width <= 0 {
		return layout{w, gap}
	}
	total := func() int {
		n := 2 - gap
		for _, x := range w {
			n += x + gap
		}
		return n
	}
	for total() > width && len(w) > 0 && t.Cols[len(w)-1].Spare {
		w = w[:len(w)-1]
	}
	if total() > width {
		gap = 1
	}
	for total() > width {
		widest := -1
		for i, x := range w {
			if x > narrow && !t.Cols[i].Keep && (widest < 0 || x >= w[widest]) {
				widest = i
			}
		}
		if widest < 0 {
			break
		}
		w[widest]--
	}
	return layout{w, gap}
}

// fitCell cuts or fills a cell to a width; what was cut ends with a tilde.
func fitCell(s string, w int, right bool) string {
	n := utf8.RuneCountInString(s)
	if n > w {
		return string([]rune(s)[:max(0, w-1)]) + "~"
	}
	if fill := strings.Repeat(" ", w-n); right {
		return fill + s
	} else {
		return s + fill
	}
}

func (t *Table) line(mark bool, cells []string, how layout) string {
	var b strings.Builder
	if mark {
		b.WriteString("! ")
	} else {
		b.WriteString("  ")
	}
	for i, x := range how.widths {
		if i > 0 {
			b.WriteString(strings.Repeat(" ", how.gap))
		}
		b.WriteString(fitCell(cells[i], x, t.Cols[i].Right))
	}
	return strings.TrimRight(b.String(), " ")
}

func (t *Table) head(how layout) string {
	names := make([]string, len(t.Cols))
	for i, c := range t.Cols {
		names[i] = c.Name
	}
	return t.line(false, names, how)
}

// Text is all tables, one below the other.
func (p *Picture) Text() string {
	var b strings.Builder
	b.WriteString(p.Summary() + "\n")
	for _, t := range p.Tables {
		b.WriteString("\n" + strings.ToUpper(t.Name) + "\n")
		if len(t.Rows) == 0 {
			b.WriteString("  " + t.None + "\n")
			continue
		}
		how := t.lay(0)
		b.WriteString(t.head(how) + "\n")
		for _, r := range t.Rows {
			b.WriteString(t.line(r.Mark, r.Cells, how) + "\n")
		}
	}
	return b.String()
}
