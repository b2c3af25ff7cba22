"""The Paxos proposer of a part's replicated log: election, replication, lease and membership."""
