package lupinvalve.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * What goes into a {@link Router} and what comes out of it. Nothing here decides anything.
 *
 * <p>All times are microseconds. A <em>position</em> is a place in the replication log, told as the clock time up to
 * which a member has applied all commits; it lies on the same clock as the time given with each event. All records are
 * immutable once built; lists are copied on construction.
 */
public final class Routing {
    private Routing() {}

    /** What a request needs of the member that answers it. */
    public enum Access {
        WRITE,
        STRONG,
        SESSION,
        BOUNDED,
        ANY
    }

    /** Whether a request may run more than once. */
    public enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Where repeats of a keyed request are dropped. */
    public enum KeyScope {
        ALL,
        ZONE,
        GROUP
    }

    /** What a member does with a read that it is too far behind for. */
    public enum FreshnessCheck {
        SILENT,
        BOUNCE,
        AWAIT
    }

    /** Where a session's token comes from. */
    public enum TokenSource {
        CARRIED,
        REMEMBERED
    }

    /** How an attempt or a probe ended. */
    public enum Ending {
        SERVED(false),
        ERROR(false),
        TURNED_BACK(true),
        TIMED_OUT(false),
        NOT_CONNECTED(true),
        BROKEN(false),
        CANCELLED(false),
        NOT_SENT(true),
        MISSED(true);

        /** True where the ending proves that the attempt never ran. */
        public final boolean neverRan;

