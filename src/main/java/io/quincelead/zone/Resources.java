package io.quincelead.zone;

/** An amount of CPUs, memory and GPUs. */
record Resources(double cpus, double memoryGb, double gpus) {
    static final Resources NONE = new Resources(0, 0, 0);

    Resources plus(Resources other) {
        return new Resources(cpus + other.cpus, memoryGb + other.memoryGb, gpus + other.gpus);
    }

    Resources minus(Resources other) {
        return new Resources(cpus - other.cpus, memoryGb - other.memoryGb, gpus - other.gpus);
    }

    /** Whether this is enough for the demand, each part up to a tolerance. */
    boolean covers(Resources demand, double tolerance) {
        return cpus >= demand.cpus - tolerance
                && memoryGb >= demand.memoryGb - tolerance
                && gpus >= demand.gpus - tolerance;
    }

    /** Whether any part is more than the tolerance. */
    boolean isAnyAbove(double tolerance) {
        return cpus > tolerance || memoryGb > tolerance || gpus > tolerance;
    }
}
