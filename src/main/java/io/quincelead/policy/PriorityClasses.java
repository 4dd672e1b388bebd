package io.quincelead.policy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.JobSpec;
import io.quincelead.config.constants.PolicyConstants;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * One generation of the priority classes, in their stated order; the first that matches a job is
 * its class.
 */
public final class PriorityClasses {
    /** No record: every job is ranked as the protocol and the settings say. */
    public static final PriorityClasses NONE = new PriorityClasses(0, List.of());

    private final long generation;
    private final List<JobClass> all;

    PriorityClasses(long generation, List<JobClass> all) {
        this.generation = generation;
        this.all = List.copyOf(all);
    }

    public long generation() {
        return generation;
    }

    public List<JobClass> all() {
        return all;
    }

    /** The job's class; null if none matches. */
    public JobClass classOf(JobSpec spec) {
        for (JobClass jobClass : all) {
            if (jobClass.selector().matches(spec)) {
                return jobClass;
            }
        }
        return null;
    }

    /** Reads {@code {"classes":[...]}}; {@code file} is named in errors. */
    public static PriorityClasses decode(JsonNode root, long generation, String source)
            throws InvalidRecordException {
        RecordFieldReader fields =
                new RecordFieldReader(root, source, Set.of("classes", "$schema"));
        JsonNode classNodes = fields.get("classes");
        if (classNodes == null
                || !classNodes.isArray()
                || classNodes.size() > PolicyConstants.MAX_CLASSES) {
            throw fields.invalid(
                    "classes",
                    "must be a list of at most " + PolicyConstants.MAX_CLASSES + " classes");
        }
        List<JobClass> classes = new ArrayList<>();
        List<JobSelector> earlierSelectors = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (int i = 0; i < classNodes.size(); i++) {
            String path = fields.pathOf("classes[" + i + "]");
            JobClass jobClass = JobClass.decode(classNodes.get(i), path);
            if (!names.add(jobClass.name())) {
                throw new InvalidRecordException(
                        path + ".name", "\"" + jobClass.name() + "\" stands twice");
            }
            if (jobClass.selector().isShadowedBy(earlierSelectors)) {
                throw new InvalidRecordException(
                        path + ".match",
                        "never matches: every such job ("
                                + jobClass.selector().describe()
                                + ") is matched by a class before it");
            }
            earlierSelectors.add(jobClass.selector());
            classes.add(jobClass);
        }
        return new PriorityClasses(generation, classes);
    }

    public ObjectNode encode() {
        ObjectNode node = WireFormat.newMap();
        ArrayNode classNodes = node.putArray("classes");
        all.forEach(c -> classNodes.add(c.encode()));
        return node;
    }

    /** The text of {@link #encode} in parts that each fit one record. */
    List<String> encodeParts() {
        String text = encode().toString();
        List<String> parts = new ArrayList<>();
        for (int i = 0; i < text.length(); i += PolicyConstants.MAX_CLASSES_PART_CHARS) {
            parts.add(
                    text.substring(
                            i,
                            Math.min(text.length(), i + PolicyConstants.MAX_CLASSES_PART_CHARS)));
        }
        return parts;
    }
}
