package lupinvalve.maintenance;

import java.util.concurrent.atomic.AtomicLong;

/** A limit on memory for one purpose, shared by all connections of a process. Safe for all threads. */
public final class ByteBudget {
    /** What each client may take of a budget, whatever others have taken. */
    public static final long GUARANTEED_BYTES = 4096;

    private final long limitBytes;
    private final AtomicLong takenBytes = new AtomicLong();

    /** A budget of which nothing is taken. */
    public ByteBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Reserves bytes, or releases them if the number is negative; false if they are not available. */
    public boolean reserve(long bytes) {
        if (takenBytes.addAndGet(bytes) > limitBytes && bytes > 0) {
            takenBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /**
     * Reserves bytes for a client within its share; false if they are not available. What each client is guaranteed is
     * available in any case.
     *
     * @param heldBytes what the client holds already
     */
    public boolean reserve(long bytes, long heldBytes) {
        if (heldBytes + bytes <= GUARANTEED_BYTES) {
            add(bytes);
            return true;
        }
        return allows(heldBytes) && reserve(bytes);
    }

    /** Counts bytes that are kept whether they are available or not; releases them if the number is negative. */
    public void add(long bytes) {
        takenBytes.addAndGet(bytes);
    }

    /** Whether a client that holds this much may take more, see {@link FairShare}. */
    public boolean allows(long heldBytes) {
        return FairShare.allows(heldBytes, GUARANTEED_BYTES, takenBytes.get(), limitBytes);
    }

    /** Whether nothing more is available. */
    public boolean isExhausted() {
        return takenBytes.get() >= limitBytes;
    }

    /** Whether more than half is taken. */
    public boolean isHalfTaken() {
        return takenBytes.get() > limitBytes / 2;
    }

    /** Bytes that are taken now. */
    public long takenBytes() {
        return takenBytes.get();
    }

    /** Bytes that may be taken. */
    public long limitBytes() {
        return limitBytes;
    }

    /** What is taken, for the log. */
    @Override
    public String toString() {
        return takenBytes + " of " + limitBytes + " bytes";
    }
}
