package lupinvalve.routing;

import java.util.List;

/** An event that a router handles. All times are in microseconds; all records are immutable, lists are copied. */
public sealed interface RouterEvent {
    /**
     * A change of the endpoint list; {@code endpoints} is empty for {@link ListForm#UNAVAILABLE}.
     *
     * @param notifiedSinceMicros the earliest time at which the change may have been notified. The grace period of a
     *     server that it drains or removes begins then, after which no attempt may start there. A time in the future
     *     stands for now.
     */
    record EndpointUpdate(ListForm form, List<Endpoint> endpoints, long notifiedSinceMicros) implements RouterEvent {
        /**
         * An update of unknown age: an {@link ListForm#UPDATE} counts as notified now; any other form counts as
         * notified long ago, since a complete list may repeat an old drain.
         */
        public EndpointUpdate(ListForm form, List<Endpoint> endpoints) {
            this(form, endpoints, form == ListForm.UPDATE ? Long.MAX_VALUE : Long.MIN_VALUE);
        }

        /** Copies the list. */
        public EndpointUpdate {
            endpoints = List.copyOf(endpoints);
        }
    }

    /**
     * A client's request has arrived.
     *
     * @param classIndex index of the request's class in {@link RouterSettings#classes}
     * @param repeated whether the client marked the request as a retry
     * @param session the session, or null
     * @param sinceWriteMicros time since the session's last commit, where requests carry their tokens; 0 for none
     * @param timeLeftMicros time until the client stops waiting for this request; a retry by the client is another
     *     event, with a time of its own
     * @param waitMicros the wait that the client stated, part of which may have passed before a busy core thread
     *     handled the request
     */
    record RequestArrived(
            String id,
            int classIndex,
            boolean repeated,
            String session,
            long sinceWriteMicros,
            int group,
            long timeLeftMicros,
            long waitMicros)
            implements RouterEvent {
        /** A request none of whose stated wait has passed. */
        public RequestArrived(
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

    /** The client has disconnected or cancelled the request, which is closed by this. */
    record ClientDisconnected(String id) implements RouterEvent {}

    /**
     * An attempt has ended.
     *
     * @param requestClosed whether the request is closed, by this attempt's answer or before
     * @param position the log position stated in the answer, or {@link LogPosition#UNKNOWN}
     * @param role the role stated in the answer
     */
    record AttemptEnded(
            String id,
            int attempt,
            String node,
            AttemptOutcome outcome,
            long elapsedMicros,
            boolean requestClosed,
            long position,
            ServerRole role)
            implements RouterEvent {}

    /** A health check has ended; position and role are those of the server's last report, which may be old. */
    record HealthCheckEnded(String node, AttemptOutcome outcome, long elapsedMicros, long position, ServerRole role)
            implements RouterEvent {}

    /** An attempt's answer has begun to stream to the client, so the request gets no other one. No rule uses it. */
    record AnswerStarted(String id, int attempt) implements RouterEvent {}

    /** A message sent by another router with {@link RouterAction.SendPeerMessage}. No rule uses it. */
    record PeerMessage(int from, String text) implements RouterEvent {}

    /** A timer set by {@link RouterAction.SetTimer} has fired. */
    record TimerFired(long handle) implements RouterEvent {}
}
