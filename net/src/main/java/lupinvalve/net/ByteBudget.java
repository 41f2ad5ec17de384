package lupinvalve.net;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A memory budget shared by the incomplete messages of all connections. Guards against many peers that each begin a
 * long message and send it slowly. Safe for all threads.
 */
final class ByteBudget {
    private final long limitBytes;
    private final AtomicLong takenBytes = new AtomicLong();

    ByteBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Reserves the given number of bytes, or releases them if it is negative; false if they are not available. */
    boolean reserve(long bytes) {
        if (takenBytes.addAndGet(bytes) > limitBytes && bytes > 0) {
            takenBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    long takenBytes() {
        return takenBytes.get();
    }
}
