package lupinvalve.maintenance;

/**
 * Decides how much of a shared space one client may hold: no more than is free now. Few clients may hold much and many
 * may hold little each, and part of the space is always left for those that hold nothing (dynamic threshold of
 * Choudhury and Hahne). For bytes of memory and for places in tables. No I/O.
 */
public final class FairShare {
    private FairShare() {}

    /**
     * Whether a client may take more.
     *
     * @param held what the client holds already
     * @param taken what all clients hold
     * @param limit what all clients together may hold
     */
    public static boolean allows(long held, long taken, long limit) {
        return held <= limit - taken;
    }
}
