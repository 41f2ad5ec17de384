package lupinvalve.statemachine;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinvalve.routing.Endpoint;

/**
 * A command in the replicated log: the effect of one log entry on {@link ReplicatedState}. Immutable. Times are part of
 * the command, because members that apply it later must reach the same state.
 */
public sealed interface Command {
    /** What operators may drain. Sent to subscribers by ordinal: the order must not change. */
    enum TargetKind {
        /** A db node. */
        NODE,
        /** A pooler. */
        POOLER
    }

    /** A db node or a pooler that operators drain, by name. */
    record DrainTarget(TargetKind kind, String name) implements Comparable<DrainTarget> {
        @Override
        public int compareTo(DrainTarget other) {
            int order = kind.compareTo(other.kind);
            return order != 0 ? order : name.compareTo(other.name);
        }
    }

    /**
     * A db node with its role, state and log position as a pooler last knew them.
     *
     * @param addresses of the db node, by protocol name
     * @param logPosition {@code LogPosition.UNKNOWN} if it is unknown
     */
    record KnownEndpoint(Endpoint endpoint, Map<String, String> addresses, long logPosition) {
        /** Copies the addresses. */
        public KnownEndpoint {
            addresses = Map.copyOf(addresses);
        }
    }

    /** The first entry of a new leader's term; changes nothing. */
    record NoOp() implements Command {}

    /**
     * Replaces the configuration document if the current one has the expected revision.
     *
     * @param expectedRevision 0 if there is no document yet
     */
    record PutDocument(long expectedRevision, byte[] document) implements Command {}

    /**
     * Starts a drain; changes nothing if the target is already being drained.
     *
     * @param atMicros Unix time of the operator's call
     */
    record StartDrain(DrainTarget target, String reason, long atMicros) implements Command {}

    /** Ends a drain. */
    record EndDrain(DrainTarget target) implements Command {}

    /**
     * The last commit of each session that committed since the pooler's previous command of this kind.
     *
     * @param atMicros when the batch was made
     * @param positions log position by session token
     */
    record SessionCommits(long atMicros, Map<String, Long> positions) implements Command {
        /** Copies the positions, sorted by session token. */
        public SessionCommits {
            positions = Collections.unmodifiableMap(new TreeMap<>(positions));
        }
    }

    /** The db nodes with roles and log positions; ignored unless its revision is newer than the current one. */
    record EndpointList(long revision, List<KnownEndpoint> endpoints) implements Command {
        /** Copies the endpoints. */
        public EndpointList {
            endpoints = List.copyOf(endpoints);
        }
    }

    /**
     * Audit entries of one incarnation of a pooler; their content is opaque here.
     *
     * @param incarnation identifies one process of the pooler
     * @param firstNumber number of the first entry; the others are numbered consecutively
     */
    record AppendAudit(String pooler, long incarnation, long firstNumber, List<byte[]> entries) implements Command {
        /** Copies the list. */
        public AppendAudit {
            entries = List.copyOf(entries);
        }
    }

    /** Sets the address at which the other members connect to a member; an empty address removes it. */
    record SetMemberAddress(String member, String address) implements Command {}
}
