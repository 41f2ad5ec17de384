package lupinvalve.statemachine;

import java.io.IOException;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides when a group is bootstrapped, and with which disks. All founders must be connected at the same time, each
 * binds itself to the same set of disks, and the group exists only once all of them have announced that they are bound.
 * A member that connects later, or returns with another disk, joins only once the group's members have agreed to it.
 * Not thread-safe.
 *
 * <p>Prevents two groups with the same name, and a second bootstrap by a founder that returns with an empty disk while
 * the others still have a record of its old one: either could create two different first log entries.
 */
public final class ClusterBootstrap {
    /** State of a member's bootstrap. Stored and sent by ordinal: the order must not change. */
    public enum Phase {
        /** Not bound to a set of founders. */
        UNBOUND("alone"),
        /** Bound to one set of founders; it can never be bound to another one. */
        BOUND("bound"),
        /** A founder of the existing group. */
        BOOTSTRAPPED("founded"),
        /** Not a founder: becomes a member only once the group's members have agreed to it. */
        JOINING("newcomer");

        private final String statusName;

        Phase(String statusName) {
            this.statusName = statusName;
        }

        /** The name in status answers to operators. */
        public String statusName() {
            return statusName;
        }
    }

    /**
     * A member's announcement of its bootstrap state; it must be on the member's disk before it is sent.
     *
     * @param founders the set that the member is bound to, or the founders of the group; empty while unbound
     */
    public record Announcement(MemberId member, Phase phase, Set<MemberId> founders) {
        /** Copies the set. */
        public Announcement {
            founders = Collections.unmodifiableSet(new TreeSet<>(founders));
        }

        /** Appends this announcement to a sequence. */
        public void write(Cbor.Writer out) {
            out.text(member.name()).text(member.diskId()).number(phase.ordinal());
            MemberId.writeAll(out, founders);
        }

        /** Reads an announcement that {@link #write} has written. */
        public static Announcement read(Cbor.Reader in) throws IOException {
            return new Announcement(
                    new MemberId(in.text(), in.text()),
                    Phase.values()[in.count(Phase.values().length - 1)],
                    MemberId.readAll(in));
        }

        private boolean knowsGroup() {
            return phase == Phase.BOOTSTRAPPED || phase == Phase.JOINING;
        }

        private boolean isBoundTo(Set<MemberId> founderSet) {
            return phase == Phase.BOUND && founders.equals(founderSet);
        }
    }

    private final Set<String> founderNames;
    /** The other members' last announcements, by name. */
    private final Map<String, Announcement> announcements = new HashMap<>();

    private Announcement own;

    /**
     * Starts from the announcement on this member's disk.
     *
     * @param founderNames names of the members in the configuration file
     */
    public ClusterBootstrap(Announcement own, Set<String> founderNames) {
        this.own = own;
        this.founderNames = new TreeSet<>(founderNames);
        decide();
    }

    /** The announcement that this member must send now. */
    public Announcement own() {
        return own;
    }

    /** Handles another member's announcement; {@link #own} may change. */
    public void onAnnouncement(Announcement announcement) {
        announcements.put(announcement.member().name(), announcement);
        decide();
    }

    /** Discards another member's announcement when its connection ends, as it may be outdated. */
    public void onDisconnected(String name) {
        announcements.remove(name);
    }

    /** Why the group is not bootstrapped yet, for status answers to operators. */
    public String pendingReason() {
        Set<String> missing = otherFounders();
        missing.removeAll(announcements.keySet());
        // Founders from which no announcement has arrived yet.
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
        Announcement previous;
        do {
            previous = own;
            step();
        } while (!own.equals(previous));
    }

    private void step() {
        if (own.knowsGroup()) {
            return;
        }
        for (Announcement other : announcements.values()) {
            if (other.knowsGroup()) {
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

    /** Handles that a group exists. This member is a founder with this disk only if it is bound to the same set. */
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
        // A member that is already bound can't be bound to another set.
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
