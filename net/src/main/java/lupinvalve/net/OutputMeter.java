package lupinvalve.net;

import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;

/**
 * Counts the memory of what has been written on connections and not been handed to their sockets, over all connections
 * that share it. Safe for all threads.
 *
 * @param adder counts pending bytes, or releases them if the number is negative
 * @param exhaustion whether so much is pending that connections whose peers do not read must be reset
 */
record OutputMeter(LongConsumer adder, BooleanSupplier exhaustion) {
    /** Counts nothing. */
    static final OutputMeter NONE = new OutputMeter(bytes -> {}, () -> false);

    void add(long bytes) {
        adder.accept(bytes);
    }

    boolean isExhausted() {
        return exhaustion.getAsBoolean();
    }
}
