package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"hitchvale/internal/durable"
	"hitchvale/internal/registry"
)

// recoverCmd returns the command that checks or repairs the data of a replica.
func recoverCmd() *cobra.Command {
	c := &cobra.Command{Use: "recover", Short: "Check or repair a registry replica's data_dir without starting it"}
	c.AddCommand(
		recoverRunCmd("check", "Report the snapshot that a start would restore and all damage; exit 1 on damage", false),
		recoverRunCmd("repair", "Rewrite the manifest from the newest valid snapshot and remove damaged files", true),
	)
	return c
}

// checkReport is the JSON object that recover prints.
type checkReport struct {
	Dir      string                 `json:"dir"`
	Snapshot *durable.ManifestEntry `json:"snapshot"` // that a start would restore; null if there is none
	Damage   []durable.Damage       `json:"damage"`
	Repaired bool                   `json:"repaired,omitempty"`
}

// recoverRunCmd returns the check command, or the repair command if repair is set.
func recoverRunCmd(name, short string, repair bool) *cobra.Command {
	return &cobra.Command{
		Use:   name + " DATA_DIR",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			dir := filepath.Join(args[0], registry.SnapshotDir)
			if _, err := os.Stat(dir); err != nil {
				return usageError(fmt.Errorf("%s: %w", dir, err))
			}
			store := durable.SnapshotStore{FS: durable.OSFS{}, Dir: dir, Keep: 2}
			newest, data, damage, err := store.Latest()
			report := checkReport{Dir: args[0], Damage: damage}
			if newest.File != "" {
				report.Snapshot = &newest
			}
			if err == nil && repair && len(damage) > 0 && newest.File != "" {
				// Writing the newest valid snapshot again makes it the first in the manifest, and removes the files
				// that the manifest does not list.
				if err = store.Write(newest.Revision, data); err == nil {
					report.Repaired, report.Damage = true, nil
				}
			}
			text, _ := json.Marshal(report)
			fmt.Fprintln(cmd.OutOrStdout(), string(text))
			switch {
			case errors.Is(err, durable.ErrNoSnapshot), errors.Is(err, fs.ErrNotExist):
				return failedError(fmt.Errorf("%s: %w", dir, err))
			case err != nil:
				return failedError(err)
			case len(report.Damage) > 0:
				return failedError(fmt.Errorf("%s: %d damaged files, the first is %v", dir, len(report.Damage), report.Damage[0]))
			}
			return nil
		},
	}
}
