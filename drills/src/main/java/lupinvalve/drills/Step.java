package lupinvalve.drills;

import java.util.EnumSet;
import java.util.Set;

/**
 * One fault of a scenario. Does no I/O.
 *
 * @param atMillis when the fault begins, in milliseconds from the scenario's start
 * @param who a pooler, or a db node for the kinds that affect those; {@link #LEADER} is the leader at that time
 * @param to the other end of a connection, a pooler or a db node, or {@link #ALL}; empty where the kind has none
 * @param amount the kind's amount, as described at {@link Kind}; 0 where the kind has none
 * @param forMillis after how many milliseconds the fault is undone
 */
public record Step(long atMillis, Kind kind, String who, String to, double amount, long forMillis) {
    /** The member that leads the group when the step begins. */
    public static final String LEADER = "leader";
    /** All other ends; as {@code who}, all poolers. */
    public static final String ALL = "*";

    /** The kind of a fault. */
    public enum Kind {
        /** SIGKILL; the process is started when the step is undone. */
        KILL(false, false),
        /** SIGKILL of all poolers at once; they are started when the step is undone. */
        POWER(false, false),
        /** SIGTERM, and a start as soon as the process has ended. */
        RESTART(false, false),
        /** SIGHUP and SIGTERM twice in quick succession, SIGKILL as early as the platform may send it, then a start. */
        SIGNALS(false, false),
        /** The wall clock is wrong by the amount, in seconds. */
        CLOCK(false, true),
        /** One of this many system calls of each kind fails, or is a short read or write. */
        CALLS(false, true),
        /** This many connections are opened and left idle. */
        CROWD(false, true),
        /** Clients send input of one kind at full speed: that of {@link Floods#KINDS} with this number, from 1. */
        FLOOD(false, true),
        /** SIGHUP while the configuration file is half written, and again when it is complete. */
        RELOAD(false, false),
        /** SIGSTOP, and SIGCONT when the step is undone. */
        PAUSE(false, false),
        /** The bytes of both directions are dropped. */
        CUT(true, false),
        /** The bytes from {@code who} to {@code to} are dropped, those from {@code to} arrive. */
        CUT_THERE(true, false),
        /** The link is cut and healed in turn; the amount is the period in milliseconds. */
        FLAP(true, true),
        /** Each piece of bytes is delayed by the amount, in milliseconds. */
        SLOW(true, true),
        /**
         * The amount is the ratio of pieces that break their connection, as TCP does when it gives up retransmitting.
         */
        LOSSY(true, true),
        /** The amount limits the bytes a second. */
        LIMIT(true, true),
        /** The far end is gone without FIN or reset: connections stay open and silent, and new ones are too. */
        HALF_OPEN(true, false),
        /** A db node dies; if it was a primary, a replica is promoted after 1 s. */
        NODE_KILL(false, false),
        /** A db node handles no statements. */
        NODE_PAUSE(false, false),
        /** A db node takes longer for each statement by the amount, in milliseconds. */
        NODE_SLOW(false, true),
        /** A db node is listed as draining and keeps running. */
        NODE_DRAIN(false, false),
        /** Nothing more is written to the pooler's open discovery watches; new calls are answered. */
        LIST_SILENT(false, false),
        /**
         * Discovery has too many callers: it resets all watches, handles calls slowly, and fails up to three calls in a
         * row of a pooler.
         */
        OVERLOAD(false, false);

        /** Whether the kind affects the connections between two ends. */
        public final boolean affectsConnection;
        /** Whether the kind has an amount. */
        public final boolean hasAmount;

        Kind(boolean affectsConnection, boolean hasAmount) {
            this.affectsConnection = affectsConnection;
            this.hasAmount = hasAmount;
        }

        /** Whether the kind affects a db node. */
        public boolean affectsNode() {
            return NODE_KINDS.contains(this);
        }

        /** Whether the kind may affect all poolers at once, as {@link #ALL}. */
        public boolean mayAffectAll() {
            return this == POWER || this == OVERLOAD;
        }

        /** Whether the kind affects the system calls of a pooler's process. */
        public boolean affectsSystem() {
            return this == CLOCK || this == CALLS;
        }

        /** Whether the pooler's process is ended and started within the begin of the step. */
        public boolean restartsAtOnce() {
            return this == RESTART || this == SIGNALS;
        }

        /** Whether the pooler's process is dead or stopped until the step is undone. */
        public boolean stopsProcess() {
            return STOPPING_KINDS.contains(this);
        }
    }

    private static final Set<Kind> NODE_KINDS =
            EnumSet.of(Kind.NODE_KILL, Kind.NODE_PAUSE, Kind.NODE_SLOW, Kind.NODE_DRAIN);
    private static final Set<Kind> STOPPING_KINDS = EnumSet.of(Kind.KILL, Kind.PAUSE);

    @Override
    public String toString() {
        return atMillis + " ms: " + kind.name().toLowerCase(java.util.Locale.ROOT) + " " + who
                + (to.isEmpty() ? "" : " to " + to) + (kind.hasAmount ? " by " + amount : "") + " for " + forMillis
                + " ms";
    }
}
