package lupinvalve.routing;

/**
 * A class of requests: which servers may answer its requests, whether these may run more than once, and what an answer
 * is worth by the time it takes.
 *
 * @param maxStalenessMicros the greatest age of the data read, for {@link Access#BOUNDED}
 * @param keyTtlMicros how long a server remembers an idempotency key, and so does not run a request with that key again
 * @param latencyObjectiveMicros an answer within this time has its full priority weight
 * @param deadlineMicros how long a client waits for all its attempts of a request together
 * @param priorityWeight the value of an answer within the objective, relative to other classes; 0 or more
 * @param lateValueRatio the part of the priority weight that an answer after the objective keeps
 */
public record RequestClass(
        String name,
        Access access,
        long maxStalenessMicros,
        Effect effect,
        KeyScope keyScope,
        long keyTtlMicros,
        long latencyObjectiveMicros,
        long deadlineMicros,
        double priorityWeight,
        double lateValueRatio) {
    /** Which servers may answer a request, by how fresh their data must be. */
    public enum Access {
        /** Changes data: only the primary may answer it. */
        WRITE,
        /** Must see all commits from before it arrived. */
        STRONG,
        /** Must see all commits of its own session. */
        SESSION,
        /** Accepts data no older than {@link RequestClass#maxStalenessMicros}. */
        BOUNDED,
        /** Accepts data of any age. */
        ANY
    }

    /** Whether a request may run more than once. */
    public enum Effect {
        /** Idempotent by itself: it may run any number of times. */
        SAFE,
        /** Idempotent by its key, at servers that share the key and for as long as they remember it. */
        KEYED,
        /** Not idempotent: it must not run twice. */
        UNSAFE
    }

    /** Which servers share the idempotency keys that they have seen. */
    public enum KeyScope {
        /** All servers. */
        ALL,
        /** The servers of one zone. */
        ZONE,
        /** The servers of one group. */
        GROUP
    }

    /** An answer that keeps less than this part of its priority weight after the objective is worth little. */
    private static final double KEEPS_VALUE_MIN_RATIO = 0.5;

    /**
     * Checks the ranges; the message of the {@link IllegalArgumentException} names the setting as it is called in the
     * hosting platform's configuration file, see {@link RouterSettings}.
     */
    public RequestClass {
        RouterSettings.require(access != null, "class_read of class " + name, access);
        RouterSettings.require(effect != null, "classes.effect of class " + name, effect);
        RouterSettings.require(latencyObjectiveMicros > 0, "classes.aim_us of class " + name, latencyObjectiveMicros);
        RouterSettings.require(deadlineMicros > 0, "classes.deadline_us of class " + name, deadlineMicros);
        RouterSettings.require(keyTtlMicros >= 0, "classes.key_ttl_us of class " + name, keyTtlMicros);
        RouterSettings.require(
                maxStalenessMicros >= 0, "specifics.oldest_data_us of class " + name, maxStalenessMicros);
        RouterSettings.require(priorityWeight >= 0, "classes.worth of class " + name, priorityWeight);
        RouterSettings.require(lateValueRatio >= 0, "classes.late_value of class " + name, lateValueRatio);
    }

    /** Whether an answer after the objective is worth little, so that an early rejection serves the client better. */
    boolean losesValueWhenLate() {
        return lateValueRatio < KEEPS_VALUE_MIN_RATIO;
    }
}
