package lupinvalve.statemachine;

/**
 * Decides which configuration a pooler acts on: the last committed one that this version can read. Without a quorum it
 * keeps that one, and says so. Not thread-safe; times are of one monotonic clock.
 */
public final class ActiveConfiguration {
    /** Elections take less: a shorter gap is no loss of the quorum. */
    static final long QUORUM_LOSS_GRACE_MICROS = 3_000_000;

    /** What is to be done about a committed configuration. */
    public enum Verdict {
        /** It is the active one from now on. */
        ACTIVATE,
        /** It is the active one already, or an older one. */
        NOT_NEWER,
        /** This version can't act on it; the active one stays. */
        UNREADABLE
    }

    private ReplicatedState.Document active;
    private String unreadableReason;
    private long lastContactMicros;
    private boolean quorumLost;

    /** @param nowMicros the start, which counts as contact with the quorum */
    public ActiveConfiguration(long nowMicros) {
        lastContactMicros = nowMicros;
    }

    /**
     * A configuration has been committed.
     *
     * @param objection why this version can't act on it, or null
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

    /** Undoes an activation that could not be noted in the audit: the one before, or none, is active again. */
    public void revertTo(ReplicatedState.Document before) {
        active = before;
    }

    /** The configuration that is acted on, or null. */
    public ReplicatedState.Document active() {
        return active;
    }

    /**
     * Takes whether a quorum is in reach now.
     *
     * @return a line for the log where {@link #isQuorumLost} has changed, else null
     */
    public String onQuorumContact(boolean inReach, long nowMicros) {
        if (inReach) {
            lastContactMicros = nowMicros;
            String line = quorumLost ? "quorum in reach again" : null;
            quorumLost = false;
            return line;
        }
        if (quorumLost || nowMicros - lastContactMicros < QUORUM_LOSS_GRACE_MICROS) {
            return null;
        }
        quorumLost = true;
        return "quorum lost: " + describe();
    }

    /** The active configuration in words, for logs and operators. */
    public String describe() {
        String serving = active == null
                ? "no configuration was accepted yet; what needs one is not served"
                : "serving with revision " + active.revision() + " (" + active.digest() + ")";
        return unreadableReason == null ? serving : serving + "; " + unreadableReason;
    }

    /** Why the newest committed configuration can't be acted on, or empty. */
    public String unreadableReason() {
        return unreadableReason == null ? "" : unreadableReason;
    }

    /** Whether no quorum has been in reach for longer than an election takes. */
    public boolean isQuorumLost() {
        return quorumLost;
    }
}
