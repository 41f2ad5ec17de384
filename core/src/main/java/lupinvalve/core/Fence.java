package lupinvalve.core;

import java.util.function.BooleanSupplier;

/** Whether this pooler may act: one that may be acting on a replaced configuration must not. Core thread only. */
final class Fence {
    private BooleanSupplier mayAct = () -> true;

    /** @param mayAct asked before each decision and each first byte */
    void set(BooleanSupplier mayAct) {
        this.mayAct = mayAct;
    }

    /** Whether nothing may be decided or sent now. */
    boolean isClosed() {
        return !mayAct.getAsBoolean();
    }
}
