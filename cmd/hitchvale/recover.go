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

func recoverCmd() *cobra.Command {
	c := &cobra.Command{Use: "recover", Short: "Check or repair a registry replica's data_dir without starting it"}
	c.AddCommand(recoverRunCmd("check", "Report the snapshot that would serve and every damage found; exit 1 on damage",
		false),
		recoverRunCmd("repair", "Rewrite the manifest from the newest snapshot that verifies and remove damaged files", true))
	return c
}

// checkReport is what recover prints, one JSON object.
type checkReport struct {
	Dir      string                 `json:"dir"`
	Snapshot *durable.ManifestEntry `json:"snapshot"` // the one a start would restore; null where there is none
	Damage   []durable.Damage       `json:"damage"`
	Repaired bool                   `json:"repaired,omitempty"`
}

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
			s := durable.SnapshotStore{FS: durable.OSFS{}, Dir: dir, Keep: 2}
			e, data, damage, err := s.Latest()
			rep := checkReport{Dir: args[0], Damage: damage}
			if e.File != "" {
				rep.Snapshot = &e
			}
			if err == nil && repair && len(damage) > 0 && e.File != "" {
				// Writing the newest complete snapshot again lists it alone and prunes what the manifest no longer has.
				if err = s.Write(e.Revision, data); err == nil {
					rep.Repaired, rep.Damage = true, nil
				}
			}
			text, _ := json.Marshal(rep)
			fmt.Fprintln(cmd.OutOrStdout(), string(text))
			switch {
			case errors.Is(err, durable.ErrNoSnapshot), errors.Is(err, fs.ErrNotExist):
				return failedError(fmt.Errorf("%s: %w", dir, err))
			case err != nil:
				return failedError(err)
			case len(rep.Damage) > 0:
				return failedError(fmt.Errorf("%s: %d damaged files, first %v", dir, len(rep.Damage), rep.Damage[0]))
			}
			return nil
		},
	}
}
