package lupinvalve.routing;

/**
 * A class of requests: what its requests need of the server that answers them, and what an answer is worth.
 *
 * @param maxStalenessMicros oldest data allowed, for {@link Access#BOUNDED}
 * @param keyTtlMicros how long a server drops repeats of a request with an idempotency key
 * @param latencyObjectiveMicros an answer within this time has its full priority weight
 * @param deadlineMicros how long a client waits in all
 * @param priorityWeight what an answer in time is worth against those of other classes, 0 or more
 * @param lateValueRatio part of the priority weight that an answer after the objective keeps
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
    /** What a request needs of the server that answers it. */
    public enum Access {
        /** Changes data: the primary alone takes it. */
        WRITE,
        /** Reads all that was committed before it arrived. */
        STRONG,
        /** Reads all that its session has committed. */
        SESSION,
        /** Reads data no older than {@link RequestClass#maxStalenessMicros}. */
        BOUNDED,
        /** Reads data of any age. */
        ANY
    }

    /** Whether a request may run more than once. */
    public enum Effect {
        /** Idempotent by itself. */
        SAFE,
        /** Idempotent within its key's scope and time. */
        KEYED,
        /** Not idempotent. */
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

    private static final double KEEPS_VALUE_MIN_RATIO = 0.5;

    /** Checks the ranges; the message of the exception names the platform's setting. */
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

    /** Whether an answer after the objective is worth little, so that it is better rejected early. */
    boolean losesValueWhenLate() {
        return lateValueRatio < KEEPS_VALUE_MIN_RATIO;
    }
}
