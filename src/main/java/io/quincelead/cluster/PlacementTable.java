package io.quincelead.cluster;

import java.util.AbstractCollection;
import java.util.Arrays;
import java.util.Iterator;
import java.util.NoSuchElementException;

/**
 * The places of one chunk's tasks, in the order of the tasks. Slots instead of a sorted map: every
 * controller reads every change of a chunk, and looking up, copying and walking 200 tasks is most
 * of what that costs.
 */
public final class PlacementTable extends AbstractCollection<Placement> {
    private final int firstTaskIndex;
    private final Placement[] slots;
    private int size;

    /** For {@code tasks} tasks, the first of which has the index {@code first}. */
    PlacementTable(int firstTaskIndex, int taskCount) {
        this.firstTaskIndex = firstTaskIndex;
        this.slots = new Placement[taskCount];
    }

    PlacementTable(PlacementTable other) {
        this.firstTaskIndex = other.firstTaskIndex;
        this.slots = Arrays.copyOf(other.slots, other.slots.length);
        this.size = other.size;
    }

    /** The task's place, or null; the index counts from the job's first task. */
    public Placement get(int taskIndex) {
        int slot = taskIndex - firstTaskIndex;
        return slot < 0 || slot >= slots.length ? null : slots[slot];
    }

    public boolean hasPlacement(int taskIndex) {
        return get(taskIndex) != null;
    }

    /**
     * Sets the place of its task; an index that isn't of this chunk is an {@link
     * IndexOutOfBoundsException}.
     */
    void put(Placement placement) {
        size += slots[placement.taskIndex - firstTaskIndex] == null ? 1 : 0;
        slots[placement.taskIndex - firstTaskIndex] = placement;
    }

    void remove(int taskIndex) {
        size -= slots[taskIndex - firstTaskIndex] == null ? 0 : 1;
        slots[taskIndex - firstTaskIndex] = null;
    }

    /** Takes what one chunk had and another has of a task; either may be null. */
    interface ChangeVisitor {
        void visit(Placement before, Placement after);
    }

    /** Walks over the tasks whose places differ from those before; null: there are none. */
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
            private int at = next(0);

            private int next(int from) {
                int i = from;
                while (i < slots.length && slots[i] == null) {
                    i++;
                }
                return i;
            }

            @Override
            public boolean hasNext() {
                return at < slots.length;
            }

            @Override
            public Placement next() {
                if (at >= slots.length) {
                    throw new NoSuchElementException();
                }
                Placement p = slots[at];
                at = next(at + 1);
                return p;
            }
        };
    }
}
