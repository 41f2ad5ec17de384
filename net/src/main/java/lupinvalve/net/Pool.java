package lupinvalve.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import lupinvalve.core.Backend;
import lupinvalve.core.EndpointInstance;
import lupinvalve.core.EventLoop;
import lupinvalve.core.HandleTable;
import lupinvalve.core.Pooler;
import lupinvalve.core.TimerQueue;
import lupinvalve.log.RepeatedWarnings;
import lupinvalve.maintenance.ResourceBudgets;
import lupinvalve.routing.AttemptOutcome;
import lupinvalve.routing.LogPosition;
import lupinvalve.routing.ServerRole;

/**
 * Connections to db nodes over one protocol, with one request on each at a time. Subclasses implement the protocol.
 * Core thread only.
 */
public abstract class Pool implements Backend {
    /** What a connection is used for: an attempt, or a health check. */
    public static final class Job {
        public final long attempt;
        public final String node;
        public final Object statement;
        public final long timeoutMicros;
        public final long startWithinMicros;
        final long startedAtMicros;

        Job(
                long attempt,
                String node,
                Object statement,
                long timeoutMicros,
                long startWithinMicros,
                long startedAtMicros) {
            this.attempt = attempt;
            this.node = node;
            this.statement = statement;
            this.timeoutMicros = timeoutMicros;
            this.startWithinMicros = startWithinMicros;
            this.startedAtMicros = startedAtMicros;
        }

        /** Whether this is a health check, which has no attempt. */
        public boolean isProbe() {
            return attempt < 0;
        }

        /** Time left until the pooler stops waiting, in microseconds. */
        public long remainingMicros(long nowMicros) {
            return startedAtMicros + timeoutMicros - nowMicros;
        }

        /** Time left for the db node to start the request, in microseconds. */
        public long remainingStartMicros(long nowMicros) {
            return startedAtMicros + startWithinMicros - nowMicros;
        }
    }

    /** A connection to a db node; protocols extend it with their state. */
    public static class PooledConnection {
        private final String node;
        /** The db node's process that the connection was opened to. */
        private EndpointInstance instance;

        private long openedAtMicros;
        private long slot;
        private Link link;
        /** Whether the handshake is complete. */
        private boolean ready;
        /** Whether the job's request has been written. */
        private boolean sent;
        /** Whether input follows the message that is being handled. */
        private boolean hasMoreInput;

        private Job job;
        /** Bytes submitted to the link before the request itself. */
        private long bytesBeforeRequest;
        /** Bytes submitted to the link up to the end of the request. */
        private long bytesThroughRequest;
        /** Bytes read from the link before the answer. */
        private long bytesReadBeforeAnswer;
        /** When the connection became idle. */
        private long idleSinceMicros;
        /** How long the connection was idle before its current job; 0 if it is new. */
        private long idledMicros;

        private TimerQueue.Timer timer;
        /** Bytes of the job's answer that are reserved, as they are buffered. */
        private long answerBytesReserved;

        protected PooledConnection(String node) {
            this.node = node;
        }

        /** The job that the connection is used for, or null if it is idle. */
        public final Job job() {
            return job;
        }

        /** Writes as {@link Link#write} does. */
        public final void write(byte[]... parts) {
            link.write(parts);
        }
    }

    /**
     * How long a connection may have been idle to be used for a request. Guards against db nodes that silently drop
     * idle connections sooner than they announce: the next request on such a connection ends as a reset. A connection
     * lost after an idle time lowers the limit, one that serves after a similar idle time raises it, so that it settles
     * where about one in six is lost.
     */
    private static final class IdleTrust {
        private static final long MIN_MICROS = 40_000;
        private static final double SHRINK_RATIO = 0.7;
        private static final double GROW_RATIO = 1.08;
        private final long maxMicros;
        private long limitMicros;

        IdleTrust(long maxMicros) {
            this.maxMicros = maxMicros;
            limitMicros = maxMicros;
        }

        void onLost(long idledMicros) {
            if (idledMicros >= MIN_MICROS) {
                limitMicros = Math.max(MIN_MICROS, Math.min(limitMicros, (long) (idledMicros * SHRINK_RATIO)));
            }
        }

        void onServed(long idledMicros) {
            if (idledMicros > limitMicros / 2) {
                limitMicros = Math.min(maxMicros, (long) (limitMicros * GROW_RATIO));
            }
        }
    }

