package faultschedule

import (
	"slices"
	"strings"
)

// interval is the range from which a figure is drawn; none is where a kind has no such figure.
type interval struct{ from, to float64 }

var none = interval{}

// Reach says what of a kind's trouble falls on machines that count, whose losses are bounded by what a deployment bears.
type reach int

const (
	harmless reach = iota // machines that count go on
	member                // one machine that counts, or as many as count says, is lost while it lasts
	onCore                // as member, where the entry says on = "core"; else it meets other machines alone
	ackers                // the machine that acknowledges, or is drawn by lot: as member
)

// kind is one sort of entry of a day: its fields with their ranges and its variants.
type kind struct {
	name    string
	planned bool     // under plan, else under faults
	needs   string   // the contract that a site has to have; empty: none
	lasts   interval // for_s
	gap     interval // gap_s
	share   interval
	most    int // count: 1 to most; 0: the kind has no count
	x       interval
	whole   bool       // x is a whole number
	how     []string   // the variants, each dealt alike often
	strong  []interval // x by variant, where it has a range of its own
	also    []string   // words that may stand behind the variant, each for itself
	whom    bool       // a choice of machines may stand in front: leader, reader, seed
	after   bool       // what comes at its end may stand behind: meet or race, hard, drain
	on      bool       // the class of machines may be named
	zone    bool       // a zone may be named
	to      bool       // a zone of callers may be named
	service bool       // a service may be named
	repeats bool       // count and for_s stand for each other: one of them is given
	reach   reach
	inTurn  bool // it may come again and again, each as soon as the one before is over
}

// How a choice of machines and what follows a trouble are written.
var (
	whoms  = []string{"leader", "reader", "giver", "seed", "turn"}
	afters = []string{"hard", "drain"}
)

