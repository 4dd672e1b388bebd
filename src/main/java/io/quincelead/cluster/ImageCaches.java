package io.quincelead.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/**
 * Which images a machine probably has: those of the tasks last placed there, up to the size of its
 * cache. A guess that only ranks machines; a wrong one costs a fetch. Kept by this process alone.
 */
public final class ImageCaches {
    private final MachineTable machines;
    private final ToDoubleFunction<String> cacheGbOfType;
    private final Map<String, LinkedHashMap<String, Double>> imagesByHost = new HashMap<>();

    /** {@code cacheGbOfType} tells the cache size of a machine type; 0: not known. */
    public ImageCaches(MachineTable machines, ToDoubleFunction<String> cacheGbOfType) {
        this.machines = machines;
        this.cacheGbOfType = cacheGbOfType;
    }

    /**
     * Notes that a task was placed: its image is there or is being fetched, and is the most
     * recently used one.
     */
    public void recordUse(String host, JobSpec spec) {
        MachineTable.Machine machine = machines.get(host);
        if (machine == null) {
            return;
        }
        LinkedHashMap<String, Double> images =
                imagesByHost.computeIfAbsent(host, h -> new LinkedHashMap<>());
        images.remove(spec.image());
        images.put(spec.image(), spec.imageSizeGb());
        double totalGb = 0;
        for (double gb : images.values()) {
            totalGb += gb;
        }
        double capacityGb = cacheGbOfType.applyAsDouble(machine.machineType());
        while (totalGb > capacityGb && images.size() > 1) {
            String oldest = images.keySet().iterator().next();
            totalGb -= images.remove(oldest);
        }
    }

    /** Whether the machine probably has the image. */
    public boolean probablyHasImage(String host, String image) {
        Map<String, Double> images = imagesByHost.get(host);
        return images != null && images.containsKey(image);
    }

    /** All images that the machine probably has; a copy. */
    public Set<String> images(String host) {
        return new HashSet<>(imagesByHost.getOrDefault(host, new LinkedHashMap<>()).keySet());
    }

    /** Those images of at least this size, with their GB; a copy. */
    public Map<String, Double> largeImages(String host, double minimumGb) {
        Map<String, Double> large =
                new TreeMap<>(imagesByHost.getOrDefault(host, new LinkedHashMap<>()));
        large.values().removeIf(gb -> gb < minimumGb);
        return large;
    }

    /**
     * Adds what a record says that the machine has. It comes first in the order of use: what this
     * process saw placed itself is newer.
     */
    public void mergeRecorded(String host, Map<String, Double> images) {
        LinkedHashMap<String, Double> known =
                imagesByHost.computeIfAbsent(host, h -> new LinkedHashMap<>());
        LinkedHashMap<String, Double> merged = new LinkedHashMap<>(images);
        known.forEach(
                (image, gb) -> {
                    merged.remove(image);
                    merged.put(image, gb);
                });
        imagesByHost.put(host, merged);
    }

    /** Whether any task was ever placed there, as far as this process knows. */
    public boolean hasEstimate(String host) {
        return imagesByHost.containsKey(host);
    }

    /** Forgets machines that are no longer on record. */
    public void pruneUnrecordedMachines() {
        imagesByHost.keySet().removeIf(h -> machines.get(h) == null);
    }
}
