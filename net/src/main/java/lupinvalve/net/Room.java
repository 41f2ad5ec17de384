package lupinvalve.net;

import java.util.concurrent.atomic.AtomicLong;

/**
 * One budget of memory for all that connections have sent of messages that are not whole yet. Guards against many peers
 * that each begin a long message and take their time. Safe for all threads.
 */
final class Room {
    private final long most;
    private final AtomicLong taken = new AtomicLong();

    Room(long most) {
        this.most = most;
    }

    /** Takes so many bytes more, or gives some back where that is negative; false where they are not to be had. */
    boolean take(long bytes) {
        if (taken.addAndGet(bytes) > most && bytes > 0) {
            taken.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    long taken() {
        return taken.get();
    }
}
