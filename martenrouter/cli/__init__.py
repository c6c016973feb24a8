"""The command line: sub-commands by click, one file a group of commands; they print and exit."""
