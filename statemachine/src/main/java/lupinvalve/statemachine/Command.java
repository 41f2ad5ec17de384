package lupinvalve.statemachine;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinvalve.routing.Routing;

/** One step of the agreed history. What time it was is in the change: members must come to the same state. */
public sealed interface Command {
    /** Whom operators may hold back. */
    enum TargetKind {
        NODE,
        POOLER
    }

    /** A db node or a pooler that operators told to drain. */
    record DrainTarget(TargetKind kind, String name) implements Comparable<DrainTarget> {
        @Override
        public int compareTo(DrainTarget other) {
            int order = kind.compareTo(other.kind);
            return order != 0 ? order : name.compareTo(other.name);
        }
    }

    /** A db node as a pooler last knew it; {@code position} is {@link Routing#NO_POSITION} where none was told. */
    record Endpoint(Routing.Member member, Map<String, String> addresses, long logPosition) {
        public Endpoint {
            addresses = Map.copyOf(addresses);
        }
    }

    /** A new leader's first word. */
    record NoOp() implements Command {}

    /** The configuration, if the one that holds still has the revision expected; 0 where there is none. */
    record PutDocument(long expectedRevision, byte[] document) implements Command {}

    record StartDrain(DrainTarget target, String reason, long atMicros) implements Command {}

    record EndDrain(DrainTarget target) implements Command {}

    /** Sessions' last commits since the last such change of the same pooler. */
    record SessionCommits(long atMicros, Map<String, Long> positions) implements Command {
        public SessionCommits {
            positions = java.util.Collections.unmodifiableMap(new TreeMap<>(positions));
        }
    }

    /** The list of db nodes with roles and positions; an older revision changes nothing. */
    record EndpointList(long revision, List<Endpoint> endpoints) implements Command {
        public EndpointList {
            endpoints = List.copyOf(endpoints);
        }
    }

    /** Entries that a pooler noted of itself, numbered on from the first; what is in them is its own matter. */
    record AppendAudit(String pooler, long incarnation, long firstNumber, List<byte[]> entries) implements Command {
        public AppendAudit {
            entries = List.copyOf(entries);
        }
    }

    /** Where a member of the group is reached by the others. */
    record SetMemberAddress(String member, String address) implements Command {}
}
