package lupinvalve.drills;

import java.util.EnumSet;
import java.util.Set;

/**
 * One fault of a scenario. Without I/O.
 *
 * @param atMillis from the scenario's start
 * @param who a pooler, or a db node for the kinds that strike those; {@link #LEADER} is whoever leads then
 * @param to the other end of a connection, a pooler or a db node, or {@link #ALL}; empty where the kind has none
 * @param amount as {@link Kind} says; 0 where the kind has none
 * @param forMillis until it is undone
 */
public record Step(long atMillis, Kind kind, String who, String to, double amount, long forMillis) {
    /** Who leads the group when the step's time comes. */
    public static final String LEADER = "leader";
    /** All others. */
    public static final String ALL = "*";

    /** What is done. */
    public enum Kind {
        /** SIGKILL; started again afterwards. */
        KILL(false, false),
        /** All poolers at once. */
        POWER(false, false),
        /** SIGTERM, and a start at once. */
        RESTART(false, false),
        /** SIGHUP and SIGTERM twice in series, SIGKILL as early as the platform may send it, and a start at once. */
        SIGNALS(false, false),
        /** The wall clock is so many seconds off. */
        CLOCK(false, true),
        /** One in so many system calls of each kind fails, and reads and writes are short. */
        CALLS(false, true),
        /** So many connections are opened and left idle. */
        CROWD(false, true),
        /** SIGHUP on a file that is written half, then on the whole one. */
        RELOAD(false, false),
        /** SIGSTOP, then SIGCONT. */
        PAUSE(false, false),
        /** Both directions swallow all. */
        CUT(true, false),
        /** {@code who} is not heard by {@code to}, but hears it. */
        CUT_THERE(true, false),
        /** A cut that comes and goes; the amount is the period in ms. */
        FLAP(true, true),
        /** Each piece of bytes comes so many ms later. */
        SLOW(true, true),
        /** This part of the pieces breaks its connection, as one does that gives up sending again. */
        LOSSY(true, true),
        /** So many bytes a second. */
        LIMIT(true, true),
        /** The far end is gone without a word: connections stay open and silent, also new ones. */
        HALF_OPEN(true, false),
        /** A db node's process dies; a primary has a successor after 1 s. */
        NODE_KILL(false, false),
        /** A db node stands still. */
        NODE_PAUSE(false, false),
        /** A db node takes so many ms more for each request. */
        NODE_SLOW(false, true),
        /** A db node is listed as leaving, and goes on. */
        NODE_DRAIN(false, false),
        /** The pooler's open watches say nothing more; new calls are answered. */
        LIST_SILENT(false, false),
        /**
         * Discovery has too many callers: it resets all watches, works through calls slowly, and fails up to three in a
         * row.
         */
        OVERLOAD(false, false);

        /** Whether it strikes a connection. */
        public final boolean between;
        /** Whether it has an amount. */
        public final boolean measured;

        Kind(boolean between, boolean measured) {
            this.between = between;
            this.measured = measured;
        }

        /** Whether it strikes a db node. */
        public boolean ofNode() {
            return NODES.contains(this);
        }

        /** Whether it may strike all at once, as {@link #ALL}. */
        public boolean ofAll() {
            return this == POWER || this == OVERLOAD;
        }

        /** Whether it strikes the system that the pooler's process runs on. */
        public boolean ofSystem() {
            return this == CLOCK || this == CALLS;
        }

        /** Whether the pooler's process ends and is started at once. */
        public boolean ends() {
            return this == RESTART || this == SIGNALS;
        }

        /** Whether the pooler's process does not run, or not on, while it lasts. */
        public boolean downs() {
            return DOWNS.contains(this);
        }
    }

    private static final Set<Kind> NODES = EnumSet.of(Kind.NODE_KILL, Kind.NODE_PAUSE, Kind.NODE_SLOW, Kind.NODE_DRAIN);
    private static final Set<Kind> DOWNS = EnumSet.of(Kind.KILL, Kind.PAUSE);

    @Override
    public String toString() {
        return atMillis + " ms: " + kind.name().toLowerCase(java.util.Locale.ROOT) + " " + who
                + (to.isEmpty() ? "" : " to " + to) + (kind.measured ? " by " + amount : "") + " for " + forMillis
                + " ms";
    }
}
