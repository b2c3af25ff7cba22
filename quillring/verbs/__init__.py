"""The command line for roles and operators, and the HTTP routes of a node."""
