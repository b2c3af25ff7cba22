"""The operator's command line over the whole fleet, and the HTTP routes it uses."""
