package lupinvalve.net;

import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import java.util.function.LongPredicate;

/**
 * Counts the memory of what has been written on connections and not been handed to their sockets, over all connections
 * that share it. Safe for all threads.
 *
 * @param adder counts pending bytes, or releases them if the number is negative
 * @param share whether a connection that has this much pending may have more
 * @param exhaustion whether so much is pending that connections whose peers do not read must be reset
 */
record OutputMeter(LongConsumer adder, LongPredicate share, BooleanSupplier exhaustion) {
    /** Counts nothing. */
    static final OutputMeter NONE = new OutputMeter(bytes -> {}, pending -> true, () -> false);

    void add(long bytes) {
        adder.accept(bytes);
    }

    boolean allows(long pendingBytes) {
        return share.test(pendingBytes);
    }

    boolean isExhausted() {
        return exhaustion.getAsBoolean();
    }
}
