package lupinvalve.maintenance;

/**
 * Decides how much of a shared space one client may hold: what is guaranteed to each, and beyond that no more than is
 * free now. So few clients may hold much and many may hold little each, and none that holds little is refused because
 * of others (dynamic threshold of Choudhury and Hahne). For bytes of memory and for places in tables. No I/O.
 */
public final class FairShare {
    private FairShare() {}

    /**
     * Whether a client may take more.
     *
     * @param held what the client holds already
     * @param guaranteed what each client may hold, whatever others hold
     * @param taken what all clients hold
     * @param limit what all clients together may hold beside what is guaranteed
     */
    public static boolean allows(long held, long guaranteed, long taken, long limit) {
        return held < guaranteed || held <= limit - taken;
    }
}
