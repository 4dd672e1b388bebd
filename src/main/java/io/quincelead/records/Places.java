package io.quincelead.records;

import java.util.AbstractCollection;
import java.util.Arrays;
import java.util.Iterator;
import java.util.NoSuchElementException;

/**
 * The places of one chunk's tasks, in the order of the tasks. Slots instead of a sorted map: every controller reads every
 * change of a chunk, and looking up, copying and walking 200 tasks is most of what that costs.
 */
public final class Places extends AbstractCollection<Placement> {
    private final int first;
    private final Placement[] slots;
    private int size;

    /** For {@code tasks} tasks, the first of which has the index {@code first}. */
    Places(int first, int tasks) {
        this.first = first;
        this.slots = new Placement[tasks];
    }

    Places(Places other) {
        this.first = other.first;
        this.slots = Arrays.copyOf(other.slots, other.slots.length);
        this.size = other.size;
    }

    /** The task's place, or null; the index counts from the job's first task. */
    public Placement get(int index) {
        int at = index - first;
        return at < 0 || at >= slots.length ? null : slots[at];
    }

    public boolean has(int index) {
        return get(index) != null;
    }

    /** Sets the place of its task; an index that isn't of this chunk is an {@link IndexOutOfBoundsException}. */
    void put(Placement p) {
        size += slots[p.index - first] == null ? 1 : 0;
        slots[p.index - first] = p;
    }

    void remove(int index) {
        size -= slots[index - first] == null ? 0 : 1;
        slots[index - first] = null;
    }

    /** Takes what one chunk had and another has of a task; either may be null. */
    interface Change {
        void of(Placement before, Placement after);
    }

    /** Walks over the tasks whose places differ from those before; null: there are none. */
    static void changes(Places before, Places after, Change change) {
        int n = before != null ? before.slots.length : after != null ? after.slots.length : 0;
        for (int i = 0; i < n; i++) {
            Placement old = before == null ? null : before.slots[i];
            Placement now = after == null ? null : after.slots[i];
            if (old != now) {
                change.of(old, now);
            }
        }
    }

    @Override public int size() {
        return size;
    }

    @Override public Iterator<Placement> iterator() {
        return new Iterator<>() {
            private int at = next(0);

            private int next(int from) {
                int i = from;
                while (i < slots.length && slots[i] == null) {
                    i++;
                }
                return i;
            }

            @Override public boolean hasNext() {
                return at < slots.length;
            }

            @Override public Placement next() {
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