        Ending(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** The role that a member gave in an answer. */
    public enum Role {
        UNKNOWN,
        PRIMARY,
        REPLICA
    }

    /** What the list of members says of one. */
    public enum Health {
        LIVE,
        DRAINING,
        GONE
    }

    /** How a list event relates to the list held. */
    public enum ListForm {
        UPDATE,
        FULL,
        RESTORED,
        UNAVAILABLE
    }

    /**
     * A class of requests.
     *
     * @param boundMicros oldest data allowed, for {@link Access#BOUNDED}
     * @param aimMicros an answer within this time has its full worth
     * @param deadlineMicros what a client waits in all
     * @param lateShare share of the worth that a later answer keeps
     * @param keyTtlMicros how long repeats of a keyed request are dropped
     */
    public record RequestClass(
            String name,
            Access access,
            long boundMicros,
            Effect effect,
            KeyScope keyScope,
            long keyTtlMicros,
            long aimMicros,
            long deadlineMicros,
            double worth,
            double lateShare) {
        public RequestClass {
            require(access != null, "class_read of class " + name, access);
            require(effect != null, "classes.effect of class " + name, effect);
            require(aimMicros > 0, "classes.aim_us of class " + name, aimMicros);
            require(deadlineMicros > 0, "classes.deadline_us of class " + name, deadlineMicros);
            require(keyTtlMicros >= 0, "classes.key_ttl_us of class " + name, keyTtlMicros);
            require(boundMicros >= 0, "specifics.oldest_data_us of class " + name, boundMicros);
            require(worth >= 0, "classes.worth of class " + name, worth);
            require(lateShare >= 0, "classes.late_value of class " + name, lateShare);
        }
    }

    /**
     * What the site allows.
     *
     * @param openMost how many requests clients can have open here at once
     */
    public record Limits(
            int attempts,
            boolean parallelAttempts,
            boolean cancel,
            boolean probe,
            boolean retryAfter,
            long maxRetryAfterMicros,
            long openMost) {
        public Limits {
            require(openMost > 0, "ceilings.max_open", openMost);
            require(attempts > 0, "ceilings.attempts_cap", attempts);
            require(maxRetryAfterMicros >= 0, "ceilings.max_retry_after_us", maxRetryAfterMicros);
        }
    }

    /** The figures of the rules. */
    public record Rules(
            long answerSlackMicros,
            long drainGraceMicros,
            long askWithinMicros,
            double coldShare,
            long warmUpMicros,
            double overloadMultiple,
            long overloadMicros) {
        public Rules {
            require(answerSlackMicros >= 0, "guarantees.answer_slack_us", answerSlackMicros);
            require(drainGraceMicros >= 0, "guarantees.stop_sending_within_us", drainGraceMicros);
            require(askWithinMicros >= 0, "guarantees.ask_within_us", askWithinMicros);
            require(coldShare >= 0 && coldShare <= 1, "guarantees.cold_from", coldShare);
            require(warmUpMicros >= 0, "guarantees.ramp_time_us", warmUpMicros);
            require(overloadMultiple > 0, "guarantees.fall_multiple", overloadMultiple);
            require(overloadMicros >= 0, "guarantees.fall_us", overloadMicros);
        }
    }

    /** How replication shows itself. */
    public record Replication(FreshnessCheck check, long waitMicros, TokenSource tokens) {
        public Replication {
            require(check != null, "specifics.server_checks", check);
            require(tokens != null, "specifics.session_marks", tokens);
            require(waitMicros >= 0, "specifics.wait_us", waitMicros);
        }
    }

    /**
     * The settings of one router.
     *
     * @param crossingPrice what each attempt that leaves the own zone costs, as a part of a request's worth
     */
    public record Settings(
            int self,
            int routers,
            int zone,
            boolean mustSubscribe,
            List<RequestClass> classes,
            Limits limits,
            Rules rules,
            Replication replication,
            double crossingPrice) {
        /** Where another zone costs nothing. */
        public Settings(
                int self,
                int routers,
                int zone,
                boolean mustSubscribe,
                List<RequestClass> classes,
                Limits limits,
                Rules rules,
                Replication replication) {
            this(self, routers, zone, mustSubscribe, classes, limits, rules, replication, 0);
        }

        public Settings {
            classes = List.copyOf(classes);
            require(!classes.isEmpty(), "classes", "none");
            List<String> names =
                    new ArrayList<>(classes.stream().map(RequestClass::name).toList());
            names.stream().distinct().toList().forEach(names::remove);
            require(names.isEmpty(), "classes.name", "twice: " + names);
            require(routers > 0, "n_instances", routers);
            require(zone >= 0, "zone", zone);
            require(crossingPrice >= 0, "prices.cross_zone", crossingPrice);
            require(self >= 0 && self < routers, "me", self + " of " + routers);
        }
    }

    private static void require(boolean holds, String setting, Object value) {
        if (!holds) {
            throw new IllegalArgumentException("setting out of range: " + setting + " " + value);
        }
    }

    /** One member of a group as the list tells it; {@code bornMicros} is 0 where it started long ago. */
    public record Member(String node, int group, int zone, Health health, boolean listedPrimary, long bornMicros) {}

    /** What a router is told. */
    public sealed interface Event {}

    /**
     * News of the list; {@code members} is empty for {@link ListForm#UNAVAILABLE}.
     *
     * @param toldSince the earliest time at which it may have been told; a departure binds from then on
     */
    public record Members(ListForm form, List<Member> members, long toldSince) implements Event {
        /** An update that is told the moment it comes; a list that may repeat what was told long ago. */
        public Members(ListForm form, List<Member> members) {
            this(form, members, form == ListForm.UPDATE ? Long.MAX_VALUE : Long.MIN_VALUE);
        }

        public Members {
            members = List.copyOf(members);
        }
    }

    /**
     * A client's request.
     *
     * @param session the session, or null
     * @param sinceWriteMicros time since the session's last commit, where tokens are carried; 0 for none
     * @param timeLeftMicros time until the client stops waiting for this try
     * @param waitMicros what it said it would wait, of which a busy core may have lost some
     */
    public record Request(
            String id,
            int classIndex,
            boolean repeated,
            String session,
            long sinceWriteMicros,
            int group,
            long timeLeftMicros,
            long waitMicros)
            implements Event {
        /** One that comes the moment it was sent. */
        public Request(
                String id,
                int classIndex,
                boolean repeated,
                String session,
                long sinceWriteMicros,
                int group,
                long timeLeftMicros) {
            this(id, classIndex, repeated, session, sinceWriteMicros, group, timeLeftMicros, timeLeftMicros);
        }
    }

    /** The client has gone; the request is over. */
    public record ClientGone(String id) implements Event {}

    /**
     * How an attempt ended.
     *
     * @param closed the request is over by this or was before
     * @param position the position told, or {@link #NO_POSITION}
     */
    public record Outcome(
            String id,
            int attempt,
            String node,
            Ending ending,
            long elapsedMicros,
            boolean closed,
            long position,
            Role role)
            implements Event {}

    /** How a probe ended; position and role are those of the member's last report, which may be old. */
    public record Probed(String node, Ending ending, long elapsedMicros, long position, Role role) implements Event {}

    /** An answer has begun to stream; that attempt belongs to the client now. */
    public record Streaming(String id, int attempt) implements Event {}

    /** Another router's message. */
    public record PeerMessage(int from, String text) implements Event {}

    /** A timer set by {@link SetTimer} has come due. */
    public record TimerFired(long handle) implements Event {}

    /** No position was told. */
    public static final long NO_POSITION = Long.MIN_VALUE;

    /** What a router wants done. */
    public sealed interface Action {}

    /**
     * Start an attempt; its number is the count of earlier ones for the request.
     *
     * @param timeoutMicros after which it is given up; 0 for when the client stops waiting
     * @param wantedMicros for how long it is worth beginning, which is what the db node is told; 0 for the timeout
     */
    public record Send(String id, String node, long timeoutMicros, long wantedMicros) implements Action {}

    /** Final answer: no, and a repeat does no harm; come back after the given time (0: no advice). */
    public record Refuse(String id, long retryAfterMicros) implements Action {}

    /** Final answer: failed; nothing is promised of the effect. */
    public record Fail(String id) implements Action {}

    /** Call off an attempt. */
    public record Cancel(String id, int attempt) implements Action {}

    /** Ask a member for its report. */
    public record Probe(String node) implements Action {}

    /** Close idle connections to a member. */
    public record CloseIdle(String node) implements Action {}

    /** Send text to another router, or to all with -1. */
    public record Tell(int to, String text) implements Action {}

    /** Ask for changes of the list from now on, or stop them. */
    public record Subscribe(boolean active) implements Action {}

    /** Ask for the whole list once. */
    public record FetchList() implements Action {}

    /** Ask for a {@link TimerFired} event. */
    public record SetTimer(long delayMicros, long handle) implements Action {}

    /** A line for the operators. */
    public record Note(String text) implements Action {}
}
