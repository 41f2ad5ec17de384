package lupinvalve.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * The settings of one router. Immutable; lists are copied. Building one that is out of range throws an
 * {@link IllegalArgumentException} that names the platform's setting.
 *
 * @param instanceIndex number of this router among all, from 0
 * @param instanceCount how many routers there are
 * @param zone the zone that this router is in
 * @param mustSubscribe whether endpoint lists come only to those who ask for them
 * @param crossZonePrice what each attempt that leaves the own zone costs, as a part of a request's priority weight
 */
public record RouterSettings(
        int instanceIndex,
        int instanceCount,
        int zone,
        boolean mustSubscribe,
        List<RequestClass> classes,
        SiteLimits limits,
        Rules rules,
        Replication replication,
        double crossZonePrice) {
    /** What a server does with a read that it is too far behind for. */
    public enum FreshnessCheck {
        /** Answers with old data. */
        SILENT,
        /** Refuses it at once. */
        BOUNCE,
        /** Waits for a while to catch up, then refuses it. */
        AWAIT
    }

    /** Where a session's token comes from. */
    public enum TokenSource {
        /** Its requests carry it. */
        CARRIED,
        /** The router remembers it. */
        REMEMBERED
    }

    /**
     * What the site allows.
     *
     * @param maxAttempts attempts of one request
     * @param maxRetryAfterMicros longest Retry-After that may be given
     * @param maxOpenRequests how many requests clients can have open here at once
     */
    public record SiteLimits(
            int maxAttempts,
            boolean parallelAttempts,
            boolean cancel,
            boolean probe,
            boolean retryAfter,
            long maxRetryAfterMicros,
            long maxOpenRequests) {
        /** Checks the ranges. */
        public SiteLimits {
            require(maxOpenRequests > 0, "ceilings.max_open", maxOpenRequests);
            require(maxAttempts > 0, "ceilings.attempts_cap", maxAttempts);
            require(maxRetryAfterMicros >= 0, "ceilings.max_retry_after_us", maxRetryAfterMicros);
        }
    }

    /**
     * The figures of the platform's rules.
     *
     * @param answerSlackMicros how long after its deadline a final answer may still come
     * @param drainGraceMicros how long after a departure was notified attempts may still begin
     * @param pollWithinMicros how often the endpoint list is polled at least
     * @param initialCapacityRatio part of its full capacity that a server has when it starts
     * @param warmUpMicros how long a server's slow start lasts
     * @param overloadMultiple multiple of its present capacity that overloads a server in slow start
     * @param overloadMicros time over which that load is counted
     */
    public record Rules(
            long answerSlackMicros,
            long drainGraceMicros,
            long pollWithinMicros,
            double initialCapacityRatio,
            long warmUpMicros,
            double overloadMultiple,
            long overloadMicros) {
        /** Checks the ranges. */
        public Rules {
            require(answerSlackMicros >= 0, "guarantees.answer_slack_us", answerSlackMicros);
            require(drainGraceMicros >= 0, "guarantees.stop_sending_within_us", drainGraceMicros);
            require(pollWithinMicros >= 0, "guarantees.ask_within_us", pollWithinMicros);
            require(
                    initialCapacityRatio >= 0 && initialCapacityRatio <= 1,
                    "guarantees.cold_from",
                    initialCapacityRatio);
            require(warmUpMicros >= 0, "guarantees.ramp_time_us", warmUpMicros);
            require(overloadMultiple > 0, "guarantees.fall_multiple", overloadMultiple);
            require(overloadMicros >= 0, "guarantees.fall_us", overloadMicros);
        }
    }

    /**
     * How replication shows itself.
     *
     * @param waitMicros how long a server waits under {@link FreshnessCheck#AWAIT}
     */
    public record Replication(FreshnessCheck check, long waitMicros, TokenSource tokens) {
        /** Checks the ranges. */
        public Replication {
            require(check != null, "specifics.server_checks", check);
            require(tokens != null, "specifics.session_marks", tokens);
            require(waitMicros >= 0, "specifics.wait_us", waitMicros);
        }
    }

    /** Settings where another zone costs nothing. */
    public RouterSettings(
            int instanceIndex,
            int instanceCount,
            int zone,
            boolean mustSubscribe,
            List<RequestClass> classes,
            SiteLimits limits,
            Rules rules,
            Replication replication) {
        this(instanceIndex, instanceCount, zone, mustSubscribe, classes, limits, rules, replication, 0);
    }

    /** Checks the ranges. */
    public RouterSettings {
        classes = List.copyOf(classes);
        require(!classes.isEmpty(), "classes", "none");
        List<String> names =
                new ArrayList<>(classes.stream().map(RequestClass::name).toList());
        names.stream().distinct().toList().forEach(names::remove);
        require(names.isEmpty(), "classes.name", "twice: " + names);
        require(instanceCount > 0, "n_instances", instanceCount);
        require(zone >= 0, "zone", zone);
        require(crossZonePrice >= 0, "prices.cross_zone", crossZonePrice);
        require(instanceIndex >= 0 && instanceIndex < instanceCount, "me", instanceIndex + " of " + instanceCount);
    }

    static void require(boolean holds, String setting, Object value) {
        if (!holds) {
            throw new IllegalArgumentException("setting out of range: " + setting + " " + value);
        }
    }
}
