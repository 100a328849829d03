package labcmd

import "github.com/spf13/cobra"

func throughput() *cobra.Command { return &cobra.Command{Use: "throughput", Hidden: true} }
