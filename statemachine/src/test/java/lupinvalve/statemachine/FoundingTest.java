package lupinvalve.statemachine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import lupinvalve.statemachine.Founding.Phase;
import lupinvalve.statemachine.Founding.Word;
import org.junit.jupiter.api.Test;

class FoundingTest {
    private static final Set<String> NAMES = Set.of("a", "b", "c");

    private static Word alone(String name, int disk) {
        return new Word(new Identity(name, "d" + disk), Phase.ALONE, Set.of());
    }

    /** Members that hear each other's words late, in any order, that restart, and that lose their disks. */
    @Test
    void neverAreTwoGroupsFounded() {
        int founded = 0;
        for (int seed = 0; seed < 20_000; seed++) {
            Random random = new Random(seed);
            Map<String, Founding> members = new TreeMap<>();
            NAMES.forEach(name -> members.put(name, new Founding(alone(name, 0), NAMES)));
            Set<Set<Identity>> groups = new HashSet<>();
            List<Word> words = new ArrayList<>();
            int disks = 0;
            for (int step = 0; step < 60; step++) {
                String name = List.of("a", "b", "c").get(random.nextInt(3));
                Founding member = members.get(name);
                int what = random.nextInt(20);
                if (what == 0 && disks < 2) {
                    members.put(name, new Founding(alone(name, ++disks), NAMES));
                } else if (what == 1) {
                    members.put(name, new Founding(member.own(), NAMES));
                } else if (what < 8) {
                    words.add(member.own());
                } else if (!words.isEmpty()) {
                    // Links keep words in order, but an old one may be the last that was heard of a disk that is gone.
                    Word word = words.get(Math.max(0, words.size() - 1 - random.nextInt(6)));
                    if (!word.who().name().equals(name)) {
                        member.heard(word);
                    }
                }
                members.values().stream()
                        .map(Founding::own)
                        .filter(w -> w.phase() == Phase.FOUNDED)
                        .forEach(w -> groups.add(w.founders()));
            }
            assertTrue(groups.size() <= 1, "seed " + seed + ": " + groups);
            founded += groups.size();
        }
        assertTrue(founded > 1000, "it is founded as a rule: " + founded);
    }

    @Test
    void allFoundersAreNeededAndALostDiskMakesANewcomer() {
        Founding a = new Founding(alone("a", 1), NAMES);
        a.heard(alone("b", 1));
        assertEquals("not heard of c", a.wanting());
        assertEquals(Phase.ALONE, a.own().phase());
        a.heard(alone("c", 1));
        assertEquals(Phase.BOUND, a.own().phase());
        a.heard(new Word(new Identity("b", "d1"), Phase.BOUND, a.own().founders()));
        assertEquals(Phase.BOUND, a.own().phase());
        a.heard(new Word(new Identity("c", "d1"), Phase.BOUND, a.own().founders()));
        assertEquals(Phase.FOUNDED, a.own().phase());
        Founding again = new Founding(alone("c", 2), NAMES);
        again.heard(a.own());
        assertEquals(Phase.NEWCOMER, again.own().phase());
        assertEquals(a.own().founders(), again.own().founders());
        assertEquals(
                Phase.FOUNDED, new Founding(alone("x", 1), Set.of("x")).own().phase());
    }

    private static Identity id(String name) {
        return new Identity(name, "d1");
    }

    private static Set<Identity> ids(String names) {
        Set<Identity> all = new TreeSet<>();
        names.chars().forEach(c -> all.add(id("" + (char) c)));
        return all;
    }

    private static Membership.Step next(
            boolean in, String name, String voting, String learning, String strangers, String reach, long behind) {
        return Membership.next(
                new Membership.Wish(in, name),
                new Membership.View(
                        id("a"),
                        ids(voting),
                        ids(learning),
                        ids(strangers),
                        ids(reach),
                        Map.of(id("b"), 996L, id("c"), 1000L, id("n"), 1000 - behind),
                        1000,
                        995));
    }

    @Test
    void newcomersLearnBeforeTheyVoteAndNoStepLosesTheMajority() {
        assertInstanceOf(Membership.Step.Refused.class, next(true, "n", "abc", "", "", "abc", 0));
        assertEquals(new Membership.Step.Learn(id("n")), next(true, "n", "abc", "", "n", "abcn", 0));
        assertInstanceOf(Membership.Step.Wait.class, next(true, "n", "abc", "n", "", "abcn", 900));
        assertEquals(new Membership.Step.Promote(id("n")), next(true, "n", "abc", "n", "", "abcn", 10));
        assertInstanceOf(Membership.Step.Wait.class, next(true, "n", "abcn", "", "", "abcn", 10), "it has not heard");
        assertInstanceOf(Membership.Step.Done.class, next(true, "n", "abcn", "", "", "abcn", 0));
        assertInstanceOf(
                Membership.Step.Wait.class, next(true, "c", "abc", "", "", "ab", 0), "its new disk is not here yet");
        assertInstanceOf(Membership.Step.Done.class, next(false, "n", "abc", "", "", "abc", 0));
        assertEquals(new Membership.Step.Remove(id("b")), next(false, "b", "abc", "", "", "ac", 0));
        assertInstanceOf(Membership.Step.Refused.class, next(false, "b", "abc", "", "", "ab", 0));
        assertInstanceOf(Membership.Step.Refused.class, next(false, "a", "a", "", "", "a", 0));
        assertEquals(new Membership.Step.HandOver(id("c")), next(false, "a", "abc", "", "", "abc", 0));
        assertEquals(new Membership.Step.Remove(id("n")), next(false, "n", "abc", "n", "", "ab", 0));
    }

    @Test
    void aMemberThatLostItsDiskIsReplacedByWhatItIsNow() {
        Membership.View view = new Membership.View(
                id("a"), ids("abc"), Set.of(), Set.of(new Identity("c", "d2")), ids("ab"), Map.of(), 10, 5);
        assertEquals(new Membership.Step.Remove(id("c")), Membership.next(new Membership.Wish(true, "c"), view));
    }
}
