package lupinvalve.core;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/**
 * A bounded table of numbered slots. A handle holds the slot's number and its generation, so that an event which comes
 * late, after its slot was freed and used again, finds nothing instead of a stranger.
 */
public final class Slots<T> {
    private static final int NUMBER_BITS = 20;
    private final int most;
    private final List<T> held = new ArrayList<>();
    private long[] generations = new long[16];
    private int[] free = new int[16];
    private int freeCount, size;

    public Slots(int most) {
        if (most < 1 || most > 1 << NUMBER_BITS) {
            throw new IllegalArgumentException("slots: " + most);
        }
        this.most = most;
    }

    public boolean full() {
        return size >= most;
    }

    /** Whether less than a quarter is free. */
    public boolean crowded() {
        return size > most * 3 / 4;
    }

    public int size() {
        return size;
    }

    /** Takes a slot; the table must not be full. */
    public long put(T value) {
        if (full()) {
            throw new IllegalStateException("table full: " + most);
        }
        int number;
        if (freeCount > 0) {
            number = free[--freeCount];
            held.set(number, value);
        } else {
            number = held.size();
            held.add(value);
            if (number >= generations.length) {
                generations = Arrays.copyOf(generations, number * 2);
            }
        }
        size++;
        return ++generations[number] << NUMBER_BITS | number;
    }

    /** What the handle names, or null if that is over. */
    public T get(long handle) {
        int number = (int) (handle & (1 << NUMBER_BITS) - 1);
        return handle < 0 || number >= held.size() || generations[number] != handle >> NUMBER_BITS
                ? null
                : held.get(number);
    }

    /** Frees the slot and gives what it held, or null if the handle was over already. */
    public T free(long handle) {
        T value = get(handle);
        if (value == null) {
            return null;
        }
        int number = (int) (handle & (1 << NUMBER_BITS) - 1);
        held.set(number, null);
        generations[number]++;
        if (freeCount == free.length) {
            free = Arrays.copyOf(free, freeCount * 2);
        }
        free[freeCount++] = number;
        size--;
        return value;
    }

    /** Visits what is held now; the visitor may free slots. */
    public void each(Consumer<? super T> visitor) {
        for (T value : new ArrayList<>(held)) {
            if (value != null) {
                visitor.accept(value);
            }
        }
    }
}
