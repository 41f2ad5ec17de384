package lupinvalve.statemachine;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinvalve.routing.Endpoint;

/**
 * A command of the replicated log: one entry's effect on {@link ReplicatedState}. Immutable. Times are part of the
 * command, since members that apply it later must come to the same state.
 */
public sealed interface Command {
    /** What operators may drain. Sent by ordinal: the order must not change. */
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
     * A db node as a pooler last knew it.
     *
     * @param addresses by protocol
     * @param logPosition {@link LogPosition#UNKNOWN} where it is unknown
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
     * Replaces the configuration document, if the current one has the expected revision.
     *
     * @param expectedRevision 0 where there is no document yet
     */
    record PutDocument(long expectedRevision, byte[] document) implements Command {}

    /**
     * Starts a drain, or changes nothing where one is under way.
     *
     * @param atMicros Unix time of the operator's call
     */
    record StartDrain(DrainTarget target, String reason, long atMicros) implements Command {}

    /** Ends a drain. */
    record EndDrain(DrainTarget target) implements Command {}

    /**
     * Sessions' last commits since the last such command of the same pooler.
     *
     * @param atMicros when the batch was made
     * @param positions log position by session token
     */
    record SessionCommits(long atMicros, Map<String, Long> positions) implements Command {
        /** Copies the positions, in the order of the sessions. */
        public SessionCommits {
            positions = Collections.unmodifiableMap(new TreeMap<>(positions));
        }
    }

    /** The db nodes with roles and log positions; a revision that is not newer changes nothing. */
    record EndpointList(long revision, List<KnownEndpoint> endpoints) implements Command {
        /** Copies the endpoints. */
        public EndpointList {
            endpoints = List.copyOf(endpoints);
        }
    }

    /**
     * Audit entries of one incarnation of a pooler; their content is opaque here.
     *
     * @param incarnation which of the pooler's processes
     * @param firstNumber of the first entry; the others follow without gaps
     */
    record AppendAudit(String pooler, long incarnation, long firstNumber, List<byte[]> entries) implements Command {
        /** Copies the list. */
        public AppendAudit {
            entries = List.copyOf(entries);
        }
    }

    /** Where the other members reach a member; an empty address removes it. */
    record SetMemberAddress(String member, String address) implements Command {}
}
