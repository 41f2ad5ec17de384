package lupinvalve.maintenance;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * What the pooler has done and holds. Written by the core thread alone, read by any. Everything stands from 0 when the
 * process starts.
 */
public final class Figures {
    /** How a request ended for its client. */
    public enum End {
        SERVED,
        REFUSED,
        FAILED
    }

    private static final int ENDS = End.values().length;
    private final List<String> classes;
    private final AtomicLongArray ended;
    private final AtomicLong attempts = new AtomicLong(),
            inFlight = new AtomicLong(),
            known = new AtomicLong(),
            excluded = new AtomicLong();

    public Figures(List<String> classes) {
        this.classes = List.copyOf(classes);
        ended = new AtomicLongArray(classes.size() * ENDS);
    }

    public void ended(int classIndex, End how) {
        int at = classIndex * ENDS + how.ordinal();
        ended.lazySet(at, ended.get(at) + 1);
    }

    /** An attempt has been handed whole to a socket. */
    public void attempted() {
        attempts.lazySet(attempts.get() + 1);
    }

    public void inFlight(int requests) {
        inFlight.lazySet(requests);
    }

    public void servers(int listed, int avoided) {
        known.lazySet(listed);
        excluded.lazySet(avoided);
    }

    public long count(int classIndex, End how) {
        return ended.get(classIndex * ENDS + how.ordinal());
    }

    /** One figure a line, as operators read them. */
    public String text() {
        StringBuilder out = new StringBuilder(64 * classes.size() * ENDS);
        for (int i = 0; i < classes.size(); i++) {
            for (End how : End.values()) {
                String name = how == End.SERVED ? ".served=" : how == End.REFUSED ? ".refused=" : ".failed=";
                out.append("edge_node.requests.")
                        .append(classes.get(i))
                        .append(name)
                        .append(count(i, how))
                        .append('\n');
            }
        }
        return out.append("edge_node.attempts=")
                .append(attempts.get())
                .append("\nedge_node.in_flight=")
                .append(inFlight.get())
                .append("\nedge_node.servers_known=")
                .append(known.get())
                .append("\nedge_node.servers_excluded=")
                .append(excluded.get())
                .append('\n')
                .toString();
    }
}
