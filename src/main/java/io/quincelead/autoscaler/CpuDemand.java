package io.quincelead.autoscaler;

import io.quincelead.config.constants.AutoscalerConstants;

/**
 * How many CPUs the unconstrained work needs.
 *
 * @param steadyStateCpus CPUs that work arriving at the present rate keeps busy, with a margin
 * @param shortfallCpus CPUs that are missing for work that would otherwise miss its deadline
 * @param usedCpus CPUs that placed tasks use now
 * @param deadlineCpus CPUs that all placed and queued work needs to end by its deadlines
 * @param pendingCpus CPUs that the pending tasks request, as far as their teams' limits allow them
 * @param calendarCpus CPUs that calendar windows will need beyond what their covered work uses or
 *     requests already
 */
record CpuDemand(
        double steadyStateCpus,
        double shortfallCpus,
        double usedCpus,
        double deadlineCpus,
        double pendingCpus,
        double calendarCpus) {

    /** Returns a copy of this demand with the given {@link #calendarCpus}. */
    CpuDemand withCalendarCpus(double cpus) {
        return new CpuDemand(
                steadyStateCpus, shortfallCpus, usedCpus, deadlineCpus, pendingCpus, cpus);
    }

    /**
     * The CPUs up to which on-demand machines are kept: the larger of what is in use, with a
     * reserve, and what the deadlines need, plus what calendar windows need.
     *
     * @param reserveFraction the operators' reserve, as a fraction of the CPUs in use
     */
    double onDemandCpusToKeep(double reserveFraction) {
        double reserveCpus =
                reserveFraction
                        * Math.min(
                                usedCpus,
                                Math.sqrt(usedCpus * AutoscalerConstants.LINEAR_RESERVE_MAX_CPUS));
        return Math.max(usedCpus + reserveCpus, deadlineCpus) + calendarCpus;
    }

    /**
     * The CPUs up to which spot machines are kept: as many as for on-demand machines, but at least
     * the steady-state load.
     *
     * @param reserveFraction the operators' reserve, as a fraction of the CPUs in use
     */
    double spotCpusToKeep(double reserveFraction) {
        return Math.max(steadyStateCpus, onDemandCpusToKeep(reserveFraction));
    }
}
