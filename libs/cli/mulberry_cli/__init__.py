"""The command-line tool mulberrystage."""
