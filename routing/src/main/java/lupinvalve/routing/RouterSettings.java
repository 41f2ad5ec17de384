package lupinvalve.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * The settings of one router. The hosting platform, which starts the process, gives them in a configuration file. If a
 * value is out of range, the constructors throw an {@link IllegalArgumentException} that names the setting as it is
 * called in that file. Immutable; lists are copied.
 *
 * @param instanceIndex number of this router among all routers, from 0
 * @param instanceCount number of routers
 * @param zone number of the zone that this router is in
 * @param mustSubscribe whether endpoint lists are sent only to routers that watch them
 * @param crossZonePrice cost of each attempt at a server in another zone, as a fraction of a request's priority weight
 */
public record RouterSettings(
        int instanceIndex,
        int instanceCount,
        int zone,
        boolean mustSubscribe,
        List<RequestClass> classes,
        DeploymentLimits limits,
        Rules rules,
        Replication replication,
        double crossZonePrice) {
    /** What a server does with a read that requires a log position beyond its own. */
    public enum FreshnessCheck {
        /** Answers with old data, without an error. */
        SILENT,
        /** Rejects the read at once. */
        BOUNCE,
        /** Waits to catch up for {@link Replication#waitMicros}, then rejects the read. */
        AWAIT
    }

    /** Where a session's token is kept. */
    public enum TokenSource {
        /** The session's requests carry it. */
        CARRIED,
        /** The router stores it. */
        REMEMBERED
    }

    /**
     * What the deployment allows a router.
     *
     * @param maxAttempts attempts of one request at most
     * @param parallelAttempts whether a request may have more than one attempt in flight
     * @param cancel whether the router may cancel attempts
     * @param probe whether the router may send health checks to servers
     * @param retryAfter whether rejections may state a Retry-After
     * @param maxRetryAfterMicros longest Retry-After that may be stated
     * @param maxOpenRequests number of requests that clients can have open at this router at once
     */
    public record DeploymentLimits(
            int maxAttempts,
            boolean parallelAttempts,
            boolean cancel,
            boolean probe,
            boolean retryAfter,
            long maxRetryAfterMicros,
            long maxOpenRequests) {
        /** Checks the ranges. */
        public DeploymentLimits {
            require(maxOpenRequests > 0, "ceilings.max_open", maxOpenRequests);
            require(maxAttempts > 0, "ceilings.attempts_cap", maxAttempts);
            require(maxRetryAfterMicros >= 0, "ceilings.max_retry_after_us", maxRetryAfterMicros);
        }
    }

    /**
     * The rules that the hosting platform sets for routers.
     *
     * @param answerSlackMicros time after a request's deadline within which its final answer is still accepted
     * @param drainGraceMicros time after the notification of a drain or departure within which attempts may still start
     * @param pollWithinMicros longest interval between two polls of the endpoint list
     * @param initialCapacityRatio capacity of a server at its start, as a fraction of its full capacity
     * @param warmUpMicros time from a server's start to its full capacity: the length of its slow start
     * @param overloadMultiple load that overloads a server in slow start, as a multiple of its capacity at that time
     * @param overloadMicros length of the time window up to now over which the load for {@code overloadMultiple} is
     *     counted
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
     * How servers treat reads that they are too far behind for, and where session tokens are kept.
     *
     * @param check what a server does with such a read
     * @param waitMicros how long a server waits to catch up under {@link FreshnessCheck#AWAIT}
     * @param tokens where a session's token is kept
     */
    public record Replication(FreshnessCheck check, long waitMicros, TokenSource tokens) {
        /** Checks the ranges. */
        public Replication {
            require(check != null, "specifics.server_checks", check);
            require(tokens != null, "specifics.session_marks", tokens);
            require(waitMicros >= 0, "specifics.wait_us", waitMicros);
        }
    }

    /** Settings in which attempts at servers in other zones cost nothing extra. */
    public RouterSettings(
            int instanceIndex,
            int instanceCount,
            int zone,
            boolean mustSubscribe,
            List<RequestClass> classes,
            DeploymentLimits limits,
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
        names.stream().distinct().toList().forEach(names::remove); // leaves the duplicates
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
