package lupinvalve.statemachine;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinvalve.routing.Endpoint;

/** One step of the agreed history. What time it was is in the change: members must come to the same state. */
public sealed interface Change {
    /** Whom operators may hold back. */
    enum Kind {
        NODE,
        POOLER
    }

    /** A db node or a pooler that operators told to drain. */
    record Holding(Kind kind, String name) implements Comparable<Holding> {
        @Override
        public int compareTo(Holding other) {
            int order = kind.compareTo(other.kind);
            return order != 0 ? order : name.compareTo(other.name);
        }
    }

    /** A db node as a pooler last knew it; {@code position} is {@link LogPosition#UNKNOWN} where none was told. */
    record Listed(Endpoint member, Map<String, String> addresses, long position) {
        public Listed {
            addresses = Map.copyOf(addresses);
        }
    }

    /** A new leader's first word. */
    record Nothing() implements Change {}

    /** The configuration, if the one that holds still has the revision expected; 0 where there is none. */
    record Put(long expected, byte[] document) implements Change {}

    record Hold(Holding held, String why, long atMicros) implements Change {}

    record Release(Holding held) implements Change {}

    /** Sessions' last commits since the last such change of the same pooler. */
    record Commits(long atMicros, Map<String, Long> positions) implements Change {
        public Commits {
            positions = java.util.Collections.unmodifiableMap(new TreeMap<>(positions));
        }
    }

    /** The list of db nodes with roles and positions; an older revision changes nothing. */
    record Listing(long revision, List<Listed> nodes) implements Change {
        public Listing {
            nodes = List.copyOf(nodes);
        }
    }

    /** Entries that a pooler noted of itself, numbered on from the first; what is in them is its own matter. */
    record Noted(String pooler, long life, long first, List<byte[]> entries) implements Change {
        public Noted {
            entries = List.copyOf(entries);
        }
    }

    /** Where a member of the group is reached by the others. */
    record Place(String member, String address) implements Change {}
}
