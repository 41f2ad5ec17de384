package lupinvalve.statemachine;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides when a group is founded, and by which disks. All founders must be there at once, each binds itself to the
 * same set of disks, and only when all have said that they are bound is the group founded. Who comes later, or again
 * with another disk, is a newcomer: it is of the group only once its members have agreed to that.
 *
 * <p>Guards against two groups under one name, and against a founder that comes back with an empty disk while the
 * others remember it: in neither case may there be a second first history.
 */
public final class ClusterBootstrap {
    /** How far a member's bootstrap is. Stored and sent by ordinal: the order must not change. */
    public enum Phase {
        /** Bound to no set of founders. */
        UNBOUND("alone"),
        /** Bound to one set of founders, and to no other from then on. */
        BOUND("bound"),
        /** A founder of the group that exists. */
        BOOTSTRAPPED("founded"),
        /** No founder: a member only once the group's members have agreed to it. */
        JOINING("newcomer");

        private final String statusName;

        Phase(String statusName) {
            this.statusName = statusName;
        }

        /** The name in operators' status answers. */
        public String statusName() {
            return statusName;
        }
    }

    /** What a member says of itself; it must be on its disk before it is said. */
    public record Announcement(MemberId member, Phase phase, Set<MemberId> founders) {
        public Announcement {
            founders = java.util.Collections.unmodifiableSet(new TreeSet<>(founders));
        }

        public void write(Cbor.Writer out) {
            out.text(member.name()).text(member.diskId()).number(phase.ordinal());
            MemberId.writeAll(out, founders);
        }

        public static Announcement read(Cbor.Reader in) throws IOException {
            return new Announcement(
                    new MemberId(in.text(), in.text()),
                    Phase.values()[in.count(Phase.values().length - 1)],
                    MemberId.readAll(in));
        }
    }

    private final Set<String> founderNames;
    private final Map<String, Announcement> announcements = new HashMap<>();
    private Announcement own;

    /** @param names those who are to found the group, by the operators' file */
    public ClusterBootstrap(Announcement own, Set<String> names) {
        this.own = own;
        this.founderNames = new TreeSet<>(names);
        decide();
    }

    public Announcement own() {
        return own;
    }

    /** Another one has said this; the own word may be another now. */
    public void onAnnouncement(Announcement word) {
        announcements.put(word.member().name(), word);
        decide();
    }

    /** Another one is out of touch: what it said may be outdated. */
    public void onDisconnected(String name) {
        announcements.remove(name);
    }

    /** Why the group is not founded yet, for the log. */
    public String pendingReason() {
        Set<String> missing = new TreeSet<>(founderNames);
        missing.remove(own.member().name());
        missing.removeAll(announcements.keySet());
        if (!missing.isEmpty()) {
            return "not heard of " + String.join(", ", missing);
        }
        for (Announcement word : announcements.values()) {
            if (word.phase() == Phase.BOUND && !word.founders().contains(own.member())) {
                return word.member().name() + " is bound to a disk that "
                        + own.member().name() + " had before: start again with empty folders";
            }
        }
        return "the others are not bound yet";
    }

    private void decide() {
        Announcement before;
        do {
            before = own;
            step();
        } while (!own.equals(before));
    }

    private void step() {
        if (own.phase() == Phase.BOOTSTRAPPED || own.phase() == Phase.JOINING) {
            return;
        }
        for (Announcement word : announcements.values()) {
            if (word.phase() == Phase.BOOTSTRAPPED || word.phase() == Phase.JOINING) {
                // A group is there. It was founded with this disk only if this one is bound to it.
                boolean mine = own.phase() == Phase.BOUND && own.founders().equals(word.founders());
                own = new Announcement(own.member(), mine ? Phase.BOOTSTRAPPED : Phase.JOINING, word.founders());
                return;
            }
        }
        if (!founderNames.contains(own.member().name())
                || !announcements.keySet().containsAll(others())) {
            return;
        }
        if (own.phase() == Phase.UNBOUND) {
            bind();
        } else if (others().stream()
                .allMatch(name -> announcements.get(name).phase() == Phase.BOUND
                        && announcements.get(name).founders().equals(own.founders()))) {
            own = new Announcement(own.member(), Phase.BOOTSTRAPPED, own.founders());
        }
    }

    private void bind() {
        Set<MemberId> here = new TreeSet<>();
        here.add(own.member());
        for (String name : others()) {
            here.add(announcements.get(name).member());
        }
        // Who is bound already can't be bound to others.
        if (announcements.values().stream()
                .allMatch(w -> w.phase() != Phase.BOUND || w.founders().equals(here))) {
            own = new Announcement(own.member(), Phase.BOUND, here);
        }
    }

    private Set<String> others() {
        Set<String> others = new TreeSet<>(founderNames);
        others.remove(own.member().name());
        return others;
    }
}
