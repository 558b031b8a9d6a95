package lab

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/parquet-go/parquet-go"
)

// RunRow is a run in the file of runs: what was played, then model.Result without its windows.
type RunRow struct {
	Experiment    string  `parquet:"experiment,dict"`
	Arm           int32   `parquet:"arm"`
	Label         string  `parquet:"label,dict"`
	Values        string  `parquet:"values,dict"` // of the sweep's keys, as JSON
	Seed          int64   `parquet:"seed"`
	Requests      int64   `parquet:"requests"`
	Share         float64 `parquet:"share"`
	Worst         float64 `parquet:"worst"`
	Served        int64   `parquet:"served"`
	Late          int64   `parquet:"late"`
	Refused       int64   `parquet:"refused"`
	Failed        int64   `parquet:"failed"`
	Unsent        int64   `parquet:"unsent"`
	Left          int64   `parquet:"left"`
	P50Ms         float64 `parquet:"p50_ms"`
	P99Ms         float64 `parquet:"p99_ms"`
	Tries         int64   `parquet:"tries"`
	Attempts      int64   `parquet:"attempts"`
	Full          int64   `parquet:"full"`
	TimedOut      int64   `parquet:"timed_out"`
	ConnectFailed int64   `parquet:"connect_failed"`
	Resets        int64   `parquet:"resets"`
	Errors        int64   `parquet:"errors"`
	Connects      int64   `parquet:"connects"`
	MostConns     int64   `parquet:"most_conns"`
	Connected     float64 `parquet:"connected"`
	ListCalls     int64   `parquet:"list_calls"`
	ListFails     int64   `parquet:"list_fails"`
	ListLines     int64   `parquet:"list_lines"`
	MostCalls     int64   `parquet:"most_calls"`
	Probes        int64   `parquet:"probes"`
	Fell          int64   `parquet:"fell"`
	Coldest       float64 `parquet:"coldest"`
	Twice         int64   `parquet:"twice"`
	Doubtful      int64   `parquet:"doubtful"`
	Nets          int64   `parquet:"nets"`
	Uneven        float64 `parquet:"uneven"`
}

// WindowRow is one second of a run in the file of windows.
type WindowRow struct {
	Arm       int32   `parquet:"arm"`
	Seed      int64   `parquet:"seed"`
	AtS       int32   `parquet:"at_s"`
	Asked     float64 `parquet:"asked"`
	InTime    float64 `parquet:"in_time"`
	Requests  int64   `parquet:"requests"`
	Refused   int64   `parquet:"refused"`
	Late      int64   `parquet:"late"`
	Failed    int64   `parquet:"failed"`
	Connects  int64   `parquet:"connects"`
	ListCalls int64   `parquet:"list_calls"`
	Conns     int64   `parquet:"conns"`
}

// RunRows are the rows of all runs.
func (e *Experiment) RunRows(all []One) ([]RunRow, error) {
	var rows []RunRow
	for _, o := range all {
		values := map[string]any{}
		for i, s := range e.Sweep {
			values[s.Key] = o.Arm.Values[i]
		}
		raw, err := json.Marshal(values) // keys come sorted
		if err != nil {
			return nil, err
		}
		r := o.Result
		rows = append(rows, RunRow{Experiment: e.Name, Arm: int32(o.Arm.No), Label: e.Label(o.Arm), Values: string(raw), Seed: int64(o.Seed),
			Requests: int64(r.Requests), Share: r.Share, Worst: r.Worst, Served: int64(r.Served), Late: int64(r.Late),
			Refused: int64(r.Refused), Failed: int64(r.Failed), Unsent: int64(r.Unsent), Left: int64(r.Left), P50Ms: r.P50Ms, P99Ms: r.P99Ms,
			Tries: int64(r.Tries), Attempts: int64(r.Attempts), Full: int64(r.Full), TimedOut: int64(r.TimedOut),
			ConnectFailed: int64(r.ConnectFailed), Resets: int64(r.Resets), Errors: int64(r.Errors), Connects: int64(r.Connects),
			MostConns: int64(r.MostConns), Connected: r.Connected, ListCalls: int64(r.ListCalls), ListFails: int64(r.ListFails),
			ListLines: int64(r.ListLines), MostCalls: int64(r.MostCalls), Probes: int64(r.Probes), Fell: int64(r.Fell),
			Coldest: r.Coldest, Twice: int64(r.Twice), Doubtful: int64(r.Doubtful), Nets: int64(r.Nets), Uneven: r.Uneven})
	}
	return rows, nil
}

// WindowRows are the seconds of all runs.
func WindowRows(all []One) []WindowRow {
	var rows []WindowRow
	for _, o := range all {
		for _, x := range o.Result.Windows {
			rows = append(rows, WindowRow{Arm: int32(o.Arm.No), Seed: int64(o.Seed), AtS: int32(x.AtS), Asked: x.Asked, InTime: x.InTime,
				Requests: int64(x.Requests), Refused: int64(x.Refused), Late: int64(x.Late), Failed: int64(x.Failed),
				Connects: int64(x.Connects), ListCalls: int64(x.ListCalls), Conns: int64(x.Conns)})
		}
	}
	return rows
}

// WriteParquet writes rows, compressed, the same bytes for the same rows.
func WriteParquet[T any](w io.Writer, rows []T) error {
	pw := parquet.NewGenericWriter[T](w, parquet.Compression(&parquet.Zstd), parquet.CreatedBy("latchkit lab", "1", ""))
	if _, err := pw.Write(rows); err != nil {
		return fmt.Errorf("parquet: %w", err)
	}
	if err := pw.Close(); err != nil {
		return fmt.Errorf("parquet: %w", err)
	}
	return nil
}
