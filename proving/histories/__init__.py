"""Records the calls of operators and clients under faults and checks them for linearizability."""
