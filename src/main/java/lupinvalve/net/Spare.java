package lupinvalve.net;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import lupinvalve.core.Deadlines;
import lupinvalve.core.Loop;
import lupinvalve.core.Slots;

/**
 * Which clients' connections may be closed to make room, and which must be. Guards against clients that keep a
 * connection for good after one request, and against those that open them by the hundred and say nothing. Core thread
 * only.
 */
public final class Spare<C> {
    /** From this age on a connection without an open request may be closed. */
    private static final long REST = 2_000_000;
    /** A connection must bring its first whole command in this time: strangers are owed an end within 3 s. */
    private static final long FIRST_COMMAND = 2_600_000;
    private final Loop loop;
    private final Consumer<C> close;
    private final Map<C, Deadlines.Deadline> silent = new LinkedHashMap<>();
    private final Map<C, Long> resting = new LinkedHashMap<>();

    /** @param close ends a connection and calls {@link #gone} */
    public Spare(Loop loop, Consumer<C> close) {
        this.loop = loop;
        this.close = close;
    }

    /** A connection has come up and has said nothing. */
    public void opened(C client) {
        silent.put(client, loop.after(FIRST_COMMAND, () -> close.accept(client)));
    }

    /** A whole command has come, so the connection is in use. */
    public void busy(C client) {
        loop.drop(silent.remove(client));
        resting.remove(client);
    }

    /** Nothing is due on the connection. */
    public void rests(C client) {
        if (!silent.containsKey(client)) {
            resting.remove(client);
            resting.put(client, loop.now());
        }
    }

    public void gone(C client) {
        busy(client);
    }

    /** Closes what may be closed, the oldest first, until a quarter of the table is free; a silent one if it is full. */
    public void makeRoom(Slots<C> clients) {
        long rested = loop.now() - REST;
        C oldest = first(resting);
        while (clients.crowded() && oldest != null && resting.get(oldest) <= rested) {
            close.accept(oldest);
            oldest = first(resting);
        }
        if (clients.full() && !silent.isEmpty()) {
            close.accept(first(silent));
        }
    }

    private static <C> C first(Map<C, ?> from) {
        Iterator<C> all = from.keySet().iterator();
        return all.hasNext() ? all.next() : null;
    }
}