    /** Limits of a pool; times in microseconds. */
    public record Bounds(int connections, long connectMicros, long idleMicros, long probeMicros) {}

    /** The least value of {@link #surplusIdleMicros} unless the idle limit is shorter. */
    private static final long SURPLUS_IDLE_MIN_MICROS = 500_000;

    /** The part of the 50 ms by which limits on sends are longer on sockets that the handoff to one may use. */
    private static final long HANDOFF_MICROS = 25_000;

    private final RepeatedWarnings warnings = new RepeatedWarnings();
    private final Dialer dialer;
    private final Bounds bounds;
    protected final Pooler pooler;
    protected final EventLoop loop;
    private final HandleTable<PooledConnection> connections;
    private final Map<String, ArrayDeque<PooledConnection>> idleByNode = new HashMap<>();
    private final Map<Long, PooledConnection> byAttempt = new HashMap<>();
    private final IdleTrust idleTrust;
    private int maxConnections;
    /** How long a connection may be idle while another one to its db node has been used since. */
    private final long surplusIdleMicros;

    protected Pool(Dialer dialer, Pooler pooler, Bounds bounds) {
        this.dialer = dialer;
        this.pooler = pooler;
        this.bounds = bounds;
        loop = pooler.loop();
        connections = new HandleTable<>(bounds.connections());
        maxConnections = bounds.connections();
        idleTrust = new IdleTrust(bounds.idleMicros());
        surplusIdleMicros = Math.max(
                Math.min(SURPLUS_IDLE_MIN_MICROS, bounds.idleMicros()),
                bounds.idleMicros() / pooler.settings().instanceCount());
    }

    /** Connections that are open or being established. */
    public final int open() {
        return connections.size();
    }

    // ---- implemented by a protocol ----

    protected abstract Framer framer();

    protected abstract PooledConnection connect(String node);

    /** The connection is established; sends the first message if the protocol has the client send it. */
    protected abstract void opened(PooledConnection connection);

    /**
     * Writes the job's request, calling {@link #markSent} right before; messages that prepare the request may go first.
     */
    protected abstract void start(PooledConnection connection);

    /** Handles a message; calls {@link #connectionReady} and {@link #completeJob}. */
    protected abstract void message(PooledConnection connection, byte[] message);

    /** Returns the job's outcome as far as it is known when the connection has ended or is given up, or null. */
    protected abstract AttemptOutcome knownOutcome(PooledConnection connection);

    /** The connection's job is over, whatever its outcome. */
    protected void released(PooledConnection connection) {
        // A protocol without state of its own has nothing to release.
    }

    // ---- called by a protocol ----

    /**
     * Logs a warning at a bounded rate, as clients and db nodes choose how often its cause occurs.
     *
     * @param kind what it is counted as
     */
    protected final void warn(String kind, String text) {
        warnings.warn(kind, text);
    }

