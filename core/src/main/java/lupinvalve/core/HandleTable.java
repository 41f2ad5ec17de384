package lupinvalve.core;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/**
 * A bounded table that assigns a handle to each entry. A handle consists of the number and the generation of a slot, so
 * that a late event whose slot has been freed and reused finds null and not the entry that now has the slot. Not
 * thread-safe.
 *
 * @param <T> type of the entries
 */
public final class HandleTable<T> {
    /** A handle that is never assigned. */
    public static final long NO_HANDLE = -1;

    private static final int SLOT_BITS = 20;
    private static final int SLOT_MASK = (1 << SLOT_BITS) - 1;
    private static final int INITIAL_CAPACITY = 16;

    private final int capacity;
    private final List<T> slots = new ArrayList<>();
    private long[] generations = new long[INITIAL_CAPACITY];
    private int[] freeSlots = new int[INITIAL_CAPACITY];
    private int freeSlotCount;
    private int size;

    /** @param capacity maximum number of entries */
    public HandleTable(int capacity) {
        if (capacity < 1 || capacity > 1 << SLOT_BITS) {
            throw new IllegalArgumentException("handle table capacity out of range: " + capacity);
        }
        this.capacity = capacity;
    }

    /** Whether no slot is free. */
    public boolean isFull() {
        return size >= capacity;
    }

    /** Maximum number of entries. */
    public int capacity() {
        return capacity;
    }

    /** Entries in the table. */
    public int size() {
        return size;
    }

    /**
     * Adds an entry and returns its handle.
     *
     * @throws IllegalStateException if the table is full
     */
    public long put(T value) {
        if (isFull()) {
            throw new IllegalStateException("handle table is full: " + capacity + " entries");
        }
        int slot;
        if (freeSlotCount > 0) {
            slot = freeSlots[--freeSlotCount];
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

    /** The entry with this handle, or null if it has been removed. */
    public T get(long handle) {
        int slot = (int) (handle & SLOT_MASK);
        return handle < 0 || slot >= slots.size() || generations[slot] != handle >> SLOT_BITS ? null : slots.get(slot);
    }

    /** Removes an entry and returns it, or returns null if it had been removed before. */
    public T remove(long handle) {
        T value = get(handle);
        if (value == null) {
            return null;
        }
        int slot = (int) (handle & SLOT_MASK);
        slots.set(slot, null);
        generations[slot]++;
        if (freeSlotCount == freeSlots.length) {
            freeSlots = Arrays.copyOf(freeSlots, freeSlotCount * 2);
        }
        freeSlots[freeSlotCount++] = slot;
        size--;
        return value;
    }

    /** Visits the entries that are in the table at the call; the visitor may remove entries. */
    public void forEach(Consumer<? super T> visitor) {
        for (T value : new ArrayList<>(slots)) {
            if (value != null) {
                visitor.accept(value);
            }
        }
    }
}
