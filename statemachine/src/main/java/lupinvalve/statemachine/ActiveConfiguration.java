package lupinvalve.statemachine;

/**
 * Decides which configuration a pooler uses: the last committed one that this version can read. Without a quorum, that
 * one stays active and the loss of the quorum is reported. Not thread-safe; times are of one monotonic clock.
 */
public final class ActiveConfiguration {
    /** Longer than an election takes: a shorter gap does not count as a loss of the quorum. */
    static final long QUORUM_LOSS_GRACE_MICROS = 3_000_000;

    /** What must be done with a committed configuration. */
    public enum Verdict {
        /** It has become the active one. */
        ACTIVATE,
        /** It is already active, or older than the active one. */
        NOT_NEWER,
        /** This version can't use it; the active one stays active. */
        UNREADABLE
    }

    private ReplicatedState.Document active;
    private String unreadableReason;
    private long lastContactMicros;
    private boolean quorumLost;

    /** @param nowMicros the start time, which counts as contact with the quorum */
    public ActiveConfiguration(long nowMicros) {
        lastContactMicros = nowMicros;
    }

    /**
     * Handles a committed configuration.
     *
     * @param objection why this version can't use it, or null if it can
     */
    public Verdict onCommitted(ReplicatedState.Document document, String objection) {
        if (active != null && document.index() <= active.index()) {
            return Verdict.NOT_NEWER;
        }
        if (objection != null) {
            unreadableReason = "revision " + document.revision() + " can't be used: " + objection;
            return Verdict.UNREADABLE;
        }
        unreadableReason = null;
        active = document;
        return Verdict.ACTIVATE;
    }

    /** Undoes an activation that could not be recorded in the audit: the previous one, or none, is active again. */
    public void revertTo(ReplicatedState.Document previous) {
        active = previous;
    }

    /** The active configuration, or null. */
    public ReplicatedState.Document active() {
        return active;
    }

    /**
     * Records whether a quorum is reachable now.
     *
     * @return the line to log if {@link #isQuorumLost} has changed, else null
     */
    public String onQuorumContact(boolean reachable, long nowMicros) {
        if (reachable) {
            lastContactMicros = nowMicros;
            String line = quorumLost ? "quorum reachable again" : null;
            quorumLost = false;
            return line;
        }
        if (quorumLost || nowMicros - lastContactMicros < QUORUM_LOSS_GRACE_MICROS) {
            return null;
        }
        quorumLost = true;
        return "quorum lost: " + describe();
    }

    /** Describes the active configuration, for logs and status answers to operators. */
    public String describe() {
        String serving = active == null
                ? "no configuration was accepted yet; what needs one is not served"
                : "serving with revision " + active.revision() + " (" + active.digest() + ")";
        return unreadableReason == null ? serving : serving + "; " + unreadableReason;
    }

    /** Why the newest committed configuration can't be used, or empty. */
    public String unreadableReason() {
        return unreadableReason == null ? "" : unreadableReason;
    }

    /** Whether no quorum has been reachable for longer than an election takes. */
    public boolean isQuorumLost() {
        return quorumLost;
    }
}
