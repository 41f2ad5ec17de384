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
public final class Founding {
    /** How far a member is: alone, bound to a set, of the founded group, or none of its founders. */
    public enum Phase {
        ALONE,
        BOUND,
        FOUNDED,
        NEWCOMER
    }

    /** What a member says of itself; it must be on its disk before it is said. */
    public record Word(Identity who, Phase phase, Set<Identity> founders) {
        public Word {
            founders = java.util.Collections.unmodifiableSet(new TreeSet<>(founders));
        }

        public void write(Cbor.Out out) {
            out.text(who.name()).text(who.disk()).number(phase.ordinal());
            Identity.write(out, founders);
        }

        public static Word read(Cbor.In in) throws IOException {
            return new Word(
                    new Identity(in.text(), in.text()),
                    Phase.values()[in.count(Phase.values().length - 1)],
                    Identity.read(in));
        }
    }

    private final Set<String> names;
    private final Map<String, Word> words = new HashMap<>();
    private Word own;

    /** @param names those who are to found the group, by the operators' file */
    public Founding(Word own, Set<String> names) {
        this.own = own;
        this.names = new TreeSet<>(names);
        decide();
    }

    public Word own() {
        return own;
    }

    /** Another one has said this; the own word may be another now. */
    public void heard(Word word) {
        words.put(word.who().name(), word);
        decide();
    }

    /** Another one is out of touch: what it said may be outdated. */
    public void lost(String name) {
        words.remove(name);
    }

    /** Why the group is not founded yet, for the log. */
    public String wanting() {
        Set<String> missing = new TreeSet<>(names);
        missing.remove(own.who().name());
        missing.removeAll(words.keySet());
        if (!missing.isEmpty()) {
            return "not heard of " + String.join(", ", missing);
        }
        for (Word word : words.values()) {
            if (word.phase() == Phase.BOUND && !word.founders().contains(own.who())) {
                return word.who().name() + " is bound to a disk that "
                        + own.who().name() + " had before: start again with empty folders";
            }
        }
        return "the others are not bound yet";
    }

    private void decide() {
        Word before;
        do {
            before = own;
            step();
        } while (!own.equals(before));
    }

    private void step() {
        if (own.phase() == Phase.FOUNDED || own.phase() == Phase.NEWCOMER) {
            return;
        }
        for (Word word : words.values()) {
            if (word.phase() == Phase.FOUNDED || word.phase() == Phase.NEWCOMER) {
                // A group is there. It was founded with this disk only if this one is bound to it.
                boolean mine = own.phase() == Phase.BOUND && own.founders().equals(word.founders());
                own = new Word(own.who(), mine ? Phase.FOUNDED : Phase.NEWCOMER, word.founders());
                return;
            }
        }
        if (!names.contains(own.who().name()) || !words.keySet().containsAll(others())) {
            return;
        }
        if (own.phase() == Phase.ALONE) {
            bind();
        } else if (others().stream()
                .allMatch(name -> words.get(name).phase() == Phase.BOUND
                        && words.get(name).founders().equals(own.founders()))) {
            own = new Word(own.who(), Phase.FOUNDED, own.founders());
        }
    }

    private void bind() {
        Set<Identity> here = new TreeSet<>();
        here.add(own.who());
        for (String name : others()) {
            here.add(words.get(name).who());
        }
        // Who is bound already can't be bound to others.
        if (words.values().stream()
                .allMatch(w -> w.phase() != Phase.BOUND || w.founders().equals(here))) {
            own = new Word(own.who(), Phase.BOUND, here);
        }
    }

    private Set<String> others() {
        Set<String> others = new TreeSet<>(names);
        others.remove(own.who().name());
        return others;
    }
}
