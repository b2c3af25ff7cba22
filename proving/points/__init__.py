"""Simulator scenarios that provoke failures and check that the promises in POINTS hold."""
