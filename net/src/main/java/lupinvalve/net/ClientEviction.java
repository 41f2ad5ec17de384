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
 * Decides which client connections may be closed to make room, and which must be. Guards against clients that keep a
 * connection open for good after one request, and against those that open hundreds and send nothing. Core thread only.
 */
public final class ClientEviction<C> {
    /** Requests the close of a connection; {@link #closed} follows, or {@link #busy} if its client uses it first. */
    public interface Closer<C> {
        /**
         * Requests the close of one client's connection.
         *
         * @param patienceMicros as for {@link Link#retire}
         * @param reason for the log
         * @return whether the close has been requested
         */
        boolean requestClose(C client, long patienceMicros, EndReason reason);
    }

    /** A connection that has been idle this long may be closed before room runs out. */
    private static final long IDLE_MICROS = 2_000_000;
    /**
     * A connection that has been idle this long may be closed if there is no place for a new client, or if clients use
     * more than three quarters of the connections that they are allowed.
     */
    private static final long IDLE_MIN_MICROS = 100_000;
    /**
     * A connection must send its first complete command in this time: one that sends none must be closed within 3 s.
     */
    private static final long FIRST_COMMAND_MICROS = 2_600_000;
    /** How long a client may take to complete a message that it has begun, or to read an answer. */
    private static final long PATIENCE_MICROS = 3_000_000;
    /** A close that is not possible yet is retried after this time. */
    private static final long RECHECK_MICROS = 20_000;

    private final EventLoop loop;
    private final HandleTable<C> clients;
    private final int maxClients;
    private final long maxRequestClients;
    private final Closer<C> closer;
    private final Map<C, TimerQueue.Timer> awaitingFirstCommand = new LinkedHashMap<>();
    private final Map<C, Long> idleSince = new LinkedHashMap<>();
    /** Clients whose close has been requested: they count as closed unless they use their connections. */
    private final Set<C> closing = new HashSet<>();

    private TimerQueue.Timer recheckTimer;

    /**
     * @param maxClients connections that may be open at once; the table holds {@link #tableCapacity} so that new
     *     clients need not wait for those that are closing
     * @param maxRequestClients connections that clients can have for requests, whatever the table holds
     * @param closer closes a connection
     */
    public ClientEviction(
            EventLoop loop, HandleTable<C> clients, int maxClients, long maxRequestClients, Closer<C> closer) {
        this.loop = loop;
        this.maxClients = maxClients;
        this.clients = clients;
        this.maxRequestClients = maxRequestClients;
        this.closer = closer;
    }

    /**
     * The size of a table that holds {@code maxClients} connections and those that are closing: there may be many, as
     * new clients can come faster than the sockets' thread closes old connections.
     */
    public static int tableCapacity(int maxClients) {
        return maxClients * 4;
    }

    /** A connection has been opened and has sent nothing yet. */
    public void opened(C client) {
        awaitingFirstCommand.put(client, loop.after(FIRST_COMMAND_MICROS, () -> closeSilent(client)));
    }

    /** Closes a connection that has sent no complete command in time; input read from it so far is delivered first. */
    private void closeSilent(C client) {
        if (awaitingFirstCommand.containsKey(client) && !requestClose(client, 0, EndReason.SILENT)) {
            awaitingFirstCommand.put(client, loop.after(RECHECK_MICROS, () -> closeSilent(client)));
        }
    }

    /** Requests a close, and checks after a moment whether it has happened. */
    private boolean requestClose(C client, long patienceMicros, EndReason reason) {
        boolean requested = closer.requestClose(client, patienceMicros, reason);
        if (requested) {
            closing.add(client);
            loop.after(RECHECK_MICROS, () -> recheckClose(client, patienceMicros, reason));
        } else {
            closing.remove(client);
        }
        return requested;
    }

    /**
     * Repeats the request, as the client may have begun a command since. If the close is not possible now, it is
     * retried for a silent client, and the idle time of any other starts anew.
     */
    private void recheckClose(C client, long patienceMicros, EndReason reason) {
        if (!closing.contains(client) || requestClose(client, patienceMicros, reason)) {
            return;
        }
        if (awaitingFirstCommand.containsKey(client)) {
            awaitingFirstCommand.put(client, loop.after(RECHECK_MICROS, () -> closeSilent(client)));
        } else {
            idleSince.put(client, loop.now());
        }
    }

    /** A complete command has been received, so the connection is in use. */
    public void busy(C client) {
        loop.cancel(awaitingFirstCommand.remove(client));
        idleSince.remove(client);
        closing.remove(client);
    }

    /** Open connections without those that are closing, which will free their places soon. */
    private int openCount() {
        return clients.size() - closing.size();
    }

    /** Whether there is no place for a new client. */
    public boolean isFull() {
        return openCount() >= maxClients || clients.isFull();
    }

    /** No answer is owed on the connection any more. */
    public void idle(C client) {
        if (!awaitingFirstCommand.containsKey(client)) {
            idleSince.remove(client);
            idleSince.put(client, loop.now());
            evictIdle();
        }
    }

    /** The connection has ended. */
    public void closed(C client) {
        busy(client);
    }

    /**
     * Closes idle connections, the one idle longest first, until a quarter of the table is free, and a quarter of the
     * connections that clients are allowed: a client that has none left cannot send a request, though this table has
     * room.
     */
    private void evictIdle() {
        while (openCount() > maxClients * 3 / 4 && isLongestIdleFor(IDLE_MICROS)) {
            evictLongestIdle();
        }
        while (isRequestLimitNear() && isLongestIdleFor(IDLE_MIN_MICROS)) {
            evictLongestIdle();
        }
        if (isRequestLimitNear() && !idleSince.isEmpty() && recheckTimer == null) {
            // No further event may come to trigger this: clients that have no connection left cannot send requests.
            recheckTimer = loop.after(IDLE_MIN_MICROS, () -> {
                recheckTimer = null;
                evictIdle();
            });
        }
    }

    /**
     * Makes room for a new client. If the table is full, closes one connection without a command so far, or else the
     * one idle longest: its client reconnects for its next request, while a new client that is rejected already has one
     * to send.
     */
    public void makeRoom() {
        evictIdle();
        for (C client : isFull() ? List.copyOf(awaitingFirstCommand.keySet()) : List.<C>of()) {
            if (!closing.contains(client) && requestClose(client, PATIENCE_MICROS, EndReason.MADE_ROOM)) {
                return;
            }
        }
        while (isFull() && isLongestIdleFor(IDLE_MIN_MICROS)) {
            evictLongestIdle();
        }
    }

    /** Closes the connection idle longest; if its client has just begun to use it, its idle time starts anew. */
    private void evictLongestIdle() {
        C client = first(idleSince);
        idleSince.remove(client);
        if (!requestClose(client, PATIENCE_MICROS, EndReason.MADE_ROOM)) {
            idleSince.put(client, loop.now());
        }
    }

    private boolean isRequestLimitNear() {
        long inUse = clients.size()
                - awaitingFirstCommand.size()
                - closing.stream()
                        .filter(client -> !awaitingFirstCommand.containsKey(client))
                        .count();
        return inUse * 4 > maxRequestClients * 3;
    }

    private boolean isLongestIdleFor(long micros) {
        return !idleSince.isEmpty() && idleSince.get(first(idleSince)) <= loop.now() - micros;
    }

    private static <C> C first(Map<C, ?> clients) {
        Iterator<C> iterator = clients.keySet().iterator();
        return iterator.hasNext() ? iterator.next() : null;
    }
}
