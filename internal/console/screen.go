package console

import (
	"time"

	tea "github.com/charmbracelet/bubbletea"
)

// screen carries a View on a terminal: one look at a time, the next some time after its end.
type screen struct {
	view  *View
	look  func() *Picture
	every time.Duration
}

type again struct{}

func (s *screen) Init() tea.Cmd { return s.ask }

func (s *screen) ask() tea.Msg { return s.look() }

func (s *screen) Update(m tea.Msg) (tea.Model, tea.Cmd) {
	switch m := m.(type) {
	case tea.WindowSizeMsg:
		s.view.Resize(m.Width, m.Height)
	case *Picture:
		s.view.Take(m)
		return s, tea.Tick(s.every, func(time.Time) tea.Msg { return again{} })
	case again:
		return s, s.ask
	case tea.KeyMsg:
		typed := ""
		if m.Type == tea.KeyRunes || m.Type == tea.KeySpace {
			typed = string(m.Runes)
		}
		if s.view.Key(m.String(), typed) {
			return s, tea.Quit
		}
	}
	return s, nil
}

func (s *screen) View() string { return s.view.Text() }

// show runs it until its end. The renderer writes lines that changed, ten times a second at the most.
func (s *screen) show() error {
	_, err := tea.NewProgram(s, tea.WithAltScreen(), tea.WithFPS(10)).Run()
	return err
}
