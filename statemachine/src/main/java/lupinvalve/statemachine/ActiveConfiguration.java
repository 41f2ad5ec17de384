package lupinvalve.statemachine;

/**
 * Decides what a pooler acts on: the last configuration that a majority accepted and that this version can read. Cut
 * off from the majority it goes on with that, and says so; it takes up nothing newer until it is in touch again.
 */
public final class ActiveConfiguration {
    /** Elections take less: a shorter gap is no cut. */
    static final long CUT_OFF_GRACE_MICROS = 3_000_000;

    /** What is to be done about a configuration. */
    public enum Verdict {
        ACTIVATE,
        NOT_NEWER,
        UNREADABLE
    }

    private ReplicatedState.Document active;
    private String unreadableReason;
    private long lastContactMicros;
    private boolean cutOff;

    /** @param nowMicros when it was last in touch, as far as is known: the start */
    public ActiveConfiguration(long nowMicros) {
        lastContactMicros = nowMicros;
    }

    /**
     * A configuration has been accepted.
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

    /** What was just to be adopted could not be noted: the one before, or none, is acted on still. */
    public void revertTo(ReplicatedState.Document before) {
        active = before;
    }

    /** The configuration that is acted on, or null. */
    public ReplicatedState.Document active() {
        return active;
    }

    /** Whether the majority is in touch now; gives a line for the log where that has changed, or null. */
    public String onQuorumContact(boolean inTouch, long nowMicros) {
        if (inTouch) {
            lastContactMicros = nowMicros;
            String line = cutOff ? "in touch with the majority again" : null;
            cutOff = false;
            return line;
        }
        if (cutOff || nowMicros - lastContactMicros < CUT_OFF_GRACE_MICROS) {
            return null;
        }
        cutOff = true;
        return "cut off from the majority: " + describe();
    }

    /** What is acted on, in words. */
    public String describe() {
        String on = active == null
                ? "no configuration was accepted yet; what needs one is not served"
                : "serving with revision " + active.revision() + " (" + active.digest() + ")";
        return unreadableReason == null ? on : on + "; " + unreadableReason;
    }

    /** Why what holds can't be acted on, or empty. */
    public String unreadableReason() {
        return unreadableReason == null ? "" : unreadableReason;
    }

    public boolean isCutOff() {
        return cutOff;
    }
}
