package lupinvalve.net;

/**
 * What one connection's pending output counts towards an {@link OutputMeter}: its bytes, and the objects that hold
 * them. Safe for all threads.
 */
final class PendingOutputCharge {
    /** Memory of a write request beside its bytes. */
    private static final int WRITE_REQUEST_BYTES = 256;

    private final OutputMeter meter;
    private long bytesSubmitted;
    private long requestsSubmitted;
    private long requestsSent;
    private long chargedBytes;
    private boolean isEnded;

    PendingOutputCharge(OutputMeter meter) {
        this.meter = meter;
    }

    /** Counts a write request that is about to be handed to the socket's thread. */
    synchronized void submit(long bytes) {
        bytesSubmitted += bytes;
        requestsSubmitted++;
        charge(chargedBytes + bytes + WRITE_REQUEST_BYTES);
    }

    /**
     * A write request has been handed to the socket completely.
     *
     * @param bytesWritten bytes handed to the socket so far
     */
    synchronized void onSent(long bytesWritten) {
        requestsSent++;
        settle(bytesWritten);
    }

    /** Releases what has been handed to the socket meanwhile. */
    synchronized void settle(long bytesWritten) {
        long requestsPending = requestsSubmitted - requestsSent;
        charge(Math.max(0, bytesSubmitted - bytesWritten) + requestsPending * WRITE_REQUEST_BYTES);
    }

    /** The connection has ended: nothing is pending any more. */
    synchronized void end() {
        charge(0);
        isEnded = true;
    }

    private void charge(long bytes) {
        if (!isEnded) {
            meter.add(bytes - chargedBytes);
            chargedBytes = bytes;
        }
    }
}
