"""The operator's command line over the fleet, and the HTTP routes it uses."""
