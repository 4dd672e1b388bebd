package io.quincelead.cluster;

import java.util.AbstractCollection;
import java.util.Arrays;
import java.util.Iterator;
import java.util.NoSuchElementException;

/**
 * The placements of one page's tasks, in task index order. An array is used instead of a sorted map
 * because every controller reads every change of a page, and looking up, copying and iterating 200
 * tasks dominates the cost. Modified only within this package.
 */
public final class PlacementTable extends AbstractCollection<Placement> {
    private final int firstTaskIndex;
    private final Placement[] slots;
    private int size;

    /** Creates an empty table for {@code taskCount} tasks, starting at {@code firstTaskIndex}. */
    PlacementTable(int firstTaskIndex, int taskCount) {
        this.firstTaskIndex = firstTaskIndex;
        this.slots = new Placement[taskCount];
    }

    PlacementTable(PlacementTable other) {
        this.firstTaskIndex = other.firstTaskIndex;
        this.slots = Arrays.copyOf(other.slots, other.slots.length);
        this.size = other.size;
    }

    /**
     * The task's placement; null if it has none or is not on this page. The index counts from the
     * job's first task.
     */
    public Placement get(int taskIndex) {
        int slot = taskIndex - firstTaskIndex;
        return slot < 0 || slot >= slots.length ? null : slots[slot];
    }

    /** Whether the task has a placement in this table. */
    public boolean hasPlacement(int taskIndex) {
        return get(taskIndex) != null;
    }

    /**
     * Adds the placement, replacing the task's previous one.
     *
     * @throws IndexOutOfBoundsException if the task is not on this page
     */
    void put(Placement placement) {
        size += slots[placement.taskIndex - firstTaskIndex] == null ? 1 : 0;
        slots[placement.taskIndex - firstTaskIndex] = placement;
    }

    /**
     * Removes the placement of the task, if it has one.
     *
     * @throws IndexOutOfBoundsException if the task is not on this page
     */
    void remove(int taskIndex) {
        size -= slots[taskIndex - firstTaskIndex] == null ? 0 : 1;
        slots[taskIndex - firstTaskIndex] = null;
    }

    /** Receives a task's placement before and after a change; one of the two may be null. */
    interface ChangeVisitor {
        void visit(Placement before, Placement after);
    }

    /**
     * Visits the tasks whose placements before and after are different objects. A null table stands
     * for one without placements.
     */
    static void forEachChange(PlacementTable before, PlacementTable after, ChangeVisitor visitor) {
        int slotCount =
                before != null ? before.slots.length : after != null ? after.slots.length : 0;
        for (int slot = 0; slot < slotCount; slot++) {
            Placement previous = before == null ? null : before.slots[slot];
            Placement current = after == null ? null : after.slots[slot];
            if (previous != current) {
                visitor.visit(previous, current);
            }
        }
    }

    @Override
    public int size() {
        return size;
    }

    @Override
    public Iterator<Placement> iterator() {
        return new Iterator<>() {
            private int nextSlot = firstUsedFrom(0);

            private int firstUsedFrom(int from) {
                int slot = from;
                while (slot < slots.length && slots[slot] == null) {
                    slot++;
                }
                return slot;
            }

            @Override
            public boolean hasNext() {
                return nextSlot < slots.length;
            }

            @Override
            public Placement next() {
                if (nextSlot >= slots.length) {
                    throw new NoSuchElementException();
                }
                Placement placement = slots[nextSlot];
                nextSlot = firstUsedFrom(nextSlot + 1);
                return placement;
            }
        };
    }
}
