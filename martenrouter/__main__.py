"""python -m martenrouter: the command line."""

from martenrouter.cli.main import main

main()
