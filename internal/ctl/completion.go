package ctl

import (
	"context"
	"io"

	"godwitmount/internal/code"
)

const completionHelp = `
Prints a script with which the shell completes commands, options and file names.
For bash:

  source <(godwitmountctl completion bash)`

// bashScript runs the tool itself to get the completions.
const bashScript = `_godwitmountctl() {
    local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
    return 0
}
complete -F _godwitmountctl godwitmountctl
`

// shell is the name of a supported shell.
type shell string

// shellBash is the only supported shell.
const shellBash shell = "bash"

type completionCommand struct {
	Args struct {
		Shell shell `positional-arg-name:"SHELL" description:"bash"`
	} `positional-args:"yes" required:"yes"`
}

// script is a completion script and the shell it is for.
type script struct {
	Shell  shell  `json:"shell"`
	Script string `json:"script"`
}

func (c *completionCommand) run(context.Context, io.Writer) (output, error) {
	if c.Args.Shell != shellBash {
		return nil, failed(ExitUsage, code.OK, "shell %q is not supported; only %s is", c.Args.Shell, shellBash)
	}
	return &script{Shell: shellBash, Script: bashScript}, nil
}

func (s *script) writeText(w io.Writer) {
	io.WriteString(w, s.Script)
}
