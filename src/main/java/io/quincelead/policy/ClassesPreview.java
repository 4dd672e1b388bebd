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

/** What other classes would change for the jobs that wait now, and which bounds can't be kept. */
final class ClassesPreview {
    /** Jobs and their waiting tasks that would go from one class to another. */
    private static final class Transition {
        private int jobs;
        private int tasks;
    }

    private final JobTable jobs;
    private final PriorityClasses current;
    private final PriorityClasses proposed;
    private final Map<String, Transition> transitions = new TreeMap<>();
    private final Map<String, Double> wantedCpusByClass = new LinkedHashMap<>();
    private double runningCpus;

    ClassesPreview(JobTable jobs, PriorityClasses current, PriorityClasses proposed) {
        this.jobs = jobs;
        this.current = current;
        this.proposed = proposed;
    }

    /** The preview as operators are told it. */
    ObjectNode compute() {
        proposed.all().forEach(jobClass -> wantedCpusByClass.put(jobClass.name(), 0.0));
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
            wantedCpusByClass.merge(
                    newClass.name(),
                    job.waitingTaskCount() * newClass.minStartedShare() * job.spec.cpus(),
                    Double::sum);
        }
    }

    private static String label(PriorityClass jobClass) {
        return jobClass == null ? "none" : jobClass.name() + " (" + jobClass.rank() + ")";
    }

    private void addWarnings(ArrayNode warnings) {
        double totalCpus = 0;
        for (PriorityClass jobClass : proposed.all()) {
            totalCpus += wantedCpusByClass.get(jobClass.name());
            if (jobClass.startWithinSeconds() < SchedulerConstants.LONG_WAIT_SECONDS) {
                warnings.add(
                        jobClass.name()
                                + ": beginWithinS is "
                                + jobClass.startWithinSeconds()
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
