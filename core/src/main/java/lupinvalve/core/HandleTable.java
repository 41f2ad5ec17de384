package lupinvalve.core;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/**
 * A bounded table of numbered slots. A handle holds the slot's number and its generation, so that an event which comes
 * late, after its slot was freed and used again, finds nothing instead of another entry. For one thread.
 *
 * @param <T> what the table holds
 */
public final class HandleTable<T> {
    /** A handle that no entry has. */
    public static final long NO_HANDLE = -1;

    private static final int SLOT_BITS = 20;
    private static final int SLOT_MASK = (1 << SLOT_BITS) - 1;
    private static final int INITIAL_CAPACITY = 16;

    private final int capacity;
    private final List<T> slots = new ArrayList<>();
    private long[] generations = new long[INITIAL_CAPACITY];
    private int[] free = new int[INITIAL_CAPACITY];
    private int freeCount;
    private int size;

    /** @param capacity entries at most */
    public HandleTable(int capacity) {
        if (capacity < 1 || capacity > 1 << SLOT_BITS) {
            throw new IllegalArgumentException("slots: " + capacity);
        }
        this.capacity = capacity;
    }

    /** Whether no slot is free. */
    public boolean isFull() {
        return size >= capacity;
    }

    /** Entries in the table. */
    public int size() {
        return size;
    }

    /**
     * Adds an entry and gives its handle.
     *
     * @throws IllegalStateException where the table is full
     */
    public long put(T value) {
        if (isFull()) {
            throw new IllegalStateException("table full: " + capacity);
        }
        int slot;
        if (freeCount > 0) {
            slot = free[--freeCount];
            slots.set(slot, value);
        } else {
            slot = slots.size();
            slots.add(value);
            if (slot >= generations.length) {
                generations = Arrays.copyOf(generations, slot * 2);
            }
        }
        size++;
        return ++generations[slot] << SLOT_BITS | slot;
    }

    /** The entry of a handle, or null where it has been removed. */
    public T get(long handle) {
        int slot = (int) (handle & SLOT_MASK);
        return handle < 0 || slot >= slots.size() || generations[slot] != handle >> SLOT_BITS ? null : slots.get(slot);
    }

    /** Removes an entry and gives it, or null where it had been removed already. */
    public T remove(long handle) {
        T value = get(handle);
        if (value == null) {
            return null;
        }
        int slot = (int) (handle & SLOT_MASK);
        slots.set(slot, null);
        generations[slot]++;
        if (freeCount == free.length) {
            free = Arrays.copyOf(free, freeCount * 2);
        }
        free[freeCount++] = slot;
        size--;
        return value;
    }

    /** Visits the entries that are in the table now; the visitor may remove some. */
    public void forEach(Consumer<? super T> visitor) {
        for (T value : new ArrayList<>(slots)) {
            if (value != null) {
                visitor.accept(value);
            }
        }
    }
}
