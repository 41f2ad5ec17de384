package lupinvalve.routing;

import java.util.List;

/** What a router is notified of. All times are in microseconds; all records are immutable, lists are copied. */
public sealed interface RouterEvent {
    /**
     * A change of the endpoint list; {@code endpoints} is empty for {@link ListForm#UNAVAILABLE}.
     *
     * @param notifiedSinceMicros the earliest time at which it may have been notified; a departure binds from then on
     */
    record EndpointUpdate(ListForm form, List<Endpoint> endpoints, long notifiedSinceMicros) implements RouterEvent {
        /** An update that is notified the moment it comes, or a list that may repeat what was notified long ago. */
        public EndpointUpdate(ListForm form, List<Endpoint> endpoints) {
            this(form, endpoints, form == ListForm.UPDATE ? Long.MAX_VALUE : Long.MIN_VALUE);
        }

        /** Copies the list. */
        public EndpointUpdate {
            endpoints = List.copyOf(endpoints);
        }
    }

    /**
     * A client's request.
     *
     * @param session the session, or null
     * @param sinceWriteMicros time since the session's last commit, where tokens are carried; 0 for none
     * @param timeLeftMicros time until the client stops waiting for this attempt of its own
     * @param waitMicros what it said it would wait, of which a busy core may have lost some
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
        /** A request that comes the moment it was sent. */
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

    /** The client has disconnected or cancelled; the request is over. */
    record ClientDisconnected(String id) implements RouterEvent {}

    /**
     * An attempt ended.
     *
     * @param requestClosed the request is over by this or was before
     * @param position the position that the answer gave, or {@link LogPosition#UNKNOWN}
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

    /** A health check ended; position and role are those of the server's last report, which may be old. */
    record HealthCheckEnded(String node, AttemptOutcome outcome, long elapsedMicros, long position, ServerRole role)
            implements RouterEvent {}

    /** An answer has begun to stream; that attempt belongs to the client now. */
    record AnswerStarted(String id, int attempt) implements RouterEvent {}

    /** Another router's message. */
    record PeerMessage(int from, String text) implements RouterEvent {}

    /** A timer set by {@link RouterAction.SetTimer} has come due. */
    record TimerFired(long handle) implements RouterEvent {}
}
