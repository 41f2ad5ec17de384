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
import lupinvalve.log.Log;
import lupinvalve.maintenance.ResourceBudgets;
import lupinvalve.routing.AttemptOutcome;
import lupinvalve.routing.LogPosition;
import lupinvalve.routing.ServerRole;

/**
 * Connections to db nodes, one request on each at a time. A protocol extends it with what it says and hears. Core
 * thread only.
 */
public abstract class Pool implements Backend {
    /** What goes out on a connection: an attempt, or a probe without an attempt. */
    public static final class Job {
        public final long attempt;
        public final String node;
        public final Object statement;
        public final long timeoutMicros, startWithinMicros;
        final long startedAt;

        Job(long attempt, String node, Object statement, long timeoutMicros, long startWithinMicros, long startedAt) {
            this.attempt = attempt;
            this.node = node;
            this.statement = statement;
            this.timeoutMicros = timeoutMicros;
            this.startWithinMicros = startWithinMicros;
            this.startedAt = startedAt;
        }

        public boolean isProbe() {
            return attempt < 0;
        }

        /** What is left of the wait. */
        public long remainingMicros(long now) {
            return startedAt + timeoutMicros - now;
        }

        /** For how long the db node may begin it. */
        public long remainingStartMicros(long now) {
            return startedAt + startWithinMicros - now;
        }
    }

    /** A connection to a db node; protocols add what they must remember of it. */
    public static class PooledConnection {
        private final String node;
        /** The db node's process that it was opened to. */
        private EndpointInstance instance;

        private long openedAt, slot;
        private Link link;
        private boolean greeted, started, more;
        private Job job;
        private long before, through;
        /** When it began to rest, and how long it had rested before its job; 0 where it is new. */
        private long restAt, rested;

        private TimerQueue.Timer limit;

        protected PooledConnection(String node) {
            this.node = node;
        }

        public final Job job() {
            return job;
        }

        public final void write(byte[]... parts) {
            link.write(parts);
        }
    }

    /**
     * How long a connection may have rested to be trusted with a request. Guards against db nodes that drop resting
     * connections sooner than they say, and without a word: the next request on one ends as a reset. One lost after a
     * rest cuts it, one that serves after a rest like it raises it, so that it settles where about one in six is lost.
     */
    private static final class Trust {
        private static final long LEAST = 40_000;
        private static final double CUT = 0.7, RAISE = 1.08;
        private final long most;
        private long micros;

        Trust(long most) {
            this.most = most;
            micros = most;
        }

        void lost(long rested) {
            if (rested >= LEAST) {
                micros = Math.max(LEAST, Math.min(micros, (long) (rested * CUT)));
            }
        }

        void kept(long rested) {
            if (rested > micros / 2) {
                micros = Math.min(most, (long) (micros * RAISE));
            }
        }
    }

    /** Bounds of a pool. */
    public record Bounds(int connections, long connectMicros, long idleMicros, long probeMicros) {}

    private static final long SURPLUS_IDLE_MIN_MICROS = 500_000;
    private final Dialer net;
    private final Bounds bounds;
    protected final Pooler pooler;
    protected final EventLoop loop;
    private final HandleTable<PooledConnection> conns;
    private final Map<String, ArrayDeque<PooledConnection>> idle = new HashMap<>();
    private final Map<Long, PooledConnection> byAttempt = new HashMap<>();
    private final Trust trust;
    private int most;
    /** For how long a connection may rest while another to its db node has been used since. */
    private final long surplus;

    protected Pool(Dialer net, Pooler pooler, Bounds bounds) {
        this.net = net;
        this.pooler = pooler;
        this.bounds = bounds;
        loop = pooler.loop();
        conns = new HandleTable<>(bounds.connections());
        most = bounds.connections();
        trust = new Trust(bounds.idleMicros());
        surplus = Math.max(
                Math.min(SURPLUS_IDLE_MIN_MICROS, bounds.idleMicros()),
                bounds.idleMicros() / pooler.settings().instanceCount());
    }

