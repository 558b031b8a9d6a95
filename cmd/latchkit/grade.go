package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"saltmast/internal/rehearsal"
)

func gradeCommand() *cobra.Command {
	asJSON := false
	c := &cobra.Command{
		Use:   "grade RECORD",
		Short: "Grade the record of a rehearsal again",
		Long: `grade reads the events that rehearse --record kept and judges them anew, with the
rules of the run. Exit status as that of rehearse.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			file, err := os.Open(args[0])
			if err != nil {
				return other(err)
			}
			defer file.Close()
			res, err := rehearsal.ReadRecord(file)
			if err != nil {
				return usage(fmt.Errorf("%s: %w", args[0], err))
			}
			if asJSON {
				e := json.NewEncoder(cmd.OutOrStdout())
				e.SetIndent("", " ")
				if err := e.Encode(res); err != nil {
					return other(err)
				}
			} else {
				res.Table(cmd.OutOrStdout())
			}
			return verdict(res)
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print the grade as JSON")
	return c
}
