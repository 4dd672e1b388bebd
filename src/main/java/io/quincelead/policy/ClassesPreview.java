package io.quincelead.policy;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.Job;
import io.quincelead.cluster.JobTable;
import io.quincelead.config.constants.AutoscalerConstants;
import io.quincelead.config.constants.SchedulerConstants;
import io.quincelead.transport.WireFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Previews proposed classes: which waiting jobs change their class, and which limits can't be kept.
 */
final class ClassesPreview {
    /** Counts of jobs and their waiting tasks that would move from one class to another. */
    private static final class Transition {
        private int jobs;
        private int tasks;
    }

    private final JobTable jobs;
    private final PriorityClasses current;
    private final PriorityClasses proposed;
    private final Map<String, Transition> transitions = new TreeMap<>();
    private final Map<String, Double> requiredCpusByClass = new LinkedHashMap<>();
    private double runningCpus;

    ClassesPreview(JobTable jobs, PriorityClasses current, PriorityClasses proposed) {
        this.jobs = jobs;
        this.current = current;
        this.proposed = proposed;
    }

    /** The preview as the body of the operators' response. */
    ObjectNode compute() {
        proposed.all().forEach(priorityClass -> requiredCpusByClass.put(priorityClass.name(), 0.0));
        for (Job job : jobs.all()) {
            runningCpus += job.possiblyRunningTaskCount() * job.spec.cpus();
            if (job.waitingTaskCount() > 0 && !job.isCancelled()) {
                addWaiting(job);
            }
        }
        ObjectNode out = WireFormat.newMap();
        ObjectNode transitionsNode = out.putObject("waiting");
        transitions.forEach(
                (name, transition) ->
                        transitionsNode
                                .putObject(name)
                                .put("jobs", transition.jobs)
                                .put("tasks", transition.tasks));
        addWarnings(out.putArray("warnings"));
        return out;
    }

    private void addWaiting(Job job) {
        PriorityClass newClass = proposed.classOf(job.spec);
        String name = label(current.classOf(job.spec)) + " -> " + label(newClass);
        Transition transition = transitions.computeIfAbsent(name, key -> new Transition());
        transition.jobs++;
        transition.tasks += job.waitingTaskCount();
        if (newClass != null) {
            requiredCpusByClass.merge(
                    newClass.name(),
                    job.waitingTaskCount() * newClass.minStartedShare() * job.spec.cpus(),
                    Double::sum);
        }
    }

    private static String label(PriorityClass priorityClass) {
        return priorityClass == null
                ? "none"
                : priorityClass.name() + " (" + priorityClass.rank() + ")";
    }

    private void addWarnings(ArrayNode warnings) {
        double totalCpus = 0;
        for (PriorityClass priorityClass : proposed.all()) {
            totalCpus += requiredCpusByClass.get(priorityClass.name());
            if (priorityClass.startWithinSeconds() < SchedulerConstants.LONG_WAIT_SECONDS) {
                warnings.add(
                        priorityClass.name()
                                + ": beginWithinS is "
                                + priorityClass.startWithinSeconds()
                                + " s; a machine rented for it takes "
                                + (long) AutoscalerConstants.TYPICAL_BOOT_SECONDS
                                + " s and more to be up");
            }
        }
        if (totalCpus > runningCpus && runningCpus > 0) {
            warnings.add(
                    "the shares that should begin in time come to "
                            + Math.round(totalCpus)
                            + " CPUs of waiting work; "
                            + Math.round(runningCpus)
                            + " CPUs are in use now: what can't begin in time is shared by age");
        }
    }
}
