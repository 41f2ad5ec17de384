package lupinvalve.statemachine;

/**
 * Decides what a pooler acts on: the last configuration that a majority accepted and that this version can read. Cut
 * off from the majority it goes on with that, and says so; it takes up nothing newer until it is in touch again.
 */
public final class Adoption {
    /** Elections take less: a shorter gap is no cut. */
    static final long GRACE = 3_000_000;

    /** What is to be done about a configuration. */
    public enum Verdict {
        ADOPT,
        KNOWN,
        UNREADABLE
    }

    private Ledger.Document running;
    private String unreadable;
    private long touchedAt;
    private boolean cut;

    /** @param nowMicros when it was last in touch, as far as is known: the start */
    public Adoption(long nowMicros) {
        touchedAt = nowMicros;
    }

    /**
     * A configuration has been accepted.
     *
     * @param objection why this version can't act on it, or null
     */
    public Verdict accepted(Ledger.Document document, String objection) {
        if (running != null && document.index() <= running.index()) {
            return Verdict.KNOWN;
        }
        if (objection != null) {
            unreadable = "revision " + document.revision() + " can't be used: " + objection;
            return Verdict.UNREADABLE;
        }
        unreadable = null;
        running = document;
        return Verdict.ADOPT;
    }

    /** What was just to be adopted could not be noted: the one before, or none, is acted on still. */
    public void back(Ledger.Document before) {
        running = before;
    }

    /** The configuration that is acted on, or null. */
    public Ledger.Document running() {
        return running;
    }

    /** Whether the majority is in touch now; gives a line for the log where that has changed, or null. */
    public String touch(boolean inTouch, long nowMicros) {
        if (inTouch) {
            touchedAt = nowMicros;
            String line = cut ? "in touch with the majority again" : null;
            cut = false;
            return line;
        }
        if (cut || nowMicros - touchedAt < GRACE) {
            return null;
        }
        cut = true;
        return "cut off from the majority: " + acting();
    }

    /** What is acted on, in words. */
    public String acting() {
        String on = running == null
                ? "no configuration was accepted yet; what needs one is not served"
                : "serving with revision " + running.revision() + " (" + running.digest() + ")";
        return unreadable == null ? on : on + "; " + unreadable;
    }

    /** Why what holds can't be acted on, or empty. */
    public String unreadable() {
        return unreadable == null ? "" : unreadable;
    }

    public boolean cutOff() {
        return cut;
    }
}