    /** The db node accepts requests on this connection from now on: starts its job or makes the connection idle. */
    protected final void connectionReady(PooledConnection connection) {
        if (connection.ready) {
            return;
        }
        if (connection.hasMoreInput) {
            warn(
                    "data after greeting",
                    "db node " + connection.node + " sent data after its greeting; closing the connection");
            closeBroken(connection);
            return;
        }
        connection.ready = true;
        loop.cancel(connection.timer);
        if (connection.job == null) {
            makeIdle(connection);
        } else if (!pooler.maySend(
                connection.node, connection.instance, connection.openedAtMicros, connection.job.attempt)) {
            // Nothing of the request has been written.
            Job job = connection.job;
            release(connection);
            remove(connection);
            connection.link.drop();
            reportEnd(job, AttemptOutcome.NOT_SENT, null, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
        } else {
            startJob(connection);
        }
    }

    /**
     * The job's answer is complete. Makes the connection idle, or closes it if it cannot be used again. Guards against
     * bytes after the answer, which would be taken for the next request's answer: they make the connection unusable,
     * but the answer is valid.
     */
    protected final void completeJob(
            PooledConnection connection,
            boolean reusable,
            AttemptOutcome outcome,
            Object answer,
            long position,
            ServerRole role) {
        Job job = connection.job;
        idleTrust.onServed(connection.idledMicros);
        connection.link.pauseReading(false);
        release(connection);
        if (reusable && !connection.hasMoreInput) {
            makeIdle(connection);
        } else {
            remove(connection);
            connection.link.drop();
        }
        reportEnd(job, outcome, answer, position, role);
    }

    /** Pauses or resumes reading from the connection while the client that its answer is streamed to is behind. */
    protected final void pauseReading(PooledConnection connection, boolean paused) {
        if (connections.get(connection.slot) == connection) {
            connection.link.pauseReading(paused);
        }
    }

    /**
     * Closes a connection whose input cannot be interpreted any further; its job ends as if the connection had been
     * lost.
     */
    protected final void closeBroken(PooledConnection connection) {
        connection.link.drop();
        loop.cancel(connection.timer);
        remove(connection);
        // MINA may be writing the request at this moment, so it counts as sent.
        onConnectionLost(connection, connection.sent);
    }

    // ---- called by the core ----

    @Override
    public final void send(
            long attempt, String node, String address, Object statement, long timeoutMicros, long startWithinMicros) {
        dispatch(new Job(attempt, node, statement, timeoutMicros, startWithinMicros, loop.now()), address);
    }

    @Override
    public final void checkHealth(String node, String address) {
        dispatch(
                new Job(HandleTable.NO_HANDLE, node, null, bounds.probeMicros(), bounds.probeMicros(), loop.now()),
                address);
    }

    private void dispatch(Job job, String address) {
        ArrayDeque<PooledConnection> idleOnes = idleByNode.get(job.node);
        // The most recently used one: the others may reach their idle limit and be closed.
        PooledConnection connection = idleOnes == null ? null : idleOnes.peekLast();
        if (connection != null && loop.now() - connection.idleSinceMicros > idleTrust.limitMicros) {
            // The others have been idle even longer.
            closeIdleConnections(job.node);
            connection = null;
        } else if (connection != null) {
            idleOnes.pollLast();
            connection.idledMicros = loop.now() - connection.idleSinceMicros;
        }
        if (connection == null) {
            connection = open(job, address);
        }
        if (connection == null) {
            reportEnd(job, AttemptOutcome.NOT_SENT, null, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
            return;
        }
        loop.cancel(connection.ready ? connection.timer : null);
        connection.job = job;
        if (!job.isProbe()) {
            byAttempt.put(job.attempt, connection);
        }
        if (connection.ready) {
            startJob(connection);
        }
    }

    private PooledConnection open(Job job, String address) {
        if (connections.size() >= maxConnections && !evict()) {
            warnings.warn("no connection to a db node is free: requests are not sent");
            return null;
        }
        InetSocketAddress target;
        try {
            target = Addresses.parse(address);
        } catch (IllegalArgumentException e) {
            warn(
                    "invalid address",
                    "db node " + job.node + ": invalid address: " + e.getMessage() + "; not sending the request");
            return null;
        }
        PooledConnection connection = connect(job.node);
        connection.instance = pooler.instance(job.node);
        connection.openedAtMicros = loop.now();
        connection.slot = connections.put(connection);
        connection.timer = loop.after(bounds.connectMicros(), () -> {
            // The handshake has not finished in time, so nothing of the request was written.
            remove(connection);
            connection.link.drop();
            onConnectionLost(connection, false);
        });
        connection.link = dialer.dial(target, framer(), new Events(connection));
        return connection;
    }

    /** Closes the longest idle connection of any one db node, to make room; false if no connection is idle. */
    private boolean evict() {
        for (ArrayDeque<PooledConnection> idleOnes : idleByNode.values()) {
            PooledConnection connection = idleOnes.pollFirst();
            if (connection != null) {
                closeIdle(connection);
                return true;
            }
        }
        return false;
    }

    @Override
    public final boolean abandon(long attempt) {
        PooledConnection connection = byAttempt.remove(attempt);
        if (connection == null) {
            return true;
        }
        boolean requestSent = connection.sent;
        release(connection);
        if (!connection.ready) {
            // The handshake is under way, and its cost would be lost with the connection: it is kept, and can serve the
            // next request.
            return false;
        }
        remove(connection);
        connection.link.drop();
        return requestSent;
    }

    @Override
    public final boolean isAwaitingConnection(long attempt) {
        PooledConnection connection = byAttempt.get(attempt);
        return connection != null && !connection.sent;
    }

    @Override
    public final boolean isAnswerArriving(long attempt) {
        PooledConnection connection = byAttempt.get(attempt);
        return connection != null && connection.sent && connection.link.bytesRead() > connection.bytesReadBeforeAnswer;
    }

    @Override
    public final void closeIdleConnections(String node) {
        ArrayDeque<PooledConnection> idleOnes = idleByNode.remove(node);
        if (idleOnes != null) {
            idleOnes.forEach(this::closeIdle);
        }
    }

    // ---- one connection ----

    private void startJob(PooledConnection connection) {
        if (connection.job.isProbe()) {
            connection.timer = loop.after(connection.job.remainingMicros(loop.now()), () -> {
                Job job = connection.job;
                release(connection);
                remove(connection);
                connection.link.drop();
                reportEnd(job, AttemptOutcome.TIMED_OUT, null, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
            });
        }
        connection.link.clearSendDeadline();
        start(connection);
        requestWritten(connection);
    }

    private void release(PooledConnection connection) {
        if (connection.job != null) {
            byAttempt.remove(connection.job.attempt);
            if (connection.job.isProbe() && connection.ready) {
                loop.cancel(connection.timer);
            }
        }
        connection.job = null;
        connection.sent = false;
        releaseAnswer(connection);
        released(connection);
    }

    /** Adapts the limit to whether another process of this pooler runs, as both share one limit on file descriptors. */
    public final void setOtherProcessRunning(boolean running) {
        maxConnections = ResourceBudgets.maxConnections(bounds.connections(), running);
        while (connections.size() > maxConnections && evict()) {
            // Only idle connections are closed; busy ones are kept although they exceed the limit.
        }
    }

    private void makeIdle(PooledConnection connection) {
        if (!pooler.isCurrentInstance(connection.node, connection.instance, connection.openedAtMicros)) {
            // The db node left, or another process took its id, while this connection was busy or being established.
            remove(connection);
            connection.link.drop();
            return;
        }
        ArrayDeque<PooledConnection> idleOnes = idleByNode.computeIfAbsent(connection.node, n -> new ArrayDeque<>());
        idleOnes.addLast(connection);
        connection.idleSinceMicros = loop.now();
        connection.timer = loop.after(surplusIdleMicros, () -> closeIfSurplus(connection));
    }

    /**
     * Runs when a connection has been idle for {@link #surplusIdleMicros}: the db node's most recently used one stays
     * for the rest of the idle limit, any other is closed. Guards the db nodes' connection tables, which all poolers
     * share: what one pooler keeps for its rare peaks takes room and capacity from all.
     */
    private void closeIfSurplus(PooledConnection connection) {
        if (idleByNode.get(connection.node).peekLast() == connection && surplusIdleMicros < bounds.idleMicros()) {
            connection.timer = loop.after(bounds.idleMicros() - surplusIdleMicros, () -> closeIdle(connection));
        } else {
            closeIdle(connection);
        }
    }

    private void closeIdle(PooledConnection connection) {
        loop.cancel(connection.timer);
        remove(connection);
        connection.link.drop();
    }

    private void remove(PooledConnection connection) {
        connections.remove(connection.slot);
        ArrayDeque<PooledConnection> idleOnes = idleByNode.get(connection.node);
        if (idleOnes != null && idleOnes.isEmpty()) {
            // Keeps no entries for db nodes that have left.
            idleByNode.remove(connection.node);
        } else if (idleOnes != null) {
            for (Iterator<PooledConnection> it = idleOnes.iterator(); it.hasNext(); ) {
                if (it.next() == connection) {
                    it.remove();
                    break;
                }
            }
        }
    }

    /** Ends the job of a connection that is gone: whether the request may have run depends on what was written. */
    private void onConnectionLost(PooledConnection connection, boolean requestSent) {
        Job job = connection.job;
        if (job == null) {
            return;
        }
        AttemptOutcome known = knownOutcome(connection);
        if (requestSent) {
            idleTrust.onLost(connection.idledMicros);
        }
        // An error during the handshake is no answer to the request, which has not been sent.
        AttemptOutcome notSent = connection.link != null && connection.link.missedSendDeadline()
                ? AttemptOutcome.NOT_SENT
                : AttemptOutcome.NOT_CONNECTED;
        AttemptOutcome outcome = known != null && (requestSent || known.neverRan)
                ? known
                : requestSent ? AttemptOutcome.BROKEN : notSent;
        release(connection);
        reportEnd(job, outcome, null, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
    }

    private void reportEnd(Job job, AttemptOutcome outcome, Object answer, long position, ServerRole role) {
        if (job.isProbe()) {
            pooler.healthCheckEnded(job.node, outcome, loop.now() - job.startedAtMicros, position, role);
        } else {
            pooler.attemptEnded(job.attempt, outcome, answer, position, role);
        }
    }

    private final class Events implements Link.Events {
        private final PooledConnection connection;

        Events(PooledConnection connection) {
            this.connection = connection;
        }

        @Override
        public void opened(Link link) {
            Pool.this.opened(connection);
        }

        @Override
        public void messages(Link link, List<byte[]> messages, long atMicros) {
            for (int i = 0; i < messages.size() && connections.get(connection.slot) == connection; i++) {
                connection.hasMoreInput = i + 1 < messages.size() || link.hasMoreInput();
                if (connection.ready && connection.job == null) {
                    warn(
                            "data without request",
                            "db node " + connection.node + " sent data without a request; closing the connection");
                    closeBroken(connection);
                } else if (connection.sent && link.bytesSentAtRead() < connection.bytesThroughRequest) {
                    // It was received before the request was written: a duplicate, or the rest of an earlier answer.
                    warn(
                            "early answer",
                            "db node " + connection.node
                                    + " sent an answer before its request was written; closing the connection");
                    closeBroken(connection);
                } else {
                    message(connection, messages.get(i));
                }
            }
        }

        @Override
        public void malformed(Link link, String why) {
            warn(
                    "malformed input",
                    "db node " + connection.node + ": malformed input: " + why + "; closing the connection");
            closeBroken(connection);
        }

        @Override
        public void closed(Link link) {
            loop.cancel(connection.timer);
            remove(connection);
            onConnectionLost(
                    connection, connection.sent && connection.link.mayHaveSentBeyond(connection.bytesBeforeRequest));
        }
    }

    /** A limit on the end of a send, with the time that the handoff to the socket's thread may take. */
    private static long withHandoff(long micros) {
        return micros == Long.MAX_VALUE ? micros : micros + HANDOFF_MICROS;
    }

    /**
     * To be called before a request that has waited on its connection is written, for messages that prepare it: whether
     * it may still be sent. If not, its attempt has ended without having been sent.
     */
    protected final boolean mayStillSend(PooledConnection connection) {
        Job job = connection.job;
        if (job.isProbe()
                || pooler.maySend(connection.node, connection.instance, connection.openedAtMicros, job.attempt)) {
            return true;
        }
        release(connection);
        makeIdle(connection);
        reportEnd(job, AttemptOutcome.NOT_SENT, null, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
        return false;
    }

    /** Reserves memory for a part of the job's answer that is buffered; false if there is none. */
    protected final boolean reserveAnswer(PooledConnection connection, int bytes) {
        if (!pooler.memory().answers().reserveIncoming(bytes, connection.answerBytesReserved)) {
            warnings.warn(
                    "the memory for answers is used up: an answer is dropped and its db node's connection closed");
            return false;
        }
        connection.answerBytesReserved += bytes;
        return true;
    }

    /** Releases what {@link #reserveAnswer} has reserved, before the job is over if the answer is not buffered. */
    protected final void releaseAnswer(PooledConnection connection) {
        pooler.memory().answers().releaseIncoming(connection.answerBytesReserved);
        connection.answerBytesReserved = 0;
    }

    /** To be called once the request has been written: an answer that was received earlier is not its own. */
    protected final void requestWritten(PooledConnection connection) {
        connection.bytesThroughRequest = connection.link.bytesSubmitted();
    }

    /** To be called right before the request itself is written: from then on it may have run. */
    protected final void markSent(PooledConnection connection) {
        connection.sent = true;
        connection.bytesBeforeRequest = connection.link.bytesSubmitted();
        connection.bytesReadBeforeAnswer = connection.link.bytesRead();
        if (!connection.job.isProbe()) {
            pooler.attemptWritten(connection.job.attempt);
            connection.link.setSendDeadline(
                    pooler.latestStartMicros(connection.node),
                    withHandoff(pooler.latestEndOfSendMicros(connection.job.attempt)));
        }
    }

    /** Whether the job's request has been written, so that messages from now on answer it. */
    protected final boolean isSent(PooledConnection connection) {
        return connection.sent;
    }
}
