package io.quincelead.simulation;

/** A scenario that was played, and what is wrong with it, in words; empty if nothing is. */
record ScenarioResult(SimulatedCluster cluster, String problems) {}