    /** Connections that are open, or on their way up. */
    public final int open() {
        return conns.size();
    }

    // ---- what a protocol adds ----

    protected abstract Framer framer();

    protected abstract PooledConnection connect(String node);

    /** The connection is up; says the first word where that is the client's. */
    protected abstract void opened(PooledConnection conn);

    /** Writes the job's request, with {@link #markSent} before that; what prepares it may go first. */
    protected abstract void start(PooledConnection conn);

    /** Takes a message; calls {@link #connectionReady} and {@link #completeJob}. */
    protected abstract void message(PooledConnection conn, byte[] message);

    /** The connection ended or is given up: what is already known of the job's end, or null. */
    protected abstract AttemptOutcome knownOutcome(PooledConnection conn);

    /** The connection's job is over, however it ended. */
    protected void released(PooledConnection conn) {
        // Nothing to put away.
    }

    // ---- what a protocol calls ----

    /** The db node takes requests on this connection from now on. */
    protected final void connectionReady(PooledConnection conn) {
        if (conn.greeted) {
            return;
        }
        if (conn.more) {
            Log.warn("db node %s says more than its greeting", conn.node);
            closeBroken(conn);
            return;
        }
        conn.greeted = true;
        loop.cancel(conn.limit);
        if (conn.job == null) {
            rest(conn);
        } else if (!pooler.maySend(conn.node, conn.instance, conn.openedAt, conn.job.attempt)) {
            // The request has not gone anywhere.
            Job job = conn.job;
            release(conn);
            forget(conn);
            conn.link.drop();
            tell(job, AttemptOutcome.NOT_SENT, null, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
        } else {
            begin(conn);
        }
    }

    /**
     * The job has its whole answer; the connection is free, or is closed where it can't be used again. Guards against
     * bytes behind the answer, which would be read as the next request's: they spoil the connection, not the answer.
     */
    protected final void completeJob(
            PooledConnection conn, boolean reusable, AttemptOutcome ending, Object answer, long position, ServerRole role) {
        Job job = conn.job;
        trust.kept(conn.rested);
        conn.link.pauseReading(false);
        release(conn);
        if (reusable && !conn.more) {
            rest(conn);
        } else {
            forget(conn);
            conn.link.drop();
        }
        tell(job, ending, answer, position, role);
    }

    /** Whether reading from the connection waits until its answer has room where it goes. */
    protected final void pauseReading(PooledConnection conn, boolean wait) {
        if (conns.get(conn.slot) == conn) {
            conn.link.pauseReading(wait);
        }
    }

    /** Nothing more can be read from the connection: it is closed, and its job ends as if it had broken. */
    protected final void closeBroken(PooledConnection conn) {
        conn.link.drop();
        loop.cancel(conn.limit);
        forget(conn);
        // MINA may be writing the request right now, so it counts as out.
        lost(conn, conn.started);
    }

    // ---- the core's calls ----

    @Override
    public final void send(
            long attempt, String node, String address, Object statement, long timeoutMicros, long startWithinMicros) {
        take(new Job(attempt, node, statement, timeoutMicros, startWithinMicros, loop.now()), address);
    }

    @Override
    public final void checkHealth(String node, String address) {
        take(
                new Job(HandleTable.NO_HANDLE, node, null, bounds.probeMicros(), bounds.probeMicros(), loop.now()),
                address);
    }

    private void take(Job job, String address) {
        ArrayDeque<PooledConnection> resting = idle.get(job.node);
        // The one used last: the others may reach their idle time and be closed.
        PooledConnection conn = resting == null ? null : resting.peekLast();
        if (conn != null && loop.now() - conn.restAt > trust.micros) {
            // The others have rested longer still.
            closeIdleConnections(job.node);
            conn = null;
        } else if (conn != null) {
            resting.pollLast();
            conn.rested = loop.now() - conn.restAt;
        }
        if (conn == null) {
            conn = open(job, address);
        }
        if (conn == null) {
            tell(job, AttemptOutcome.NOT_SENT, null, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
            return;
        }
        loop.cancel(conn.greeted ? conn.limit : null);
        conn.job = job;
        if (!job.isProbe()) {
            byAttempt.put(job.attempt, conn);
        }
        if (conn.greeted) {
            begin(conn);
        }
    }

    private PooledConnection open(Job job, String address) {
        if (conns.size() >= most && !evict()) {
            Log.warn("no connection free for %s", job.node);
            return null;
        }
        InetSocketAddress target;
        try {
            target = Addresses.parse(address);
        } catch (IllegalArgumentException e) {
            Log.warn("db node %s: %s", job.node, e.getMessage());
            return null;
        }
        PooledConnection conn = connect(job.node);
        conn.instance = pooler.instance(job.node);
        conn.openedAt = loop.now();
        conn.slot = conns.put(conn);
        conn.limit = loop.after(bounds.connectMicros(), () -> {
            // Nothing of the request was handed over: the greeting never came.
            forget(conn);
            conn.link.drop();
            lost(conn, false);
        });
        conn.link = net.dial(target, framer(), new Events(conn));
        return conn;
    }

    /** Closes the connection that has rested longest at some db node, to make room. */
    private boolean evict() {
        for (ArrayDeque<PooledConnection> resting : idle.values()) {
            PooledConnection conn = resting.pollFirst();
            if (conn != null) {
                end(conn);
                return true;
            }
        }
        return false;
    }

    @Override
    public final boolean abandon(long attempt) {
        PooledConnection conn = byAttempt.remove(attempt);
        if (conn == null) {
            return true;
        }
        boolean left = conn.started;
        release(conn);
        if (!conn.greeted) {
            // The handshake is paid for: the connection may serve the next request.
            return false;
        }
        forget(conn);
        conn.link.drop();
        return left;
    }

    @Override
    public final boolean isAwaitingConnection(long attempt) {
        PooledConnection conn = byAttempt.get(attempt);
        return conn != null && !conn.started;
    }

    @Override
    public final void closeIdleConnections(String node) {
        ArrayDeque<PooledConnection> resting = idle.remove(node);
        if (resting != null) {
            resting.forEach(this::end);
        }
    }

    // ---- one connection ----

    private void begin(PooledConnection conn) {
        if (conn.job.isProbe()) {
            conn.limit = loop.after(conn.job.remainingMicros(loop.now()), () -> {
                Job job = conn.job;
                release(conn);
                forget(conn);
                conn.link.drop();
                tell(job, AttemptOutcome.TIMED_OUT, null, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
            });
        }
        start(conn);
        conn.through = conn.link.handed();
    }

    private void release(PooledConnection conn) {
        if (conn.job != null) {
            byAttempt.remove(conn.job.attempt);
            if (conn.job.isProbe() && conn.greeted) {
                loop.cancel(conn.limit);
            }
        }
        conn.job = null;
        conn.started = false;
        released(conn);
    }

    /** Another process of this pooler runs, or no longer: both keep within one limit on descriptors. */
    public final void setOtherProcessRunning(boolean another) {
        most = ResourceBudgets.maxConnections(bounds.connections(), another);
        while (conns.size() > most && evict()) {
            // What rests goes first; what is busy is not ended for room.
        }
    }

    private void rest(PooledConnection conn) {
        if (!pooler.isCurrentInstance(conn.node, conn.instance, conn.openedAt)) {
            // It left, or another process took its id, while this connection was busy or on its way up.
            forget(conn);
            conn.link.drop();
            return;
        }
        ArrayDeque<PooledConnection> resting = idle.computeIfAbsent(conn.node, n -> new ArrayDeque<>());
        resting.addLast(conn);
        conn.restAt = loop.now();
        conn.limit = loop.after(surplus, () -> settle(conn));
    }

    /**
     * A connection has rested for a while: the one used last stays, the others go. Guards the db nodes' tables, which
     * all poolers fill together: what one keeps for its rare peaks takes room and capacity there from all.
     */
    private void settle(PooledConnection conn) {
        if (idle.get(conn.node).peekLast() == conn && surplus < bounds.idleMicros()) {
            conn.limit = loop.after(bounds.idleMicros() - surplus, () -> end(conn));
        } else {
            end(conn);
        }
    }

    private void end(PooledConnection conn) {
        loop.cancel(conn.limit);
        forget(conn);
        conn.link.drop();
    }

    private void forget(PooledConnection conn) {
        conns.remove(conn.slot);
        ArrayDeque<PooledConnection> resting = idle.get(conn.node);
        if (resting != null && resting.isEmpty()) {
            // Db nodes that have left leave nothing behind.
            idle.remove(conn.node);
        } else if (resting != null) {
            for (Iterator<PooledConnection> it = resting.iterator(); it.hasNext(); ) {
                if (it.next() == conn) {
                    it.remove();
                    break;
                }
            }
        }
    }

    /** The connection is gone with its job: whether the request may have run depends on what was written. */
    private void lost(PooledConnection conn, boolean left) {
        Job job = conn.job;
        if (job == null) {
            return;
        }
        AttemptOutcome known = knownOutcome(conn);
        if (left) {
            trust.lost(conn.rested);
        }
        // An error in the greeting is no word on the request: that has not left.
        AttemptOutcome unsent =
                conn.link != null && conn.link.tooLate() ? AttemptOutcome.NOT_SENT : AttemptOutcome.NOT_CONNECTED;
        AttemptOutcome ending =
                known != null && (left || known.neverRan) ? known : left ? AttemptOutcome.BROKEN : unsent;
        release(conn);
        tell(job, ending, null, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
    }

    private void tell(Job job, AttemptOutcome ending, Object answer, long position, ServerRole role) {
        if (job.isProbe()) {
            pooler.healthCheckEnded(job.node, ending, loop.now() - job.startedAt, position, role);
        } else {
            pooler.attemptEnded(job.attempt, ending, answer, position, role);
        }
    }

    private final class Events implements Link.Events {
        private final PooledConnection conn;

        Events(PooledConnection conn) {
            this.conn = conn;
        }

        @Override
        public void opened(Link link) {
            Pool.this.opened(conn);
        }

        @Override
        public void messages(Link link, List<byte[]> messages, long atMicros) {
            for (int i = 0; i < messages.size() && conns.get(conn.slot) == conn; i++) {
                conn.more = i + 1 < messages.size() || link.more();
                if (conn.greeted && conn.job == null) {
                    Log.warn("db node %s speaks unasked", conn.node);
                    closeBroken(conn);
                } else if (conn.started && link.writtenAtRead() < conn.through) {
                    // It came before the request was out: a copy or the rest of an earlier answer.
                    Log.warn("db node %s answers what it was not asked", conn.node);
                    closeBroken(conn);
                } else {
                    message(conn, messages.get(i));
                }
            }
        }

        @Override
        public void malformed(Link link, String why) {
            Log.warn("db node %s: %s", conn.node, why);
            closeBroken(conn);
        }

        @Override
        public void closed(Link link) {
            loop.cancel(conn.limit);
            forget(conn);
            lost(conn, conn.started && conn.link.mayHaveLeft(conn.before));
        }
    }

    /** Called right before the request itself is written: from here on it may have run. */
    protected final void markSent(PooledConnection conn) {
        conn.started = true;
        conn.before = conn.link.handed();
        if (!conn.job.isProbe()) {
            pooler.metrics().attemptSent();
            conn.link.beginBy(pooler.latestStartMicros(conn.node));
        }
    }

    /** Whether the job's request has been written, so that what comes now answers it. */
    protected final boolean isSent(PooledConnection conn) {
        return conn.started;
    }
}
