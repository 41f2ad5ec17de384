package lupinvalve.replication;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import lupinvalve.statemachine.Command;

/** Proposes this member's audit entries to the group, one batch at a time. On the group's thread. */
final class AuditDelivery {
    private static final long INTERVAL_MICROS = 200_000;

    private final AuditLog entries;
    private final BiConsumer<Command, Consumer<Boolean>> proposer;
    private long lastProposedMicros;
    private boolean inFlight;

    /** @param proposer proposes a command, and tells whether it was committed */
    AuditDelivery(AuditLog entries, BiConsumer<Command, Consumer<Boolean>> proposer) {
        this.entries = entries;
        this.proposer = proposer;
    }

    /** Called ten times a second. */
    void tick(boolean leaderKnown, long nowMicros) {
        if (inFlight || !leaderKnown || nowMicros - lastProposedMicros < INTERVAL_MICROS) {
            return;
        }
        Command.AppendAudit batch = entries.nextBatch();
        if (batch == null) {
            return;
        }
        inFlight = true;
        lastProposedMicros = nowMicros;
        proposer.accept(batch, committed -> {
            inFlight = false;
            if (committed) {
                entries.markDelivered(batch);
            }
        });
    }
}
