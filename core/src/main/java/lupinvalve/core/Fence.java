package lupinvalve.core;

import java.util.function.BooleanSupplier;

/**
 * Whether this pooler may route and send requests. It must not while its configuration may have been replaced. Core
 * thread only.
 */
final class Fence {
    private BooleanSupplier mayAct = () -> true;

    /** @param mayAct evaluated before each routing decision and before the first byte of each request */
    void set(BooleanSupplier mayAct) {
        this.mayAct = mayAct;
    }

    /** Whether no request may be routed or sent now. */
    boolean isClosed() {
        return !mayAct.getAsBoolean();
    }
}
