package lupinvalve.statemachine;

import java.io.IOException;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides when a group is bootstrapped, and with which disks. All founders must be connected at once, each binds itself
 * to the same set of disks, and only when all have announced that they are bound does the group exist. A member that
 * comes later, or again with another disk, joins only once the group's members have agreed to it. Not thread-safe.
 *
 * <p>Guards against two groups under one name, and against a founder that comes back with an empty disk while the
 * others remember it: in neither case may there be a second first log entry.
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

    /**
     * What a member announces of itself; it must be on its disk before it is sent.
     *
     * @param founders the set that it is bound to, or that founded the group; empty while unbound
     */
    public record Announcement(MemberId member, Phase phase, Set<MemberId> founders) {
        /** Copies the set. */
        public Announcement {
            founders = Collections.unmodifiableSet(new TreeSet<>(founders));
        }

        /** Appends it to a sequence. */
        public void write(Cbor.Writer out) {
            out.text(member.name()).text(member.diskId()).number(phase.ordinal());
            MemberId.writeAll(out, founders);
        }

        /** Reads what {@link #write} has written. */
        public static Announcement read(Cbor.Reader in) throws IOException {
            return new Announcement(
                    new MemberId(in.text(), in.text()),
                    Phase.values()[in.count(Phase.values().length - 1)],
                    MemberId.readAll(in));
        }

        private boolean isOfGroup() {
            return phase == Phase.BOOTSTRAPPED || phase == Phase.JOINING;
        }

        private boolean isBoundTo(Set<MemberId> set) {
            return phase == Phase.BOUND && founders.equals(set);
        }
    }

    private final Set<String> founderNames;
    /** The other members' last announcements, by name. */
    private final Map<String, Announcement> announcements = new HashMap<>();

    private Announcement own;

    /**
     * Starts from what this member's disk says.
     *
     * @param founderNames the members of the configuration file
     */
    public ClusterBootstrap(Announcement own, Set<String> founderNames) {
        this.own = own;
        this.founderNames = new TreeSet<>(founderNames);
        decide();
    }

    /** What this member is to announce now. */
    public Announcement own() {
        return own;
    }

    /** Takes another member's announcement; {@link #own} may have changed then. */
    public void onAnnouncement(Announcement announcement) {
        announcements.put(announcement.member().name(), announcement);
        decide();
    }

    /** Forgets another member's announcement as its connection ends: it may be outdated. */
    public void onDisconnected(String name) {
        announcements.remove(name);
    }

    /** Why the group is not bootstrapped yet, for operators. */
    public String pendingReason() {
        Set<String> missing = otherFounders();
        missing.removeAll(announcements.keySet());
        if (!missing.isEmpty()) {
            return "not heard of " + String.join(", ", missing);
        }
        for (Announcement other : announcements.values()) {
            if (other.phase() == Phase.BOUND && !other.founders().contains(own.member())) {
                return other.member().name() + " is bound to a disk that "
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
        if (own.isOfGroup()) {
            return;
        }
        for (Announcement other : announcements.values()) {
            if (other.isOfGroup()) {
                join(other.founders());
                return;
            }
        }
        if (!founderNames.contains(own.member().name())
                || !announcements.keySet().containsAll(otherFounders())) {
            return;
        }
        if (own.phase() == Phase.UNBOUND) {
            bind();
        } else if (otherFounders().stream()
                .allMatch(name -> announcements.get(name).isBoundTo(own.founders()))) {
            own = new Announcement(own.member(), Phase.BOOTSTRAPPED, own.founders());
        }
    }

    /** A group exists. It was founded with this disk only if this one is bound to the same set. */
    private void join(Set<MemberId> founders) {
        Phase phase = own.isBoundTo(founders) ? Phase.BOOTSTRAPPED : Phase.JOINING;
        own = new Announcement(own.member(), phase, founders);
    }

    private void bind() {
        Set<MemberId> present = new TreeSet<>();
        present.add(own.member());
        for (String name : otherFounders()) {
            present.add(announcements.get(name).member());
        }
        // A member that is bound already can't be bound to another set.
        if (announcements.values().stream()
                .allMatch(other ->
                        other.phase() != Phase.BOUND || other.founders().equals(present))) {
            own = new Announcement(own.member(), Phase.BOUND, present);
        }
    }

    private Set<String> otherFounders() {
        Set<String> others = new TreeSet<>(founderNames);
        others.remove(own.member().name());
        return others;
    }
}
