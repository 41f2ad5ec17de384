package lupinvalve.net;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lupinvalve.core.EventLoop;
import lupinvalve.core.HandleTable;
import lupinvalve.core.TimerQueue;

/**
 * Which clients' connections may be closed to make room, and which must be. Guards against clients that keep a
 * connection for good after one request, and against those that open them by the hundred and say nothing. Core thread
 * only.
 */
public final class ClientEviction<C> {
    /** Asks for the end of a connection; {@link #closed} follows, or {@link #busy} where its client uses it first. */
    public interface Closer<C> {
        /**
         * @param patience as for {@link Link#retire}
         * @param reason for the log
         * @return whether its end has been asked for
         */
        boolean end(C client, long patience, EndReason reason);
    }

    /** From this rest on a connection may be closed so that room does not run out, and from this one if it has. */
    private static final long REST = 2_000_000, REST_LEAST = 100_000;
    /** A connection must bring its first whole command in this time: strangers are owed an end within 3 s. */
    private static final long FIRST_COMMAND = 2_600_000;
    /** A client has so long to send a message that it has begun, or to read an answer. */
    private static final long PATIENCE = 3_000_000;
    /** After this a connection that could not be ended is tried again. */
    private static final long AGAIN = 20_000;

    private final EventLoop loop;
    private final HandleTable<C> clients;
    private final int most;
    private final long allowed;
    private final Closer<C> close;
    private final Map<C, TimerQueue.Timer> silent = new LinkedHashMap<>();
    private final Map<C, Long> resting = new LinkedHashMap<>();
    /** Those whose end has been asked for: they count as gone unless their clients use them. */
    private final Set<C> ending = new HashSet<>();

    private TimerQueue.Timer again;

    /**
     * @param most connections that may be open at once; the table holds {@link #tableCapacity} so that newcomers need not wait
     *     for those that end
     * @param allowed connections that clients can have for requests, whatever the table holds
     * @param close ends a connection
     */
    public ClientEviction(EventLoop loop, HandleTable<C> clients, int most, long allowed, Closer<C> close) {
        this.loop = loop;
        this.most = most;
        this.clients = clients;
        this.allowed = allowed;
        this.close = close;
    }

    /**
     * How large a table must be that holds so many connections and those that are ending: many may be, where newcomers
     * come faster than the sockets' thread closes.
     */
    public static int tableCapacity(int most) {
        return most * 4;
    }

    /** A connection has come up and has said nothing. */
    public void opened(C client) {
        silent.put(client, loop.after(FIRST_COMMAND, () -> hush(client)));
    }

    /** Ends a connection that has said nothing whole in its time; what has been read of it is told first. */
    private void hush(C client) {
        if (silent.containsKey(client) && !ends(client, 0, EndReason.SILENT)) {
            silent.put(client, loop.after(AGAIN, () -> hush(client)));
        }
    }

    /** Asks for an end, and looks after a moment whether it has come. */
    private boolean ends(C client, long patience, EndReason reason) {
        boolean asked = close.end(client, patience, reason);
        if (asked) {
            ending.add(client);
            loop.after(AGAIN, () -> look(client, patience, reason));
        } else {
            ending.remove(client);
        }
        return asked;
    }

    /** Its client may have begun to use it, without a whole command so far. */
    private void look(C client, long patience, EndReason reason) {
        if (!ending.contains(client) || ends(client, patience, reason)) {
            return;
        }
        if (silent.containsKey(client)) {
            silent.put(client, loop.after(AGAIN, () -> hush(client)));
        } else {
            resting.put(client, loop.now());
        }
    }

    /** A whole command has come, so the connection is in use. */
    public void busy(C client) {
        loop.cancel(silent.remove(client));
        resting.remove(client);
        ending.remove(client);
    }

    /** Connections that count: those that are to end will leave their places at once. */
    private int size() {
        return clients.size() - ending.size();
    }

    /** Whether there is no place for a newcomer. */
    public boolean isFull() {
        return size() >= most || clients.isFull();
    }

    /** Nothing is due on the connection. */
    public void idle(C client) {
        if (!silent.containsKey(client)) {
            resting.remove(client);
            resting.put(client, loop.now());
            ease();
        }
    }

    public void closed(C client) {
        busy(client);
    }

    /**
     * Closes what may be closed, the oldest first, until a quarter of the table is free, and a quarter of what clients
     * are allowed: one that has none left can't ask, though this table has room.
     */
    private void ease() {
        while (size() > most * 3 / 4 && rested(REST)) {
            endFirst();
        }
        while (scarce() && rested(REST_LEAST)) {
            endFirst();
        }
        if (scarce() && !resting.isEmpty() && again == null) {
            // Nothing may happen from now on: clients that have no connection left can't ask.
            again = loop.after(REST_LEAST, () -> {
                again = null;
                ease();
            });
        }
    }

    /**
     * Makes room for a newcomer. If the table is full one silent connection goes, or else the one that rests longest:
     * its client opens another when it asks again, while a newcomer turned away has asked already.
     */
    public void makeRoom() {
        ease();
        for (C client : isFull() ? List.copyOf(silent.keySet()) : List.<C>of()) {
            if (!ending.contains(client) && ends(client, PATIENCE, EndReason.MADE_ROOM)) {
                return;
            }
        }
        while (isFull() && rested(REST_LEAST)) {
            endFirst();
        }
    }

    /** Ends the one that rests longest; if its client has just begun to use it, its rest starts anew. */
    private void endFirst() {
        C client = first(resting);
        resting.remove(client);
        if (!ends(client, PATIENCE, EndReason.MADE_ROOM)) {
            resting.put(client, loop.now());
        }
    }

    private boolean scarce() {
        long used = clients.size()
                - silent.size()
                - ending.stream().filter(client -> !silent.containsKey(client)).count();
        return used * 4 > allowed * 3;
    }

    private boolean rested(long micros) {
        return !resting.isEmpty() && resting.get(first(resting)) <= loop.now() - micros;
    }

    private static <C> C first(Map<C, ?> from) {
        Iterator<C> all = from.keySet().iterator();
        return all.hasNext() ? all.next() : null;
    }
}
