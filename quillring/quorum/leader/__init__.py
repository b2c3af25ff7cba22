"""The proposer's side of a part's replicated log: election, replication, lease, membership."""
