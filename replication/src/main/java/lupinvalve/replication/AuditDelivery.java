package lupinvalve.replication;

import java.util.function.BiConsumer;
import java.util.function.Consumer;
import lupinvalve.statemachine.Command;

/** Proposes this member's audit entries to the group, one batch at a time. On the group's thread. */
final class AuditDelivery {
    private static final long PROPOSAL_INTERVAL_MICROS = 200_000;

    private final AuditLog auditLog;
    private final BiConsumer<Command, Consumer<Boolean>> proposer;
    private long lastProposedMicros;
    private boolean inFlight;

    /** @param proposer proposes a command and passes to the callback whether it was committed */
    AuditDelivery(AuditLog auditLog, BiConsumer<Command, Consumer<Boolean>> proposer) {
        this.auditLog = auditLog;
        this.proposer = proposer;
    }

    /** To be called every 100 ms. */
    void tick(boolean leaderKnown, long nowMicros) {
        if (inFlight || !leaderKnown || nowMicros - lastProposedMicros < PROPOSAL_INTERVAL_MICROS) {
            return;
        }
        Command.AppendAudit batch = auditLog.nextBatch();
        if (batch == null) {
            return;
        }
        inFlight = true;
        lastProposedMicros = nowMicros;
        proposer.accept(batch, committed -> {
            inFlight = false;
            if (committed) {
                auditLog.markDelivered(batch);
            }
        });
    }
}
