package io.quincelead.policy;

import io.quincelead.cluster.JobSpec;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Selects the jobs that an operators' rule applies to: those that equal the selector in each stated
 * field.
 *
 * @param jobClass the job class that users state; null: any
 * @param team null: any
 * @param priority null: any
 * @param mode null: any
 */
public record JobSelector(
        String jobClass, String team, JobSpec.Priority priority, JobSpec.Mode mode) {
    /** Matches every job. */
    static final JobSelector ANY = new JobSelector(null, null, null, null);

    boolean matches(JobSpec spec) {
        return matchesValues(spec.jobClass(), spec.team(), spec.priority(), spec.mode());
    }

    private boolean matchesValues(
            String candidateClass,
            String candidateTeam,
            JobSpec.Priority candidatePriority,
            JobSpec.Mode candidateMode) {
        return (jobClass == null || jobClass.equals(candidateClass))
                && (team == null || team.equals(candidateTeam))
                && (priority == null || priority == candidatePriority)
                && (mode == null || mode == candidateMode);
    }

    /** Whether this selector matches each job that the other one matches. */
    private boolean subsumes(JobSelector other) {
        return (jobClass == null || jobClass.equals(other.jobClass))
                && (team == null || team.equals(other.team))
                && (priority == null || priority == other.priority)
                && (mode == null || mode == other.mode);
    }

    /** Whether each job that this selector matches is matched by one of the earlier ones. */
    boolean isShadowedBy(List<JobSelector> earlier) {
        if (earlier.stream().anyMatch(selector -> selector.subsumes(this))) {
            return true;
        }
        // Several earlier selectors may match these jobs together: every value that they name is
        // tried, and one that none of them names.
        List<String> classes =
                candidateValues(jobClass, earlier.stream().map(JobSelector::jobClass).toList());
        List<String> teams =
                candidateValues(team, earlier.stream().map(JobSelector::team).toList());
        List<JobSpec.Priority> priorities =
                priority != null ? List.of(priority) : Arrays.asList(JobSpec.Priority.values());
        List<JobSpec.Mode> modes =
                mode != null ? List.of(mode) : Arrays.asList(JobSpec.Mode.values());
        for (String candidateClass : classes) {
            for (String candidateTeam : teams) {
                for (JobSpec.Priority candidatePriority : priorities) {
                    for (JobSpec.Mode candidateMode : modes) {
                        if (earlier.stream()
                                .noneMatch(
                                        selector ->
                                                selector.matchesValues(
                                                        candidateClass,
                                                        candidateTeam,
                                                        candidatePriority,
                                                        candidateMode))) {
                            return false;
                        }
                    }
                }
            }
        }
        return true;
    }

    private static List<String> candidateValues(String ownValue, List<String> namedValues) {
        if (ownValue != null) {
            return List.of(ownValue);
        }
        Set<String> distinct = new LinkedHashSet<>(namedValues);
        distinct.remove(null);
        List<String> candidates = new ArrayList<>();
        // No job can have this value, so it stands for all values that no selector names.
        candidates.add("\n");
        candidates.addAll(distinct);
        return candidates;
    }

    /** The selector's description for people. */
    String describe() {
        List<String> parts = new ArrayList<>();
        if (jobClass != null) {
            parts.add("class " + jobClass);
        }
        if (team != null) {
            parts.add("team " + team);
        }
        if (priority != null) {
            parts.add(priority.wireName());
        }
        if (mode != null) {
            parts.add(mode.wireName());
        }
        return parts.isEmpty() ? "all jobs" : String.join(", ", parts);
    }
}