// kinds are all that the bench knows, with ranges around those of its own days.
var kinds = []kind{
	{name: "config_change", planned: true, how: []string{"", "route", "weights", "timeout", "tenant", "quota", "quota down", "topup", "idle"}},
	{name: "config_storm", planned: true, lasts: interval{2, 7}, gap: interval{0.12, 0.5}, most: 30, repeats: true, how: []string{""}},
	{name: "config_race", planned: true, most: 5, gap: interval{0.4, 1.6}, how: []string{""}},
	{name: "bad_config", planned: true, most: 4, gap: interval{0.3, 1.3}, how: []string{"", "cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version", "same_version", "stale_match", "shared_key"}},
	{name: "release", planned: true, share: interval{0.2, 0.6}, x: interval{1, 2}, whole: true, gap: interval{0.6, 1.5}, how: []string{""}, service: true},
	{name: "scale_in", planned: true, share: interval{0.08, 0.18}, x: interval{1, 3}, lasts: interval{2, 6}, how: []string{"", "spot", "reclaim", "reclaim dry"}, service: true},
	{name: "scale_out", planned: true, share: interval{0.15, 0.3}, gap: interval{0.8, 2.5}, how: []string{""}, service: true},
	{name: "roll_term", planned: true, share: interval{0.3, 1}, x: interval{1, 2}, whole: true, gap: interval{0.7, 1.5}, how: []string{"", "busy", "remove"}, on: true, after: true, reach: onCore},
	{name: "seed_turnover", planned: true, how: []string{""}},
	{name: "hup", planned: true, share: interval{0.2, 0.5}, gap: interval{0.5, 2}, how: []string{""}},

	{name: "burst", x: interval{1.3, 2.5}, lasts: interval{2, 6}, how: []string{""}, zone: true},
	{name: "retry_abuse", share: interval{0.1, 0.5}, x: interval{1, 3}, whole: true, lasts: interval{2, 6}, how: []string{""}},
	{name: "give_up", share: interval{0.1, 0.5}, x: interval{40, 400}, lasts: interval{2, 6}, how: []string{""}},
	{name: "ack_lost", x: interval{0.3, 0.9}, lasts: interval{2, 8}, how: []string{""}},

	{name: "srv_crash", share: interval{0.1, 0.18}, lasts: interval{2, 5.5}, how: []string{"", "dark", "gone", "domain", "joined", "rack"}, also: []string{"across"}, service: true},
	{name: "srv_slow", share: interval{0.1, 0.2}, x: interval{2.5, 6}, lasts: interval{3, 7}, how: []string{""}, also: []string{"across"}, service: true},
	{name: "srv_grey", needs: "health", share: interval{0.08, 0.17}, x: interval{0.2, 0.5}, lasts: interval{3, 7}, how: []string{"errors", "shed", "busy", "hang", "reset", "mute", "slow"},
		strong: []interval{{}, {}, {}, {}, {}, {}, {4, 9}}, also: []string{"one_zone", "across"}, to: true, service: true},
	{name: "srv_cut", needs: "health", share: interval{0.1, 0.25}, x: interval{0.2, 0.4}, lasts: interval{2, 6}, how: []string{"", "fronts", "some", "some lossy", "one_way", "reset"}, service: true},
	{name: "srv_lying_health", needs: "health", share: interval{0.06, 0.15}, lasts: interval{3, 7}, how: []string{"errors", "hang", "reset", "bad"}, also: []string{"across"}, service: true},
	{name: "srv_flap", needs: "health", share: interval{0.06, 0.15}, gap: interval{0.8, 1.8}, lasts: interval{3, 7}, how: []string{""}, service: true},
	{name: "replace_with_reuse", share: interval{0.1, 0.2}, how: []string{"", "drain", "dark"}, service: true},
	{name: "idle_race", needs: "pool", share: interval{0.3, 0.6}, x: interval{150, 400}, lasts: interval{3, 7}, how: []string{""}, service: true},
	{name: "answer_lost", share: interval{0.3, 0.6}, x: interval{0.01, 0.06}, lasts: interval{3, 6.5}, how: []string{"", "reset"}, service: true},
	{name: "garble", share: interval{0.25, 0.6}, x: interval{0.01, 0.035}, lasts: interval{3, 6.5}, how: []string{"", "extra", "extra late", "unframed", "early", "rot"}, service: true},

	{name: "node_kill", share: interval{0.08, 0.2}, most: 1, lasts: interval{0.5, 4}, how: []string{"", "power"}, on: true, whom: true, after: true, zone: true, reach: onCore},
	{name: "node_freeze", share: interval{0.08, 0.15}, most: 1, lasts: interval{0.8, 4.5}, how: []string{""}, on: true, whom: true, after: true, zone: true, reach: onCore},
	{name: "node_slow", share: interval{0.08, 0.15}, x: interval{3, 30}, most: 1, lasts: interval{0.8, 4.5}, how: []string{""}, on: true, whom: true, zone: true, reach: onCore},
	{name: "reset_conns", share: interval{0.08, 0.3}, x: interval{0.2, 0.9}, most: 1, lasts: interval{0.5, 4}, how: []string{""}, on: true, zone: true, reach: onCore},
	{name: "node_cut", share: interval{0.08, 0.25}, lasts: interval{1, 5.5}, how: []string{"", "all", "servers", "reset", "refuse"}, after: true, zone: true},
	{name: "core_cut", most: 1, lasts: interval{1.5, 6}, how: []string{"", "all", "near", "oldest", "one_way", "seeds", "both", "lure", "reset", "refuse", "all reset", "behind", "split", "relieve"}, whom: true, after: true, reach: member},
	{name: "herd_kill", share: interval{0.4, 0.6}, lasts: interval{0.4, 2}, how: []string{"", "power", "taken", "power taken", "power taken all", "off"}, on: true, after: true, reach: onCore},
	{name: "after_ack_kill", most: 1, lasts: interval{1, 4}, how: []string{"", "kill", "timed", "taken", "kill timed", "kill taken", "taken gone"}, after: true, reach: ackers},
	{name: "after_ack_wipe", most: 1, lasts: interval{1, 4}, how: []string{"", "timed", "taken", "oldest"}, after: true, reach: ackers},
	{name: "replace_core", x: interval{0.5, 2.5}, how: []string{"", "oldest", "planned", "planned oldest"}, reach: member, inTurn: true},
	{name: "disk_slow", most: 1, x: interval{10, 40}, lasts: interval{2, 6}, how: []string{""}, whom: true, reach: member},
	{name: "disk_full", most: 1, lasts: interval{1.5, 5}, how: []string{""}, whom: true, reach: member},
	{name: "disk_stall", most: 1, lasts: interval{0.5, 5}, how: []string{""}, whom: true, reach: member},
	{name: "clock_step", share: interval{0.2, 0.5}, x: interval{300, 5000}, lasts: interval{1, 6}, how: []string{"", "back", "ahead"}, whom: true},
	{name: "lossy", x: interval{0.005, 0.03}, lasts: interval{2, 6}, how: []string{""}, zone: true},
}

// Closings are the faults that may stand at a day's end, with the variants of each.
var closings = []struct {
	kind string
	how  []string
}{
	{"power_off_all", []string{"", "timed", "taken"}},
	{"kill_all", []string{"", "timed", "taken"}},
	{"wipe_after_ack", []string{"", "aimed", "timed", "taken", "oldest"}},
}

// known is the kind of that name, or nil.
func known(name string) *kind {
	for i := range kinds {
		if kinds[i].name == name {
			return &kinds[i]
		}
	}
	return nil
}

// openAt reports whether a site plays the kind.
func (k *kind) openAt(s *Site) bool { return k.needs == "" || slices.Contains(s.Contracts, k.needs) }

// Kinds are the names of all kinds, in the order of their table.
func Kinds() (names []string) {
	for _, k := range kinds {
		names = append(names, k.name)
	}
	return names
}

// words puts what is not empty behind one another.
func words(parts ...string) string {
	return strings.Join(strings.Fields(strings.Join(parts, " ")), " ")
}
