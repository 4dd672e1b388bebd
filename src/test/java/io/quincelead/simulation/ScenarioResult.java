package io.quincelead.simulation;

/**
 * The cluster after a scenario, and a description of the problems found; empty if there are none.
 */
record ScenarioResult(SimulatedCluster cluster, String problems) {}
