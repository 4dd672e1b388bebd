package io.quincelead.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/**
 * Estimates which images are cached on each machine: those of the tasks most recently placed on it,
 * up to the size of its cache. The estimate is only used to rank machines; a wrong one costs an
 * image pull. It is local to this process.
 */
public final class ImageCaches {
    private final MachineTable machines;
    private final ToDoubleFunction<String> cacheGbByMachineType;
    private final Map<String, LinkedHashMap<String, Double>> imagesByHost = new HashMap<>();

    /**
     * Creates an instance without estimates.
     *
     * @param cacheGbByMachineType returns the cache size in GB of a machine type; 0: not known
     */
    public ImageCaches(MachineTable machines, ToDoubleFunction<String> cacheGbByMachineType) {
        this.machines = machines;
        this.cacheGbByMachineType = cacheGbByMachineType;
    }

    /**
     * Records that a task was placed on the machine: its image is cached or is being pulled, and is
     * now the most recently used one.
     */
    public void recordUse(String host, JobSpec spec) {
        LinkedHashMap<String, Double> images =
                imagesByHost.computeIfAbsent(host, h -> new LinkedHashMap<>());
        images.remove(spec.image());
        images.put(spec.image(), spec.imageSizeGb());
        MachineTable.Machine machine = machines.get(host);
        if (machine != null) {
            evictOldest(images, cacheGbByMachineType.applyAsDouble(machine.machineType()));
        }
        // Else it isn't known what the cache holds: a listing brings jobs before machines.
    }

    private static void evictOldest(LinkedHashMap<String, Double> images, double cacheGb) {
        double totalGb = 0;
        for (double gb : images.values()) {
            totalGb += gb;
        }
        while (totalGb > cacheGb && images.size() > 1) {
            String oldest = images.keySet().iterator().next();
            totalGb -= images.remove(oldest);
        }
    }

    /** Whether the machine probably has the image. */
    public boolean probablyHasImage(String host, String image) {
        Map<String, Double> images = imagesByHost.get(host);
        return images != null && images.containsKey(image);
    }

    /** All images that are probably on the machine; a copy. */
    public Set<String> images(String host) {
        return new HashSet<>(imagesByHost.getOrDefault(host, new LinkedHashMap<>()).keySet());
    }

    /** The images of at least this size that are probably on the machine, with their GB; a copy. */
    public Map<String, Double> largeImages(String host, double minimumGb) {
        Map<String, Double> large =
                new TreeMap<>(imagesByHost.getOrDefault(host, new LinkedHashMap<>()));
        large.values().removeIf(gb -> gb < minimumGb);
        return large;
    }

    /**
     * Adds the images on record for the machine as the least recently used ones: uses that this
     * process observed itself are newer.
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

    /** Whether there is an estimate: a use or a recorded image of the machine is known. */
    public boolean hasEstimate(String host) {
        return imagesByHost.containsKey(host);
    }

    /** Removes the estimates of machines that are no longer on record. */
    public void pruneUnrecordedMachines() {
        imagesByHost.keySet().removeIf(h -> machines.get(h) == null);
    }
}
