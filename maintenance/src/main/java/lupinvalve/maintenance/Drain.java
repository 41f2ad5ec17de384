package lupinvalve.maintenance;

/**
 * Whether clients are sent away, and how far that has come. The front that deals out connections asks by the empty
 * query; 0.2 s after a no it brings no new ones, while clients go on using those that they have until these are ended.
 * No I/O, no clock.
 */
public final class Drain {
    /** From the call until connections are ended: the front asks every 0.1 s, and stops 0.2 s after a no. */
    public static final long ENDS_AFTER = 500_000;

    private long since = Long.MAX_VALUE, heldSince = Long.MAX_VALUE;
    private boolean leaving;

    /** Clients are sent away; a second call changes nothing. */
    public void quiesce(long nowMicros) {
        since = Math.min(since, nowMicros);
    }

    /** Back to work, unless the program is ending. */
    public void resume() {
        since = Long.MAX_VALUE;
    }

    /** The group holds this pooler, or does no more, whatever was said to it alone. */
    public void hold(boolean held, long nowMicros) {
        heldSince = held ? Math.min(heldSince, nowMicros) : Long.MAX_VALUE;
    }

    /** The program ends, and somebody else has taken over its address or nobody can: connections end from now on. */
    public void leave() {
        leaving = true;
    }

    /** Whether the empty query gets a yes. While the program ends it does: there may be nobody else to ask. */
    public boolean welcomes() {
        return since == Long.MAX_VALUE && heldSince == Long.MAX_VALUE;
    }

    /** Whether connections on which nothing is due are ended. */
    public boolean ends(long nowMicros) {
        long from = Math.min(since, heldSince);
        return leaving || from != Long.MAX_VALUE && nowMicros - from >= ENDS_AFTER;
    }

    public boolean leaving() {
        return leaving;
    }
}
